package crankspar.rest;

import java.nio.ByteBuffer;

/** Bytes that a client has sent and that are not parsed yet. */
final class UnparsedBytes {
  private static final int KEEP = 16 * 1024;

  private ByteBuffer bytes = ByteBuffer.allocate(0);
  private double since;

  /** Adds bytes that may have come at {@code arrived} (ms) at the earliest. */
  void add(ByteBuffer in, double arrived) {
    if (!bytes.hasRemaining()) {
      since = arrived;
    }
    int needed = bytes.remaining() + in.remaining();
    if (needed > bytes.capacity() || bytes.capacity() > KEEP && needed <= KEEP) {
      bytes = ByteBuffer.allocate(Math.max(needed, 2 * bytes.remaining())).put(bytes);
    } else {
      bytes.compact();
    }
    bytes.put(in).flip();
  }

  /** What is left, to be parsed from its position on. */
  ByteBuffer left() {
    return bytes;
  }

  /** The earliest time (ms) at which any of it may have come. */
  double since() {
    return since;
  }

  /** Bytes of memory that it takes. */
  int memory() {
    return bytes.capacity();
  }

  void clear() {
    bytes = ByteBuffer.allocate(0);
  }
}
