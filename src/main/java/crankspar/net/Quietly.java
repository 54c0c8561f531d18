package crankspar.net;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Closes what is given up, where a failure changes nothing. */
final class Quietly {
  private static final Logger LOG = Logger.getLogger(Quietly.class.getName());

  private Quietly() {}

  /** Closes it if it is not null; a failure is logged as FINE. */
  static void close(AutoCloseable closeable) {
    try {
      if (closeable != null) {
        closeable.close();
      }
    } catch (Exception e) {
      LOG.log(Level.FINE, "close", e);
    }
  }
}
