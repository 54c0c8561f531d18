package crankspar.hearsay;

import crankspar.Router.Role;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One message between poolers: a version, the sender's number and time, facts of six bytes each, its own requests in flight
 * of five bytes a database, a checksum. A fact names its database
 * by a hash of its id, so that ids of any length fit; its position is told as its distance behind the sender's time, rounded
 * so that it is never above what the database told.
 *
 * @param base the sender's clock (whole ms) when it was written
 * @param loads how many of the sender's requests are in flight where, none left out but for want of room
 */
public record Bulletin(int from, long base, List<Fact> facts, List<Load> loads) {
    /** @param position clock time (ms); negative infinity where only the role is told */
    public record Fact(int key, Role role, double position) { }

    /** @param count up to 255 */
    public record Load(int key, int count) { }

    /** What the platform lets through between poolers (bytes). */
    public static final int MOST = 256;
    public static final int HEAD = 1 + 1 + 6 + 1 + 4;
    public static final int FACT = 6;
    public static final int LOAD = 5;
    /** Poolers whose number fits. */
    public static final int POOLERS_MOST = 256;
    /** Apart from the versions of {@code membership}'s datagrams, which come to the same port elsewhere. */
    static final byte VERSION = 0x41;
    /** Distances (ms) take 14 bits; a replica further behind is of no use to any bounded read. */
    private static final int FAR = 0x3fff;

    /** Bytes that are no bulletin: dropped and counted, by why. */
    public static final class Malformed extends Exception {
        Malformed(String why) { super(why, null, false, false); }
    }

    public static int key(String id) {
        int h = id.hashCode() * 0x9E3779B9;   // spread, as ids of one site look alike
        return h ^ h >>> 15;
    }

    public byte[] encode() {
        var b = ByteBuffer.allocate(HEAD + facts.size() * FACT + loads.size() * LOAD);
        b.put(VERSION).put((byte) from).putShort((short) (base >>> 32)).putInt((int) base).put((byte) facts.size());
        for (Fact f : facts) {
            double behind = Math.ceil(Math.max(0, base - f.position()));
            b.putInt(f.key()).putShort((short) (f.role().ordinal() << 14 | (int) Math.min(FAR, behind)));
        }
        loads.forEach(l -> b.putInt(l.key()).put((byte) Math.min(0xff, l.count())));
        b.putInt(sum(b.array(), b.position()));
        return b.array();
    }

    public static Bulletin decode(byte[] bytes) throws Malformed {
        if (bytes.length < HEAD || bytes.length > MOST) {
            throw new Malformed("length");
        }
        var b = ByteBuffer.wrap(bytes);
        if (b.get() != VERSION) {
            throw new Malformed("version");
        }
        if (b.getInt(bytes.length - 4) != sum(bytes, bytes.length - 4)) {
            throw new Malformed("checksum");
        }
        int from = b.get() & 0xff;
        long base = (b.getShort() & 0xffffL) << 32 | b.getInt() & 0xffffffffL;
        int count = b.get() & 0xff;
        int rest = bytes.length - HEAD - count * FACT;
        if (rest < 0 || rest % LOAD != 0) {
            throw new Malformed("length");
        }
        var facts = new ArrayList<Fact>(count);
        for (int i = 0; i < count; i++) {
            int key = b.getInt();
            int word = b.getShort() & 0xffff;
            if (word >> 14 >= Role.values().length) {
                throw new Malformed("role");
            }
            int behind = word & FAR;
            facts.add(new Fact(key, Role.values()[word >> 14], behind == FAR ? Double.NEGATIVE_INFINITY : base - behind));
        }
        var loads = new ArrayList<Load>(rest / LOAD);
        while (b.remaining() > 4) {
            loads.add(new Load(b.getInt(), b.get() & 0xff));
        }
        return new Bulletin(from, base, facts, loads);
    }

    private static int sum(byte[] bytes, int length) {
        var crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
