package crankspar.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** What one connection has yet to hand to the system, in order. Confined to the event loop. */
final class OutputQueue {
  /** Bytes that are handed to the system at once: the runtime copies as much off its heap. */
  static final int WRITE_MOST = 64 * 1024;

  private record Chunk(ByteBuffer bytes, Runnable written) {}

  private final ArrayDeque<Chunk> chunks = new ArrayDeque<>(2);
  private int bytes;
  private long taken;

  /** {@code written}, which may be null, runs once the system has the last of these bytes. */
  void add(ByteBuffer added, Runnable written) {
    bytes += added.remaining();
    chunks.add(new Chunk(added, written));
  }

  boolean isEmpty() {
    return chunks.isEmpty();
  }

  /** Bytes that wait. */
  int bytes() {
    return bytes;
  }

  /** Bytes that the system has taken so far. */
  long taken() {
    return taken;
  }

  /**
   * Hands the first chunk on; {@code run} is given its callback once it is done.
   *
   * @return whether the system has taken all that it was offered
   */
  boolean writeFirst(WritableByteChannel channel, Consumer<Runnable> run) throws IOException {
    Chunk chunk = chunks.peek();
    ByteBuffer left = chunk.bytes();
    int end = left.limit();
    left.limit(Math.min(end, left.position() + WRITE_MOST));
    int offered = left.remaining();
    int count = channel.write(left);
    left.limit(end);
    bytes -= count;
    taken += count;
    if (!left.hasRemaining()) {
      chunks.poll();
      if (chunk.written() != null) {
        run.accept(chunk.written());
      }
    }
    return count == offered;
  }

  void clear() {
    chunks.clear();
    bytes = 0;
  }
}
