package crankspar.hearsay;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The databases that drain, as one pooler's watch at discovery says: a version, the sender's number and time, three bytes a
 * database, a checksum over all of the time, as in a {@link Bulletin}.
 *
 * @param base the sender's clock (whole ms) when it was written
 * @param keys {@link Bulletin#key} of each, {@link #KEYS_MOST} at most
 */
record DrainNotice(int from, long base, List<Integer> keys) {
    /** Beside a bulletin's versions, on the same port. */
    static final byte VERSION = 0x44;
    static final int KEY = 3;
    static final int KEYS_MOST = (Bulletin.MOST - Bulletin.HEAD) / KEY;

    byte[] encode() {
        var b = ByteBuffer.allocate(Bulletin.HEAD + keys.size() * KEY);
        b.put(VERSION).put((byte) from).putShort((short) base);
        keys.forEach(k -> Bulletin.put24(b, k));
        Bulletin.put24(b, Bulletin.sum(b.array(), b.position(), base));
        return b.array();
    }

    /** {@code now} is the receiver's clock (ms). */
    static DrainNotice decode(byte[] bytes, double now) throws Bulletin.Malformed {
        if (bytes.length < Bulletin.HEAD || bytes.length > Bulletin.MOST || (bytes.length - Bulletin.HEAD) % KEY != 0) {
            throw new Bulletin.Malformed("length");
        }
        var b = ByteBuffer.wrap(bytes);
        if (b.get() != VERSION) {
            throw new Bulletin.Malformed("version");
        }
        int from = b.get() & 0xff;
        long base = Bulletin.base(bytes, b, now);
        var keys = new ArrayList<Integer>();
        while (b.position() < bytes.length - Bulletin.SUM) {
            keys.add(Bulletin.get24(b));
        }
        return new DrainNotice(from, base, keys);
    }
}
