package crankspar.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The databases that drain, as one pooler's watch at discovery says: a version, the sender's number
 * and time, three bytes a database, a checksum over all of the time, as in a {@link GossipMessage}.
 *
 * @param base the sender's clock (whole ms) when it was written
 * @param keys {@link GossipMessage#key} of each, {@link #KEYS_MOST} at most
 */
record DrainNotice(int from, long base, List<Integer> keys) {
  /** Beside a bulletin's versions, on the same port. */
  static final byte VERSION = 0x44;

  static final int KEY = 3;
  static final int KEYS_MOST = (GossipMessage.MOST - GossipMessage.HEAD) / KEY;

  byte[] encode() {
    var b = ByteBuffer.allocate(GossipMessage.HEAD + keys.size() * KEY);
    b.put(VERSION).put((byte) from).putShort((short) base);
    keys.forEach(k -> GossipMessage.put24(b, k));
    GossipMessage.put24(b, GossipMessage.sum(b.array(), b.position(), base));
    return b.array();
  }

  /** {@code now} is the receiver's clock (ms). */
  static DrainNotice decode(byte[] bytes, double now) throws GossipMessage.Malformed {
    if (bytes.length < GossipMessage.HEAD
        || bytes.length > GossipMessage.MOST
        || (bytes.length - GossipMessage.HEAD) % KEY != 0) {
      throw new GossipMessage.Malformed("length");
    }
    var b = ByteBuffer.wrap(bytes);
    if (b.get() != VERSION) {
      throw new GossipMessage.Malformed("version");
    }
    int from = b.get() & 0xff;
    long base = GossipMessage.base(bytes, b, now);
    var keys = new ArrayList<Integer>();
    while (b.position() < bytes.length - GossipMessage.SUM) {
      keys.add(GossipMessage.get24(b));
    }
    return new DrainNotice(from, base, keys);
  }
}
