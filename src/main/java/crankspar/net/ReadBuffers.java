package crankspar.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * The loop's read buffers, shared by all connections: one, plus another for each read that starts
 * while an earlier one is still being handled.
 */
final class ReadBuffers {
  private static final int BYTES = 8 * 1024;

  private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>(2);

  /** Returns an empty buffer, to be returned by {@link #release}. */
  ByteBuffer borrow() {
    ByteBuffer buffer = free.poll();
    return buffer == null ? ByteBuffer.allocate(BYTES) : buffer.clear();
  }

  void release(ByteBuffer buffer) {
    free.push(buffer);
  }
}
