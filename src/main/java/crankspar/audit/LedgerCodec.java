package crankspar.audit;

import crankspar.audit.Ledger.Kind;
import crankspar.audit.Ledger.Row;
import crankspar.audit.Ledger.Touch;
import crankspar.audit.Stand.Origin;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The ledger's bytes in a file: a head with a magic word, the format's version, whose it is and the
 * names of the classes; then records, each with its length and a checksum over its bytes. A row's
 * record holds all that it has counted so far, so that the last one counts; what follows the first
 * record that does not read whole is torn off, and said so.
 */
public final class LedgerCodec {
  /**
   * What could be read. {@code torn} is how many bytes at the end could not, {@code until} the time
   * of the last record.
   */
  public record Read(
      String pooler,
      List<String> classes,
      List<Stand> stands,
      List<Row> rows,
      List<Touch> ends,
      double until,
      int torn) {}

  /** A file that is no ledger of this format, with why. */
  public static final class Foreign extends IOException {
    Foreign(String why) {
      super(why);
    }
  }

  private static final int MAGIC = 0x6c656467;
  private static final short FORMAT = 1;
  static final int RECORD_MOST = 1 << 16;
  private static final byte STAND = 1;
  private static final byte ROW = 2;
  private static final byte END = 3;

  private interface Body {
    void write(DataOutputStream out) throws IOException;
  }

  private LedgerCodec() {}

  public static byte[] head(String pooler, List<String> classes) {
    return framed(
        out -> {
          out.writeInt(MAGIC);
          out.writeShort(FORMAT);
          out.writeUTF(pooler);
          out.writeShort(classes.size());
          for (String c : classes) {
            out.writeUTF(c);
          }
        });
  }

  public static byte[] stand(Stand s) {
    return framed(
        out -> {
          out.writeByte(STAND);
          out.writeInt(s.number());
          out.writeDouble(s.at());
          out.writeByte(s.origin().ordinal());
          out.writeUTF(s.build());
          out.writeInt(s.configuration());
          out.writeInt(s.generation());
          out.writeUTF(s.discovery());
          out.writeInt(s.epoch());
          out.writeLong(s.revision());
          out.writeInt(s.content());
          out.writeLong(s.marks());
          out.writeInt(s.marked());
          out.writeInt(s.primaries());
        });
  }

  public static byte[] row(Row r) {
    return framed(
        out -> {
          out.writeByte(ROW);
          out.writeInt(r.stand);
          out.writeUTF(r.database);
          out.writeDouble(r.first);
          out.writeDouble(r.last);
          for (long n : r.byClass) {
            out.writeLong(n);
          }
        });
  }

  public static byte[] end(Touch t) {
    return framed(
        out -> {
          out.writeByte(END);
          out.writeUTF(t.request());
          out.writeInt(t.stand());
          out.writeByte(t.kind().ordinal());
          out.writeShort(t.requestClass());
          out.writeDouble(t.at());
        });
  }

  private static byte[] framed(Body body) {
    var bytes = new ByteArrayOutputStream();
    try {
      body.write(new DataOutputStream(bytes));
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a name longer than 64 KiB: none is let in
    }
    byte[] b = bytes.toByteArray();
    return ByteBuffer.allocate(8 + b.length).putInt(b.length).put(b).putInt(sum(b)).array();
  }

  private static int sum(byte[] b) {
    var crc = new CRC32C();
    crc.update(b);
    return (int) crc.getValue();
  }

  /** Reads what is whole. */
  public static Read read(byte[] file) throws Foreign {
    var in = ByteBuffer.wrap(file);
    byte[] head = next(in);
    if (head == null) {
      throw new Foreign(file.length == 0 ? "empty" : "no ledger, or torn in its head");
    }
    try {
      var h = new DataInputStream(new ByteArrayInputStream(head));
      if (h.readInt() != MAGIC) {
        throw new Foreign("no ledger");
      }
      int format = h.readShort();
      if (format != FORMAT) {
        throw new Foreign("format " + format + ", this program reads " + FORMAT);
      }
      String pooler = h.readUTF();
      var classes = new ArrayList<String>();
      for (int n = h.readShort(); n > 0; n--) {
        classes.add(h.readUTF());
      }
      var stands = new LinkedHashMap<Integer, Stand>();
      Map<String, Row> rows = new LinkedHashMap<>();
      var ends = new ArrayList<Touch>();
      double until = 0;
      int whole = in.position();
      for (byte[] b = next(in); b != null; b = next(in)) {
        var d = new DataInputStream(new ByteArrayInputStream(b));
        switch (d.readByte()) {
          case STAND -> {
            var s =
                new Stand(
                    d.readInt(),
                    d.readDouble(),
                    Origin.values()[d.readByte()],
                    d.readUTF(),
                    d.readInt(),
                    d.readInt(),
                    d.readUTF(),
                    d.readInt(),
                    d.readLong(),
                    d.readInt(),
                    d.readLong(),
                    d.readInt(),
                    d.readInt());
            stands.put(s.number(), s);
            until = Math.max(until, s.at());
          }
          case ROW -> {
            var r = new Row(d.readInt(), d.readUTF(), classes.size());
            r.first = d.readDouble();
            r.last = d.readDouble();
            for (int i = 0; i < classes.size(); i++) {
              r.byClass[i] = d.readLong();
            }
            rows.put(r.stand + "/" + r.database, r);
            until = Math.max(until, r.last);
          }
          case END -> {
            var t =
                new Touch(
                    d.readUTF(),
                    d.readInt(),
                    Kind.values()[d.readByte()],
                    "",
                    d.readShort(),
                    d.readDouble());
            ends.add(t);
            until = Math.max(until, t.at());
          }
          default -> {} // of a kind that came later within the format: read past
        }
        whole = in.position();
      }
      return new Read(
          pooler,
          classes,
          List.copyOf(stands.values()),
          List.copyOf(rows.values()),
          ends,
          until,
          file.length - whole);
    } catch (Foreign e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new Foreign("a record of this checksum cannot be read: " + e.getMessage());
    }
  }

  /** The next whole record, or null with the position where it began. */
  private static byte[] next(ByteBuffer in) {
    int begin = in.position();
    if (in.remaining() >= 8) {
      int length = in.getInt();
      if (length > 0 && length <= RECORD_MOST && in.remaining() >= length + 4) {
        byte[] b = new byte[length];
        in.get(b);
        if (in.getInt() == sum(b)) {
          return b;
        }
      }
    }
    in.position(begin);
    return null;
  }

  /** How many bytes of a file are whole. */
  static int whole(byte[] file) throws Foreign {
    return file.length - read(file).torn();
  }

  static byte[] all(Iterable<byte[]> parts) {
    var out = new ByteArrayOutputStream();
    parts.forEach(out::writeBytes);
    return out.toByteArray();
  }
}
