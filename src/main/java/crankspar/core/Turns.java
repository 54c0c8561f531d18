package crankspar.core;

import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Every event for the module passes through this queue: it is never called inside its own call. */
final class Turns {
  private static final Logger LOG = Logger.getLogger(Turns.class.getName());

  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final Ports.Time time;
  private final Counters counters;
  private double began;
  private boolean busy;

  Turns(Ports.Time time, Counters counters) {
    this.time = time;
    this.counters = counters;
  }

  /** When the present event was handed to the module (ms): its decisions are as old. */
  double began() {
    return began;
  }

  void take(Runnable what) {
    events.add(what);
    if (busy) {
      return;
    }
    busy = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        try {
          began = time.now();
          next.run();
        } catch (RuntimeException e) {
          // Guards against one bad event taking the daemon along: the last guard still answers.
          counters.add("module_errors");
          LOG.log(Level.SEVERE, "decision failed", e);
        }
      }
    } finally {
      busy = false;
    }
  }
}
