package crankspar.cli;

import crankspar.Balance;
import crankspar.BenchLink;
import crankspar.config.Config;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(name = "crankspar", description = "A pooler for shards of a primary and its replicas.",
        synopsisSubcommandLabel = "COMMAND", mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
public final class Commands implements Runnable {
    /** Exit code for a configuration that cannot be used. */
    static final int BAD_CONFIG = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    public static int execute(String... args) { return new CommandLine(new Commands()).execute(args); }

    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"crankspar " + (version == null ? "(not packaged)" : version)};
        }
    }

    private static int bad(Config.Bad e) {
        System.err.println("crankspar: " + e.getMessage());
        return BAD_CONFIG;
    }

    @Command(description = "Serves, as the environment and its configuration say.")
    int serve() throws IOException, InterruptedException {
        Daemon daemon;
        try {
            daemon = new Daemon(Config.read(System.getenv()));
        } catch (Config.Bad e) {
            return bad(e);
        }
        // The runtime ends when its hooks have: SIGTERM is answered by finishing what is owed.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                daemon.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop"));
        Thread.currentThread().join();
        return 0;
    }

    @Command(description = "Hosts the decisions on the simulator's wire, on standard input and output.")
    int adapter() throws IOException {
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        try {
            new BenchLink(Balance::new).run(in, System.out);
            return 0;
        } catch (BenchLink.Malformed e) {
            System.err.println("adapter: " + e.getMessage());
            return 1;
        }
    }

    @Command(description = "Prints the version.")
    int version() {
        System.out.println(new Version().getVersion()[0]);
        return 0;
    }

    @Command(name = "check-config", description = "Reads the configuration as serve would, and says what is wrong.")
    int checkConfig() {
        try {
            Config config = Config.read(System.getenv());
            System.out.println("good: " + config.name() + ", " + config.settings().classes().size() + " classes, "
                    + config.known().members().size() + " members known");
            return 0;
        } catch (Config.Bad e) {
            return bad(e);
        }
    }
}
