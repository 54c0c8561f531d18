package crankspar.pooling;

import java.util.function.Consumer;

/**
 * Backpressure in one direction: while more than a bound waits to be written to one side, the other
 * side is not read. Without it the rows of a large result, or the data of a COPY, could exceed the
 * heap.
 */
final class Backpressure {
  /** The number of bytes that may wait; at most one more read may exceed it. */
  private static final int MAX_WAITING_BYTES = 64 * 1024;

  private final Consumer<Boolean> setReading;
  private int waitingBytes;
  private boolean paused;

  /** {@code reading} turns reading from the source on or off. */
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
