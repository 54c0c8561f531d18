package crankspar.audit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A pooler's stand in a few bytes, for the others: how far its list goes and when it was last known
 * to be the present one, what has lately begun to drain there, and whether it is shut out. A head
 * of 27 bytes, four for each drain, a checksum of four.
 *
 * <p>Times are ages (ms) at the sender's clock {@code stamp}: the clocks of two poolers are never
 * compared, only how the gap between them changes.
 *
 * @param from the sender's number; {@code life} is drawn at its start, {@code count} goes up with
 *     each digest of that life
 * @param stamp the sender's clock (ms, its low 32 bits) when this was written
 * @param confirmed how long ago (ms) its list was last known to be the present one, {@link #NEVER}
 *     at the most
 * @param drains databases that its list has as draining or gone, by a hash of their ids, the latest
 *     first
 */
public record Digest(
    int from,
    int life,
    int count,
    int stamp,
    Standing.State state,
    boolean wants,
    long revision,
    int content,
    int confirmed,
    List<Integer> drains) {
  /** Bytes that are no digest: dropped and counted, by why. */
  public static final class Malformed extends Exception {
    Malformed(String why) {
      super(why, null, false, false);
    }
  }

  /**
   * Apart from the versions of gossip's and membership's datagrams, which come to the same port.
   */
  public static final byte VERSION = 0x51;

  /** What the platform lets through between poolers (bytes). */
  public static final int MOST = 256;

  static final int HEAD = 1 + 2 + 2 + 2 + 4 + 1 + 8 + 4 + 2 + 1;
  static final int DRAIN = 4;
  static final int SUM = 4;
  public static final int DRAINS_MOST = 16;

  /** Ages are told in steps of this (ms), rounded up: nothing is fresher than it was. */
  static final int STEP = 10;

  /** The most that is told of an age (ms), and what stands for never. */
  public static final int NEVER = 0xffff * STEP;

  public static final int POOLERS_MOST = 1024;

  public static int key(String id) {
    return id.hashCode();
  }

  private static short age(int ms) {
    return (short) Math.min(0xffff, (Math.max(0, ms) + STEP - 1) / STEP);
  }

  public byte[] encode() {
    int n = Math.min(DRAINS_MOST, drains.size());
    var b = ByteBuffer.allocate(HEAD + n * DRAIN + SUM);
    b.put(VERSION)
        .putShort((short) from)
        .putShort((short) life)
        .putShort((short) count)
        .putInt(stamp)
        .put((byte) (state.ordinal() | (wants ? 0x80 : 0)))
        .putLong(revision)
        .putInt(content)
        .putShort(age(confirmed))
        .put((byte) n);
    for (int key : drains.subList(0, n)) {
      b.putInt(key);
    }
    var crc = new CRC32();
    crc.update(b.array(), 0, b.position());
    return b.putInt((int) crc.getValue()).array();
  }

  public static Digest decode(byte[] bytes) throws Malformed {
    if (bytes.length < HEAD + SUM || bytes.length > MOST) {
      throw new Malformed("length");
    }
    var b = ByteBuffer.wrap(bytes);
    if (b.get() != VERSION) {
      throw new Malformed("version");
    }
    var crc = new CRC32();
    crc.update(bytes, 0, bytes.length - SUM);
    if ((int) crc.getValue() != b.getInt(bytes.length - SUM)) {
      throw new Malformed("checksum");
    }
    int from = b.getShort() & 0xffff;
    int life = b.getShort() & 0xffff;
    int count = b.getShort() & 0xffff;
    int stamp = b.getInt();
    int word = b.get();
    if ((word & 0x7f) >= Standing.State.values().length) {
      throw new Malformed("state");
    }
    long revision = b.getLong();
    int content = b.getInt();
    int confirmed = (b.getShort() & 0xffff) * STEP;
    int n = b.get() & 0xff;
    if (n > DRAINS_MOST || b.remaining() != n * DRAIN + SUM || revision < 0) {
      throw new Malformed("numbers");
    }
    var drains = new ArrayList<Integer>(n);
    for (int i = 0; i < n; i++) {
      drains.add(b.getInt());
    }
    return new Digest(
        from,
        life,
        count,
        stamp,
        Standing.State.values()[word & 0x7f],
        (word & 0x80) != 0,
        revision,
        content,
        confirmed,
        drains);
  }
}
