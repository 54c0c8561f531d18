package crankspar.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes messages one after the other, so that an answer leaves in one piece. */
public final class PgEncoder {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream(256);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);

  public byte[] bytes() {
    return out.toByteArray();
  }

  public PgEncoder add(PgMessage message) {
    body.reset();
    if (message instanceof PgMessage.Startup m) {
      int32(3 << 16);
      for (Map.Entry<String, String> p : m.parameters().entrySet()) {
        text(p.getKey());
        text(p.getValue());
      }
      body.write(0);
      return frame((char) 0);
    } else if (message instanceof PgMessage.Query m) {
      text(m.sql());
      return frame('Q');
    } else if (message instanceof PgMessage.Sync) {
      return frame('S');
    } else if (message instanceof PgMessage.Terminate) {
      return frame('X');
    } else if (message instanceof PgMessage.AuthenticationOk) {
      int32(0);
      return frame('R');
    } else if (message instanceof PgMessage.BackendKeyData m) {
      int32(m.process());
      int32(m.secret());
      return frame('K');
    } else if (message instanceof PgMessage.ParameterStatus m) {
      text(m.name());
      text(m.value());
      return frame('S');
    } else if (message instanceof PgMessage.ReadyForQuery) {
      body.write('I');
      return frame('Z');
    } else if (message instanceof PgMessage.RowDescription m) {
      body.writeBytes(m.body());
      return frame('T');
    } else if (message instanceof PgMessage.DataRow m) {
      int16(m.values().size());
      for (byte[] value : m.values()) {
        int32(value == null ? -1 : value.length);
        if (value != null) {
          body.writeBytes(value);
        }
      }
      return frame('D');
    } else if (message instanceof PgMessage.CommandComplete m) {
      text(m.tag());
      return frame('C');
    } else if (message instanceof PgMessage.EmptyQueryResponse) {
      return frame('I');
    } else if (message instanceof PgMessage.Report m) {
      m.fields()
          .forEach(
              (code, value) -> {
                body.write(code);
                text(value);
              });
      body.write(0);
      return frame(m.notice() ? 'N' : 'E');
    }
    if (message instanceof PgMessage.LongRow m) { // its parts follow as they are
      out.write('D');
      int16((m.size() + 10) >>> 16);
      int16(m.size() + 10);
      int16(1);
      int32(m.size());
      out.writeBytes(body.toByteArray());
      return this;
    }
    throw new IllegalArgumentException("not for sending: " + message);
  }

  /** Columns of text, for what the pooler tells of itself. */
  public static PgMessage.RowDescription textColumns(String... names) {
    var e = new PgEncoder();
    e.int16(names.length);
    for (String name : names) {
      e.text(name);
      e.int32(0);
      e.int16(0);
      e.int32(25); // the type text
      e.int16(-1);
      e.int32(-1);
      e.int16(0);
    }
    return new PgMessage.RowDescription(names.length, e.body.toByteArray());
  }

  /** A Query message in one buffer of its size: a statement may be of a megabyte. */
  static byte[] query(String sql) {
    byte[] text = sql.getBytes(StandardCharsets.UTF_8);
    int length = Integer.BYTES + text.length + 1;
    return ByteBuffer.allocate(1 + length).put((byte) 'Q').putInt(length).put(text).array();
  }

  private PgEncoder frame(char type) {
    if (type != 0) {
      out.write(type);
    }
    int n = body.size() + 4;
    out.write(n >>> 24);
    out.write(n >>> 16);
    out.write(n >>> 8);
    out.write(n);
    try {
      body.writeTo(out); // without a copy between: a value may be large
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    return this;
  }

  private void int32(int n) {
    int16(n >>> 16);
    int16(n);
  }

  private void int16(int n) {
    body.write(n >>> 8);
    body.write(n);
  }

  private void text(String text) {
    body.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    body.write(0);
  }
}
