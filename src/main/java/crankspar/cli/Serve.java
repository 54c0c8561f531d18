package crankspar.cli;

import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.daemon.Daemon;
import crankspar.daemon.Reloads;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Serves until a signal ends it. It stands apart from the command line, so that the platform's
 * plain {@code serve} starts without it: that is a good part of a start's work, and a pooler may
 * have half a core.
 */
public final class Serve {
  /** A start that takes longer than this (ms) after the signal would end with the kill. */
  private static final long START_MOST = 3000;

  /** The exit status after an Error on the loop's thread: EX_SOFTWARE of sysexits.h. */
  private static final int INTERNAL_ERROR = 70;

  private Serve() {}

  static int bad(Config.Bad e) {
    System.err.println("crankspar: " + e.getMessage());
    return Commands.BAD_CONFIG;
  }

  static Config platform() throws Config.Bad {
    return System.getenv("BALANCER_CONFIG") == null ? null : Config.read(System.getenv());
  }

  static Operator operator(Path file) throws Config.Bad {
    return file == null ? null : Operator.read(file);
  }

  /** The operator's file may be null; returns the exit code of a start that failed. */
  public static int run(Path file) throws IOException, InterruptedException {
    var reloads = new Reloads(file);
    var serving = new CompletableFuture<Daemon>();
    // The runtime ends when its hooks have: SIGTERM is answered by finishing what is owed. The hook
    // stands before any door is
    // open: between the two a signal ended the process at once, and what it had taken by then was
    // lost.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> end(serving), "stop"));
    Daemon daemon;
    try {
      Operator operator = operator(file);
      Config config = file == null ? Config.read(System.getenv()) : platform();
      Logging.set(operator);
      String shared = System.getenv("TMPDIR");
      daemon =
          new Daemon(config, operator, shared == null || shared.isEmpty() ? null : Path.of(shared));
      serving.complete(daemon);
    } catch (Config.Bad e) {
      return bad(e);
    } catch (IOException e) { // an address in use, a snapshot that cannot be read
      System.err.println("crankspar: " + e.getMessage());
      return 1;
    } finally {
      serving.cancel(false); // nothing where it serves
    }
    reloads.serve(daemon);
    haltOn(daemon.awaitFailure());
    return INTERNAL_ERROR;
  }

  /**
   * Ends the process at once, for its supervisor to see: the loop's state is not known any more,
   * its sockets are closed, and an end in order would wait for it.
   */
  private static void haltOn(Error failure) {
    try {
      System.err.println("crankspar: the event loop has failed, the process ends: " + failure);
    } finally {
      Runtime.getRuntime().halt(INTERNAL_ERROR);
    }
  }

  /**
   * What is still being put together is waited for: it may have opened its door, and the kill
   * leaves the time.
   */
  private static void end(Future<Daemon> serving) {
    long began = System.nanoTime();
    try {
      Daemon daemon = serving.get(START_MOST, TimeUnit.MILLISECONDS);
      daemon.stop((System.nanoTime() - began) / 1e6);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | CancellationException e) {
      // it never served, and has said why
    } catch (TimeoutException e) {
      System.err.println("crankspar: told to end before it served");
    }
  }
}
