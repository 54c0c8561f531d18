package crankspar.pooling;

import java.util.function.Consumer;

/**
 * Back-pressure in one direction: while more than a bound waits for one peer, the other is not
 * read. Guards against rows, or a copy, that together are more than the heap.
 */
final class Backpressure {
  /** What may wait, with one more read at most. */
  private static final int MAX_WAITING_BYTES = 64 * 1024;

  private final Consumer<Boolean> setReading;
  private int waitingBytes;
  private boolean paused;

  /** {@code reading} has the source read, or not. */
  Backpressure(Consumer<Boolean> reading) {
    this.setReading = reading;
  }

  void bytesQueued(int bytes) {
    waitingBytes += bytes;
    if (waitingBytes > MAX_WAITING_BYTES && !paused) {
      paused = true;
      setReading.accept(false);
    }
  }

  void bytesWritten(int bytes) {
    waitingBytes -= bytes;
    if (paused && waitingBytes <= MAX_WAITING_BYTES / 2) {
      paused = false;
      setReading.accept(true);
    }
  }
}
