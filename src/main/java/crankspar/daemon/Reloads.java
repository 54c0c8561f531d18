package crankspar.daemon;

import crankspar.config.Config;
import crankspar.config.Operator;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import sun.misc.Signal;

/**
 * SIGHUP: the files are read anew. Guards against the runtime's own answer to this signal, which is
 * to end. The handler stands before anything slow is begun, and a signal that comes while the
 * daemon is still being put together is carried out once it serves. A file that cannot be used is
 * logged and read again for a while; the old one is kept until then.
 */
public final class Reloads {
  private static final Logger LOG = Logger.getLogger(Reloads.class.getName());

  /**
   * How often (ms), and for how long at most, a file that cannot be used is read again after a
   * signal.
   */
  private static final long RETRY = 100;

  private static final long RETRY_MOST = 5000;

  private final Path operatorFile;
  private final Map<String, String> env;

  /** Files are read beside the loop; one read that waits covers all signals that come meanwhile. */
  private final Executor reader =
      new ThreadPoolExecutor(
          0,
          1,
          1,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(1),
          task -> {
            var thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
          },
          new ThreadPoolExecutor.DiscardPolicy());

  private Daemon daemon;
  private boolean due;

  public Reloads(Path operatorFile) {
    this(operatorFile, System.getenv());
  }

  Reloads(Path operatorFile, Map<String, String> env) {
    this.operatorFile = operatorFile;
    this.env = env;
    Signal.handle(new Signal("HUP"), signal -> signalled());
  }

  private synchronized void signalled() {
    due = true;
    if (daemon != null) {
      reader.execute(this::reload);
    }
  }

  public synchronized void serve(Daemon daemon) {
    this.daemon = daemon;
    if (due) {
      reader.execute(this::reload);
    }
  }

  /**
   * What a signal asked for is owed: a file that cannot be used now is read again for a while, as
   * it may be half written or the disk may refuse.
   */
  private void reload() {
    long began = System.nanoTime();
    boolean first = true;
    while (!read(first) && System.nanoTime() - began < TimeUnit.MILLISECONDS.toNanos(RETRY_MOST)) {
      first = false;
      try {
        Thread.sleep(RETRY);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private boolean read(boolean first) {
    try {
      Operator operator = operatorFile == null ? null : Operator.read(operatorFile);
      Config config = env.get("BALANCER_CONFIG") == null ? null : Config.reread(env);
      daemon.reload(config, operator);
      return true;
    } catch (Config.Bad e) {
      if (first) {
        LOG.warning(
            "reload: the old configuration is kept, and the file is read again for "
                + RETRY_MOST / 1000
                + " s: "
                + e.getMessage());
      }
      return false;
    }
  }
}
