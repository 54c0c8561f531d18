package crankspar.pooling;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One message of PostgreSQL's protocol 3.0 in wire format, including type and length, so that
 * forwarded messages are neither decoded nor encoded again. A data message too long to buffer
 * arrives in pieces: the first with the header, the others as {@link #PART}.
 *
 * @param wire all bytes including the five of the header; a part has no header
 * @param whole false while further pieces are to come
 */
public record Frame(char type, byte[] wire, boolean whole) {
  /** A further piece of the preceding data message. */
  public static final char PART = 1;

  /** Startup messages, which have no type byte on the wire. */
  public static final char STARTUP = 2;

  public static final char CANCEL = 3;
  public static final char ENCRYPTION = 4;
  private static final int HEADER_BYTES = 5;

  /** A message that violates the protocol, such as one that ends before its last field. */
  public static final class Malformed extends Exception {
    public Malformed(String message) {
      super(message);
    }
  }

  /** Reads the fields of a message body in order. */
  public static final class Reader {
    private final byte[] bytes;
    private int at;

    Reader(byte[] bytes, int at) {
      this.bytes = bytes;
      this.at = at;
    }

    private int advance(int n) throws Malformed {
      if (n < 0 || bytes.length - at < n) {
        throw new Malformed("message is truncated");
      }
      at += n;
      return at - n;
    }

    public int int32() throws Malformed {
      return ByteBuffer.wrap(bytes, advance(4), 4).getInt();
    }

    public int int16() throws Malformed {
      return ByteBuffer.wrap(bytes, advance(2), 2).getShort() & 0xffff;
    }

    public char code() throws Malformed {
      return (char) (bytes[advance(1)] & 0xff);
    }

    public String text() throws Malformed {
      int start = at;
      int end = at;
      while (end < bytes.length && bytes[end] != 0) {
        end++;
      }
      advance(end + 1 - start);
      return new String(bytes, start, end - start, StandardCharsets.UTF_8);
    }

    public byte[] bytes(int n) throws Malformed {
      int start = advance(n);
      return Arrays.copyOfRange(bytes, start, start + n);
    }

    public byte[] rest() {
      int start = at;
      at = bytes.length;
      return Arrays.copyOfRange(bytes, start, at);
    }

    public boolean atEnd() {
      return at == bytes.length;
    }
  }

  /** Writes the fields of a message body in order. */
  public static final class Body {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(64);

    public Body int32(int n) {
      return int16(n >>> 16).int16(n);
    }

    public Body int16(int n) {
      out.write(n >>> 8);
      out.write(n);
      return this;
    }

    public Body code(char c) {
      out.write(c);
      return this;
    }

    public Body text(String text) {
      out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
      out.write(0);
      return this;
    }

    public Body bytes(byte[] bytes) {
      out.writeBytes(bytes);
      return this;
    }

    public Frame as(char type) {
      byte[] body = out.toByteArray();
      var wire = ByteBuffer.allocate(HEADER_BYTES + body.length);
      wire.put((byte) type).putInt(body.length + 4).put(body);
      return new Frame(type, wire.array(), true);
    }
  }

  public static Body body() {
    return new Body();
  }

  public Reader read() {
    return new Reader(wire, type == PART ? 0 : type < ' ' ? 4 : HEADER_BYTES);
  }

  /** Whether it is a client message of the extended protocol that a Sync has to follow. */
  boolean beginsBatch() {
    return type == 'P' || type == 'B' || type == 'D' || type == 'C' || type == 'E';
  }

  /** Whether it ends a batch of the client: the next message begins another. */
  boolean endsBatch() {
    return type == 'S' || type == 'Q' || type == 'F';
  }

  public int size() {
    return wire.length;
  }

  @Override
  public String toString() {
    return (type < ' ' ? "#" + (int) type : String.valueOf(type)) + wire.length;
  }

  // ---- Messages created by the pooler.
  static final Frame SYNC = body().as('S');
  static final Frame PARSE_COMPLETE = body().as('1');
  static final Frame CLOSE_COMPLETE = body().as('3');
  static final Frame EMPTY_QUERY = body().as('I');
  static final Frame TERMINATE = body().as('X');

  public static Frame query(String sql) {
    return body().text(sql).as('Q');
  }

  public static Frame ready(char status) {
    return body().code(status).as('Z');
  }

  public static Frame complete(String tag) {
    return body().text(tag).as('C');
  }

  public static Frame parameter(String name, String value) {
    return body().text(name).text(value).as('S');
  }

  static Frame close(char kind, String name) {
    return body().code(kind).text(name).as('C');
  }

  /**
   * Returns an ErrorResponse.
   *
   * @param severity ERROR or FATAL
   * @param detail may be null
   */
  public static Frame error(String severity, String code, String message, String detail) {
    Body b =
        body()
            .code('S')
            .text(severity)
            .code('V')
            .text(severity)
            .code('C')
            .text(code)
            .code('M')
            .text(message);
    return (detail == null ? b : b.code('D').text(detail)).code((char) 0).as('E');
  }

  /** Returns the fields of an ErrorResponse or NoticeResponse by their type letters. */
  public Map<Character, String> fields() throws Malformed {
    var fields = new LinkedHashMap<Character, String>();
    Reader r = read();
    for (char c = r.code(); c != 0; c = r.code()) {
      fields.put(c, r.text());
    }
    return fields;
  }

  /** Returns a RowDescription of text columns. */
  public static Frame columns(List<String> names) {
    Body b = body().int16(names.size());
    for (String name : names) {
      b.text(name).int32(0).int16(0).int32(25).int16(-1).int32(-1).int16(0);
    }
    return b.as('T');
  }

  /** Returns a DataRow of text values; null is SQL NULL. */
  public static Frame row(List<String> values) {
    Body b = body().int16(values.size());
    for (String value : values) {
      if (value == null) {
        b.int32(-1);
      } else {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        b.int32(bytes.length).bytes(bytes);
      }
    }
    return b.as('D');
  }

  /** Returns the startup message of a client, which has no type byte. */
  public static byte[] startup(int version, Map<String, String> parameters) {
    Body b = body().int32(version);
    parameters.forEach((k, v) -> b.text(k).text(v));
    byte[] whole = b.code((char) 0).as('x').wire();
    return Arrays.copyOfRange(whole, 1, whole.length);
  }

  /** Returns a CancelRequest for the connection with this key. */
  public static byte[] cancel(int process, int secret) {
    byte[] whole =
        body().int32(FrameDecoder.CANCEL_REQUEST_CODE).int32(process).int32(secret).as('x').wire();
    return Arrays.copyOfRange(whole, 1, whole.length);
  }

  /** Concatenates the bytes of several frames. */
  public static byte[] join(List<Frame> frames) {
    if (frames.size() == 1) {
      return frames.get(0).wire;
    }
    int n = 0;
    for (Frame f : frames) {
      n += f.wire.length;
    }
    byte[] all = new byte[n];
    n = 0;
    for (Frame f : frames) {
      System.arraycopy(f.wire, 0, all, n, f.wire.length);
      n += f.wire.length;
    }
    return all;
  }
}
