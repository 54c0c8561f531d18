package crankspar.membership;

import crankspar.membership.News.State;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram: a message of SWIM's with news, and what duties have to share. At most {@link #MOST}
 * bytes with the seal.
 *
 * @param seq counts a sender's datagrams since its start, so that a replay is told
 * @param seconds the sender's clock (Unix), so that one from long ago is told
 * @param list a hash of the sender's list of peers: two that number them differently do not talk
 * @param target whom a request is about, or whose answer is brought; {@code call} pairs answers
 *     with requests
 */
public record Packet(
    Kind kind,
    int from,
    int incarnation,
    int seq,
    int seconds,
    int list,
    int zone,
    int weight,
    int target,
    int call,
    List<News> news,
    List<Share> shares) {
  public enum Kind {
    PING,
    ACK,
    PING_REQUEST,
    GOSSIP
  }

  /**
   * A probe's result, as it goes round.
   *
   * @param key of the database, a hash of its id; {@code by} and {@code epoch} tell the lease under
   *     which it was made
   * @param number counts the prober's probes of it, by which one that comes round again is known
   * @param age ms since the probe left, when this datagram did
   * @param role 0 unknown, 1 primary, 2 replica; {@code position} Unix ms or 0
   */
  public record Share(
      int key, int by, int epoch, int number, int age, boolean ok, int role, long position) {}

  /** What the platform lets through. */
  public static final int MOST = 256;

  public static final int SEAL = 8;
  private static final int VERSION = 1;
  private static final int HEAD = 27;
  private static final int NEWS = 9;
  private static final int SHARE = 20;
  private static final int AGE_MOST = 0xffff;

  /** Bytes that cannot be read: dropped and counted. */
  public static final class Malformed extends Exception {
    Malformed(String why) {
      super(why);
    }
  }

  /** How many shares fit beside so much news. */
  public static int room(int news) {
    return Math.max(0, (MOST - SEAL - HEAD - news * NEWS) / SHARE);
  }

  public static int newsRoom() {
    return (MOST - SEAL - HEAD) / NEWS;
  }

  /** Without its seal. */
  public byte[] encode() {
    var b = ByteBuffer.allocate(MOST - SEAL);
    b.put((byte) VERSION)
        .put((byte) kind.ordinal())
        .putShort((short) from)
        .putInt(incarnation)
        .putInt(seq)
        .putInt(seconds)
        .putShort((short) list)
        .put((byte) zone)
        .put((byte) weight)
        .putShort((short) target)
        .putShort((short) call)
        .put((byte) news.size())
        .put((byte) shares.size())
        .put((byte) 0);
    for (News n : news) {
      b.putShort((short) n.member())
          .put((byte) n.state().ordinal())
          .putInt(n.incarnation())
          .put((byte) n.zone())
          .put((byte) n.weight());
    }
    for (Share s : shares) {
      b.putInt(s.key())
          .putShort((short) s.by())
          .putInt(s.epoch())
          .putShort((short) Math.min(AGE_MOST, Math.max(0, s.age())))
          .put((byte) (s.role() << 1 | (s.ok() ? 1 : 0)))
          .put((byte) s.number())
          .putShort((short) (s.position() >>> 32))
          .putInt((int) s.position());
    }
    byte[] bytes = new byte[b.position()];
    b.flip().get(bytes);
    return bytes;
  }

  public static Packet decode(byte[] bytes, int length) throws Malformed {
    try {
      var b = ByteBuffer.wrap(bytes, 0, length);
      if (b.get() != VERSION) {
        throw new Malformed("another version");
      }
      int kind = b.get() & 0xff;
      int from = b.getShort() & 0xffff;
      int incarnation = b.getInt();
      int seq = b.getInt();
      int seconds = b.getInt();
      int list = b.getShort() & 0xffff;
      int zone = b.get() & 0xff;
      int weight = b.get() & 0xff;
      int target = b.getShort() & 0xffff;
      int call = b.getShort() & 0xffff;
      int newsCount = b.get() & 0xff;
      int shareCount = b.get() & 0xff;
      b.get();
      if (kind >= Kind.values().length || newsCount * NEWS + shareCount * SHARE != b.remaining()) {
        throw new Malformed("no packet");
      }
      var news = new ArrayList<News>(newsCount);
      for (int i = 0; i < newsCount; i++) {
        int member = b.getShort() & 0xffff;
        int state = b.get() & 0xff;
        if (state >= State.values().length) {
          throw new Malformed("no state");
        }
        news.add(
            new News(member, State.values()[state], b.getInt(), b.get() & 0xff, b.get() & 0xff));
      }
      var shares = new ArrayList<Share>(shareCount);
      for (int i = 0; i < shareCount; i++) {
        int key = b.getInt();
        int by = b.getShort() & 0xffff;
        int epoch = b.getInt();
        int age = b.getShort() & 0xffff;
        int flags = b.get() & 0xff;
        int number = b.get() & 0xff;
        long position = (b.getShort() & 0xffffL) << 32 | b.getInt() & 0xffffffffL;
        if (flags >> 1 > 2) {
          throw new Malformed("no role");
        }
        shares.add(new Share(key, by, epoch, number, age, (flags & 1) == 1, flags >> 1, position));
      }
      return new Packet(
          Kind.values()[kind],
          from,
          incarnation,
          seq,
          seconds,
          list,
          zone,
          weight,
          target,
          call,
          news,
          shares);
    } catch (BufferUnderflowException e) {
      throw new Malformed("too short");
    }
  }
}
