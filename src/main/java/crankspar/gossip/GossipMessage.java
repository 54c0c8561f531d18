package crankspar.gossip;

import crankspar.Router.Role;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One message between poolers: a version, the sender's number and time, facts of four bytes each,
 * where there are any its own requests in flight of four bytes a database, a checksum. Every byte
 * is paid for once a receiver, so that a message with a single fact, the commonest of a fleet of a
 * hundred, has 11.
 *
 * <p>A database is named by 24 bits of a hash of its id. A position is told as its distance behind
 * the sender's time, in steps that grow, rounded so that it is never above what the database told.
 * Of the sender's time two bytes are sent; the checksum is over all of it, so that a message that
 * comes a minute late is torn, not new.
 *
 * @param base the sender's clock (whole ms) when it was written
 * @param loads how many of the sender's requests are in flight where, none left out but for want of
 *     room
 */
public record GossipMessage(int from, long base, List<Fact> facts, List<Load> loads) {
  /**
   * What is known of a member.
   *
   * @param position clock time (ms); negative infinity where only the role is told
   */
  public record Fact(int key, Role role, double position) {}

  /**
   * How many requests the sender has in flight at a member.
   *
   * @param count up to 255
   */
  public record Load(int key, int count) {}

  /** What the platform lets through between poolers (bytes). */
  public static final int MOST = 256;

  static final int SUM = 3;
  public static final int HEAD = 1 + 1 + 2 + SUM;
  public static final int FACT = 4;
  public static final int LOAD = 4;

  /** How many facts there are, where loads follow them. */
  public static final int COUNT = 1;

  /** Poolers whose number fits. */
  public static final int POOLERS_MOST = 256;

  /**
   * Apart from the versions of {@code membership}'s datagrams, which come to the same port
   * elsewhere, and from 0x41, the first wire.
   */
  static final byte FACTS = 0x42;

  static final byte WITH_LOADS = 0x43;

  /**
   * Distances: up to FINE_MOST steps of 4 ms, then steps of 64 ms; a replica further behind is of
   * no use to a read.
   */
  private static final int FINE = 4;

  private static final int FINE_MOST = 96;
  private static final int COARSE = 64;
  private static final int FAR = 0x7f;
  private static final int PRIMARY = 0x80;

  /** Bytes that are no bulletin: dropped and counted, by why. */
  public static final class Malformed extends Exception {
    Malformed(String why) {
      super(why, null, false, false);
    }
  }

  public static int key(String id) {
    int h = id.hashCode() * 0x9E3779B9; // spread, as ids of one site look alike
    return (h ^ h >>> 15) & 0xffffff;
  }

  /** How far behind (ms) the code says that a position is: at least as far as it was. */
  private static double behind(int code) {
    return code <= FINE_MOST ? code * FINE : FINE_MOST * FINE + (code - FINE_MOST) * COARSE;
  }

  private static int code(double behind) {
    double steps =
        behind <= FINE_MOST * FINE
            ? Math.ceil(behind / FINE)
            : FINE_MOST + Math.ceil((behind - FINE_MOST * FINE) / COARSE);
    return (int) Math.min(FAR, steps);
  }

  /** How many facts a message of so many bytes has room for. */
  static int room(int bytes) {
    return Math.max(0, (Math.min(MOST, bytes) - HEAD) / FACT);
  }

  public byte[] encode() {
    var b =
        ByteBuffer.allocate(
            HEAD + facts.size() * FACT + (loads.isEmpty() ? 0 : COUNT + loads.size() * LOAD));
    b.put(loads.isEmpty() ? FACTS : WITH_LOADS).put((byte) from).putShort((short) base);
    if (!loads.isEmpty()) {
      b.put((byte) facts.size());
    }
    for (Fact f : facts) {
      put24(b, f.key());
      b.put(
          (byte)
              ((f.role() == Role.PRIMARY ? PRIMARY : 0) | code(Math.max(0, base - f.position()))));
    }
    for (Load l : loads) {
      put24(b, l.key());
      b.put((byte) Math.min(0xff, l.count()));
    }
    put24(b, sum(b.array(), b.position(), base));
    return b.array();
  }

  /**
   * {@code now} is the receiver's clock (ms): the sender's is within half a minute of it, or the
   * message is torn.
   */
  public static GossipMessage decode(byte[] bytes, double now) throws Malformed {
    if (bytes.length < HEAD || bytes.length > MOST) {
      throw new Malformed("length");
    }
    var b = ByteBuffer.wrap(bytes);
    byte version = b.get();
    if (version != FACTS && version != WITH_LOADS) {
      throw new Malformed("version");
    }
    int from = b.get() & 0xff;
    long base = base(bytes, b, now);
    int end = bytes.length - SUM;
    int rest = end - b.position();
    int count = version == FACTS ? rest / FACT : rest < COUNT ? 0 : b.get() & 0xff;
    rest = end - b.position() - count * FACT;
    if (rest < 0 || rest % LOAD != 0 || version == FACTS && rest != 0) {
      throw new Malformed("length");
    }
    var facts = new ArrayList<Fact>(count);
    for (int i = 0; i < count; i++) {
      int key = get24(b);
      int word = b.get();
      int code = word & FAR;
      facts.add(
          new Fact(
              key,
              (word & PRIMARY) != 0 ? Role.PRIMARY : Role.REPLICA,
              code == FAR ? Double.NEGATIVE_INFINITY : base - behind(code)));
    }
    var loads = new ArrayList<Load>(rest / LOAD);
    while (b.position() < end) {
      loads.add(new Load(get24(b), b.get() & 0xff));
    }
    return new GossipMessage(from, base, facts, loads);
  }

  /**
   * The sender's time, of which two bytes were sent, once the checksum over all of it and of what
   * stands before holds.
   */
  static long base(byte[] bytes, ByteBuffer at, double now) throws Malformed {
    long base = (long) now + (short) (at.getShort() - (short) (long) now);
    int end = bytes.length - SUM;
    if (sum(bytes, end, base) != get24(ByteBuffer.wrap(bytes, end, SUM))) {
      throw new Malformed("checksum");
    }
    return base;
  }

  static void put24(ByteBuffer b, int value) {
    b.put((byte) (value >>> 16)).putShort((short) value);
  }

  static int get24(ByteBuffer b) {
    return (b.get() & 0xff) << 16 | b.getShort() & 0xffff;
  }

  static int sum(byte[] bytes, int length, long base) {
    var crc = new CRC32();
    crc.update(bytes, 0, length);
    for (int i = 0; i < 64; i += 8) {
      crc.update((int) (base >>> i) & 0xff);
    }
    return (int) crc.getValue() & 0xffffff;
  }
}
