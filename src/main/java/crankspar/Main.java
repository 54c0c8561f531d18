package crankspar;

import crankspar.cli.Commands;
import crankspar.cli.Serve;
import java.io.IOException;

/** Entry point: {@code java -jar crankspar.jar COMMAND}. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    // Serving skips the command-line parser, which would delay the start.
    System.exit(
        args.length == 1 && args[0].equals("serve") ? Serve.run(null) : Commands.execute(args));
  }
}
