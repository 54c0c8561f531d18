package crankspar.net;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * The sockets of one {@link EventLoop}: finds those that are ready and serves them in the order of
 * {@link ReadinessPhase}, the only thing that it decides. All methods but {@link #wakeUp} are for
 * the loop's thread.
 */
final class SocketPoller implements AutoCloseable {
  private static final Set<ReadinessPhase> ALL = EnumSet.allOf(ReadinessPhase.class);

  /**
   * The phases that may be served while a decision is in progress, because they change no answer
   * being processed. New connections are included, as one may bring the cancel of a request that is
   * read here too.
   */
  private static final Set<ReadinessPhase> BEFORE_A_WRITE =
      EnumSet.of(ReadinessPhase.NEWS, ReadinessPhase.CLIENTS, ReadinessPhase.ACCEPTS);

  private final Selector selector;
  private final Object wakeUpLock = new Object();
  private final DoubleSupplier clock;
  private final Runnable postedNews;
  private double lastPoll;
  private double previousPoll;
  private double lastLook;

  /**
   * {@code clock} returns the loop's time (ms); {@code postedNews} runs the posted notifications
   * that come before sockets.
   */
  SocketPoller(DoubleSupplier clock, Runnable postedNews) throws IOException {
    this.clock = clock;
    this.postedNews = postedNews;
    selector = Selector.open();
    lastPoll = clock.getAsDouble();
    previousPoll = lastPoll;
    lastLook = lastPoll;
  }

  SelectionKey register(SelectableChannel channel, int interest, Pollable pollable)
      throws IOException {
    return channel.register(selector, interest, pollable);
  }

  /** Waits until a socket is ready, {@link #wakeUp} is called or {@code ms} have passed. */
  void await(double ms) throws IOException {
    selector.select((long) Math.ceil(ms));
  }

  /** Ends the current wait, or the next one; may be called from any thread. */
  void wakeUp() {
    synchronized (wakeUpLock) { // the selector may be closed by now
      if (selector.isOpen()) {
        selector.wakeup();
      }
    }
  }

  /**
   * Serves everything the sockets hold now. Data that is ready had arrived since {@link
   * #previousPoll}, as the poll at that time would otherwise have found it.
   */
  void poll() throws IOException {
    previousPoll = lastPoll;
    lastPoll = clock.getAsDouble();
    take(ALL);
  }

  /** Serves the phases that may be served while a decision is in progress. */
  void lookBeforeWrite() throws IOException {
    take(BEFORE_A_WRITE);
  }

  /**
   * The time of the poll before the last one (ms): what the last one found had arrived since then.
   */
  double previousPoll() {
    return previousPoll;
  }

  /** When the sockets, or some of them, were last polled (ms). */
  double lastLook() {
    return lastLook;
  }

  private void take(Set<ReadinessPhase> phases) throws IOException {
    lastLook = clock.getAsDouble();
    selector.selectNow();
    SelectionKey[] ready = selector.selectedKeys().toArray(SelectionKey[]::new);
    selector.selectedKeys().clear();
    postedNews.run();
    for (ReadinessPhase phase : ReadinessPhase.values()) {
      for (SelectionKey key : ready) {
        var pollable = (Pollable) key.attachment();
        if (pollable.phase() == phase) {
          serve(pollable, phases.contains(phase));
        }
      }
    }
  }

  private static void serve(Pollable pollable, boolean now) {
    if (now) {
      EventLoop.guarded(pollable::ready);
    } else {
      pollable.passedOver();
    }
  }

  /** Closes all sockets and ends any wait. */
  @Override
  public void close() {
    for (SelectionKey key : selector.keys()) {
      Quietly.close(key.channel());
    }
    synchronized (wakeUpLock) {
      Quietly.close(selector);
    }
  }
}
