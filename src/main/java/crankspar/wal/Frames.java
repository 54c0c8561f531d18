package crankspar.wal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * How a batch of records stands in a log: one frame with one checksum, so that a batch is there as
 * a whole or not at all. A frame names the place it was written to: what is left of an older one
 * never passes for one.
 *
 * <pre>
 * marker (4 bytes)  length of the payload (4)  offset in the file (8)  time (8)  CRC-32 of the rest (4)
 * payload: records, each with its length (4) before it
 * </pre>
 */
final class Frames {
  private static final int MARKER = 0x43_53_50_31;
  private static final int TIME_AT = 16;
  private static final int CHECKSUM_AT = 24;
  static final int HEAD_BYTES = 28;

  /** The longest payload (bytes): a batch is far shorter. */
  private static final int PAYLOAD_MOST = 64 << 20;

  private Frames() {}

  /**
   * What a range of a log holds.
   *
   * @param end the offset in the file behind the last whole frame
   * @param unreadable how many bytes before that belong to no whole frame
   * @param lastTime the time of the last whole frame, or NaN
   * @param unreadableUntil the time of the first whole frame behind what is unreadable, or NaN
   */
  record Scan(long end, long unreadable, double lastTime, double unreadableUntil) {}

  /** The frame of these records, to be written at this offset; ready to be read. */
  static ByteBuffer encode(long offset, double time, List<ByteBuffer> records) {
    int payload = records.stream().mapToInt(r -> Integer.BYTES + r.remaining()).sum();
    var frame = ByteBuffer.allocate(HEAD_BYTES + payload);
    frame.putInt(MARKER).putInt(payload).putLong(offset).putDouble(time).putInt(0);
    for (ByteBuffer record : records) {
      frame.putInt(record.remaining()).put(record.duplicate());
    }
    frame.putInt(CHECKSUM_AT, checksum(frame.array(), 0, payload));
    return frame.flip();
  }

  /** Reads bytes that stand at this offset of the file; hands on each record of a whole frame. */
  static Scan scan(long offset, byte[] bytes, Consumer<RecordLog.Logged> records) {
    int end = 0;
    long unreadable = 0;
    double lastTime = Double.NaN;
    double unreadableUntil = Double.NaN;
    for (int at = 0; at <= bytes.length - HEAD_BYTES; ) {
      int length = wholeFrame(offset, bytes, at);
      if (length < 0) {
        at++;
        continue;
      }
      var frame = ByteBuffer.wrap(bytes, at, HEAD_BYTES + length);
      lastTime = frame.getDouble(at + TIME_AT);
      if (at > end) {
        unreadable += at - end;
        unreadableUntil = lastTime;
      }
      handOn(frame, lastTime, records);
      at += HEAD_BYTES + length;
      end = at;
    }
    return new Scan(offset + end, unreadable, lastTime, unreadableUntil);
  }

  /** The length of the payload of the whole frame that begins there, or -1. */
  private static int wholeFrame(long offset, byte[] bytes, int at) {
    var head = ByteBuffer.wrap(bytes, at, HEAD_BYTES);
    if (head.getInt() != MARKER) {
      return -1;
    }
    int length = head.getInt();
    boolean fits =
        length >= 0 && length <= PAYLOAD_MOST && at + HEAD_BYTES + length <= bytes.length;
    boolean here = head.getLong() == offset + at;
    int checksum = head.getInt(at + CHECKSUM_AT);
    return fits && here && checksum == checksum(bytes, at, length) ? length : -1;
  }

  private static int checksum(byte[] bytes, int frame, int length) {
    var crc = new CRC32();
    crc.update(bytes, frame + Integer.BYTES, CHECKSUM_AT - Integer.BYTES);
    crc.update(bytes, frame + HEAD_BYTES, length);
    return (int) crc.getValue();
  }

  private static void handOn(ByteBuffer frame, double time, Consumer<RecordLog.Logged> records) {
    frame.position(frame.position() + HEAD_BYTES);
    while (frame.hasRemaining()) {
      int length = frame.getInt();
      records.accept(new RecordLog.Logged(frame.slice(frame.position(), length), time));
      frame.position(frame.position() + length);
    }
  }
}
