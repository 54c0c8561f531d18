package crankspar.rest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** What a log of idempotency keys holds. A writer is one process's life. */
sealed interface KeyRecord {
  String key();

  long writer();

  /** A write with this key is about to be sent; the digest is its content's. */
  record Begun(String key, long writer, KeyDigest digest) implements KeyRecord {}

  /** It ended with this answer. */
  record Answered(String key, long writer, byte[] response) implements KeyRecord {}

  /** It has certainly not run: the key is free again. */
  record Released(String key, long writer) implements KeyRecord {}

  /** First byte of a record. */
  byte BEGUN = 1;

  byte ANSWERED = 2;
  byte RELEASED = 3;

  default byte[] encode() {
    byte[] name = key().getBytes(StandardCharsets.UTF_8);
    byte[] content = content();
    int length = Byte.BYTES + Long.BYTES + Short.BYTES + name.length + content.length;
    var out = ByteBuffer.allocate(length);
    out.put(type()).putLong(writer());
    out.putShort((short) name.length).put(name).put(content);
    return out.array();
  }

  private byte type() {
    return this instanceof Begun ? BEGUN : this instanceof Answered ? ANSWERED : RELEASED;
  }

  private byte[] content() {
    if (this instanceof Begun b) {
      return b.digest().bytes();
    }
    return this instanceof Answered a ? a.response() : new byte[0];
  }

  private static byte[] bytes(ByteBuffer from) {
    var bytes = new byte[from.remaining()];
    from.get(bytes);
    return bytes;
  }

  /** Empty for a type that a later release may write. */
  static Optional<KeyRecord> decode(ByteBuffer record) {
    ByteBuffer in = record.duplicate();
    byte type = in.get();
    long writer = in.getLong();
    var name = new byte[in.getShort()];
    in.get(name);
    String key = new String(name, StandardCharsets.UTF_8);
    return switch (type) {
      case BEGUN -> Optional.of(new Begun(key, writer, KeyDigest.read(in)));
      case ANSWERED -> Optional.of(new Answered(key, writer, bytes(in)));
      case RELEASED -> Optional.of(new Released(key, writer));
      default -> Optional.empty();
    };
  }
}
