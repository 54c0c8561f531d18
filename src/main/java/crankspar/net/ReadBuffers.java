package crankspar.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * The buffers into which the loop reads, shared by all connections: one, and a further one for each
 * read that is begun while another is being handled.
 */
final class ReadBuffers {
  private static final int BYTES = 8 * 1024;

  private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>(2);

  /** An empty buffer, to be given back with {@link #release}. */
  ByteBuffer borrow() {
    ByteBuffer buffer = free.poll();
    return buffer == null ? ByteBuffer.allocate(BYTES) : buffer.clear();
  }

  void release(ByteBuffer buffer) {
    free.push(buffer);
  }
}
