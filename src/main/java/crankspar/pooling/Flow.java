package crankspar.pooling;

import java.util.function.Consumer;

/**
 * Back-pressure in one direction: while more than a bound waits for one peer, the other is not
 * read. Guards against rows, or a copy, that together are more than the heap.
 */
final class Flow {
  /** What may wait, with one more read at most. */
  private static final int MOST = 64 * 1024;

  private final Consumer<Boolean> reading;
  private int waiting;
  private boolean held;

  /** {@code reading} has the source read, or not. */
  Flow(Consumer<Boolean> reading) {
    this.reading = reading;
  }

  void queued(int bytes) {
    waiting += bytes;
    if (waiting > MOST && !held) {
      held = true;
      reading.accept(false);
    }
  }

  void left(int bytes) {
    waiting -= bytes;
    if (held && waiting <= MOST / 2) {
      held = false;
      reading.accept(true);
    }
  }
}
