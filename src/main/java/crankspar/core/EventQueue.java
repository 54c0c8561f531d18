package crankspar.core;

import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Serializes the events for the routing module, so that the module is never called from within one
 * of its own calls.
 */
final class EventQueue {
  private static final Logger LOG = Logger.getLogger(EventQueue.class.getName());

  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final Ports.Time time;
  private final Counters counters;
  private double eventStart;
  private boolean running;

  EventQueue(Ports.Time time, Counters counters) {
    this.time = time;
    this.counters = counters;
  }

  /**
   * When the current event was passed to the module (ms); its decisions are based on the state at
   * this time.
   */
  double eventStart() {
    return eventStart;
  }

  void post(Runnable event) {
    events.add(event);
    if (running) {
      return;
    }
    running = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        try {
          eventStart = time.now();
          next.run();
        } catch (RuntimeException e) {
          // One bad event must not end the daemon; the core's deadline timer still answers the
          // request.
          counters.add("module_errors");
          LOG.log(Level.SEVERE, "routing module failed while handling an event", e);
        }
      }
    } finally {
      running = false;
    }
  }
}
