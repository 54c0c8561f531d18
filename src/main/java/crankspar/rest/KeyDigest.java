package crankspar.rest;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first half of the SHA-256 of a write's content: whether a key comes with the same again. */
record KeyDigest(long high, long low) {
  static final int BYTES = 2 * Long.BYTES;

  static KeyDigest of(byte[] content) {
    try {
      return read(ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  static KeyDigest read(ByteBuffer from) {
    return new KeyDigest(from.getLong(), from.getLong());
  }

  byte[] bytes() {
    return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
  }
}
