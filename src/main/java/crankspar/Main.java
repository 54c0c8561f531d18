package crankspar;

import crankspar.cli.Commands;

/** The program: {@code java -jar crankspar.jar COMMAND}. */
public final class Main {
    private Main() { }

    public static void main(String[] args) { System.exit(Commands.execute(args)); }
}
