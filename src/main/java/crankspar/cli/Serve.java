package crankspar.cli;

import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.daemon.Daemon;
import crankspar.daemon.Reloads;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Serves until a signal ends it. It stands apart from the command line, so that the platform's plain
 * {@code serve} starts without it: that is a good part of a start's work, and a pooler may have half a core.
 */
public final class Serve {
    private Serve() { }

    static int bad(Config.Bad e) {
        System.err.println("crankspar: " + e.getMessage());
        return Commands.BAD_CONFIG;
    }

    static Config platform() throws Config.Bad {
        return System.getenv("BALANCER_CONFIG") == null ? null : Config.read(System.getenv());
    }

    static Operator operator(Path file) throws Config.Bad { return file == null ? null : Operator.read(file); }

    /** The operator's file may be null; returns the exit code of a start that failed. */
    public static int run(Path file) throws IOException, InterruptedException {
        var reloads = new Reloads(file);
        Daemon daemon;
        try {
            Operator operator = operator(file);
            Config config = file == null ? Config.read(System.getenv()) : platform();
            Logging.set(operator);
            String shared = System.getenv("TMPDIR");
            daemon = new Daemon(config, operator, shared == null || shared.isEmpty() ? null : Path.of(shared));
        } catch (Config.Bad e) {
            return bad(e);
        } catch (IOException e) {             // an address in use, a snapshot that cannot be read
            System.err.println("crankspar: " + e.getMessage());
            return 1;
        }
        reloads.serve(daemon);
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
}
