package crankspar.membership;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Proves that a datagram comes from somebody who has the key: HMAC-SHA256 cut to 8 bytes, as the
 * datagram has room for no more. Two keys may be valid at once, so that one can be changed while
 * poolers run: the first seals, each opens. Without keys the seal is zeros, and proves nothing.
 */
public final class Seal {
  private static final String ALGORITHM = "HmacSHA256";
  private static final byte[] NONE = new byte[Packet.SEAL];

  private final List<Mac> keys;

  /** Keys of 16 bytes at least; none for a network that is trusted. */
  public Seal(List<byte[]> keys) {
    this.keys = keys.stream().map(Seal::mac).toList();
  }

  private static Mac mac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e); // every runtime has it
    }
  }

  public byte[] seal(byte[] packet) {
    byte[] sealed = Arrays.copyOf(packet, packet.length + Packet.SEAL);
    byte[] proof = keys.isEmpty() ? NONE : keys.get(0).doFinal(packet);
    System.arraycopy(proof, 0, sealed, packet.length, Packet.SEAL);
    return sealed;
  }

  /** The length of the packet under the seal, or -1 where no key of ours made it. */
  public int open(byte[] sealed, int length) {
    int n = length - Packet.SEAL;
    if (n <= 0) {
      return -1;
    }
    byte[] proof = Arrays.copyOfRange(sealed, n, length);
    if (keys.isEmpty()) {
      return Arrays.equals(proof, NONE) ? n : -1;
    }
    for (Mac mac : keys) {
      mac.update(sealed, 0, n);
      if (MessageDigest.isEqual(proof, Arrays.copyOf(mac.doFinal(), Packet.SEAL))) {
        return n;
      }
    }
    return -1;
  }
}
