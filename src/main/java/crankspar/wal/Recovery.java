package crankspar.wal;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Reads at a start what earlier processes have acknowledged. It is owed, and a disk may refuse for
 * a moment: reading is tried again for a while before anything is served.
 */
public final class Recovery {
  private static final Logger LOG = Logger.getLogger(Recovery.class.getName());

  /** How long a start tries to read (ms), and how often. */
  private static final long RECOVER_MOST_MS = 25_000;

  private static final long RETRY_MS = 50;

  /** What is read. */
  public interface Read<T> {
    T read() throws IOException;
  }

  /** What is there cannot be trusted: reading it again does not help, an operator has to act. */
  public static final class Lost extends IOException {
    private static final long serialVersionUID = 1;

    public Lost(String message, Throwable cause) {
      super(message, cause);
    }
  }

  private Recovery() {}

  /**
   * Returns what is read; not on the loop. {@code what} names it in the log; {@code failed} hears
   * of each try that fails.
   *
   * @throws Lost as soon as it is met
   * @throws IOException if it cannot be read for {@value #RECOVER_MOST_MS} ms
   */
  public static <T> T of(String what, Runnable failed, Read<T> read)
      throws IOException, InterruptedException {
    long began = System.nanoTime();
    for (boolean first = true; ; first = false) {
      try {
        return read.read();
      } catch (Lost e) {
        throw e;
      } catch (IOException e) {
        failed.run();
        if (first) {
          LOG.warning(what + " cannot be read, it is tried again before anything is served: " + e);
        }
        if (System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(RECOVER_MOST_MS)) {
          throw new IOException(what + " cannot be read: " + e, e);
        }
        Thread.sleep(RETRY_MS);
      }
    }
  }
}
