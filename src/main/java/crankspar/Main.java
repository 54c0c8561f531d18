package crankspar;

import crankspar.cli.Commands;
import crankspar.cli.Serve;
import java.io.IOException;

/** The program: {@code java -jar crankspar.jar COMMAND}. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    // The platform's own start is not held up by the command line's reading of itself.
    System.exit(
        args.length == 1 && args[0].equals("serve") ? Serve.run(null) : Commands.execute(args));
  }
}
