package crankspar;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Starts the bench adapter: {@code java -jar crankspar.jar benchlink}. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar crankspar.jar benchlink");
            System.exit(2);
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        try {
            new BenchLink(Balance::new).run(in, System.out);
        } catch (BenchLink.Malformed e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
