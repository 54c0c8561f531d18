package crankspar.pooling;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256, from which the names of statements on server connections are made. */
final class Sha256 {
  private Sha256() {}

  /** Returns the digest of these parts, one after the other. */
  static byte[] of(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (byte[] part : parts) {
        digest.update(part);
      }
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java runtime provides SHA-256
    }
  }
}
