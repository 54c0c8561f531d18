import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One side of a connection that speaks version 3 of PostgreSQL's protocol. */
final class Wire implements AutoCloseable {
  /** A message by its type; the body has neither type nor length. */
  record Message(char type, byte[] body) {
    /** The zero-ended texts that the body begins with. */
    String text(int number) {
      int from = 0;
      for (int i = 0; ; i++) {
        int to = from;
        while (to < body.length && body[to] != 0) {
          to++;
        }
        if (i == number) {
          return new String(body, from, to - from, StandardCharsets.UTF_8);
        }
        from = to + 1;
      }
    }

    /** The SQLSTATE of an ErrorResponse. */
    String code() {
      for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
        if (field.startsWith("C")) {
          return field.substring(1);
        }
      }
      return "";
    }

    /** The first column of a DataRow, as text. */
    String value() {
      ByteBuffer in = ByteBuffer.wrap(body);
      in.getShort();
      var bytes = new byte[Math.max(0, in.getInt())];
      in.get(bytes);
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }

  private static final int PROTOCOL = 3 << 16;
  private static final int CANCEL = 80877102;

  final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  Wire(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
    out = new DataOutputStream(new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 17));
  }

  // ---- Building messages.
  static byte[] body(Object... parts) {
    var bytes = new ByteArrayOutputStream();
    for (Object part : parts) {
      if (part instanceof String s) {
        bytes.writeBytes(s.getBytes(StandardCharsets.UTF_8));
        bytes.write(0);
      } else if (part instanceof Integer n) {
        bytes.writeBytes(ByteBuffer.allocate(4).putInt(n).array());
      } else if (part instanceof Short n) {
        bytes.writeBytes(ByteBuffer.allocate(2).putShort(n).array());
      } else if (part instanceof Character c) {
        bytes.write(c);
      } else {
        bytes.writeBytes((byte[]) part);
      }
    }
    return bytes.toByteArray();
  }

  Wire add(char type, Object... parts) throws IOException {
    byte[] body = body(parts);
    out.write(type);
    out.writeInt(body.length + 4);
    out.write(body);
    return this;
  }

  void flush() throws IOException {
    out.flush();
  }

  // ---- As a client.
  /** Logs in and returns what was reported; an error at the start is an IOException. */
  Map<String, String> login(String user, String database, String... options) throws IOException {
    byte[] named = body("user", user, "database", database);
    byte[] more = body((Object[]) options);
    byte[] all = body(PROTOCOL, named, more, (char) 0);
    out.writeInt(all.length + 4);
    out.write(all);
    out.flush();
    var reported = new LinkedHashMap<String, String>();
    for (Message m = read(); m.type() != 'Z'; m = read()) {
      if (m.type() == 'E') {
        throw new IOException("not welcome: " + m.code());
      }
      if (m.type() == 'S') {
        reported.put(m.text(0), m.text(1));
      }
    }
    return reported;
  }

  // ---- As a server.
  /** The parameters of a client's start; null where it only brings a cancel. */
  Map<String, String> start() throws IOException {
    var bytes = new byte[in.readInt() - 4];
    in.readFully(bytes);
    ByteBuffer start = ByteBuffer.wrap(bytes);
    if (start.getInt() == CANCEL) {
      return null;
    }
    var parameters = new LinkedHashMap<String, String>();
    String[] texts =
        new String(bytes, 4, bytes.length - 4, StandardCharsets.UTF_8).split("\0", -1);
    for (int i = 0; i + 1 < texts.length && !texts[i].isEmpty(); i += 2) {
      parameters.put(texts[i], texts[i + 1]);
    }
    return parameters;
  }

  Wire parameter(String name, String value) throws IOException {
    return add('S', name, value);
  }

  Wire ready(char status) throws IOException {
    return add('Z', status);
  }

  Wire error(String severity, String code, String message) throws IOException {
    return add('E', 'S', severity, 'C', code, 'M', message, (char) 0);
  }

  /** One row of one column, and what stands before it. */
  Wire row(String column, byte[] value) throws IOException {
    add('T', (short) 1, column, 0, (short) 0, 17, (short) -1, -1, (short) 1);
    return add('D', (short) 1, value.length, value);
  }

  // ---- Reading.
  Message read() throws IOException {
    int type = in.read();
    if (type < 0) {
      throw new EOFException("the peer has closed");
    }
    var body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message((char) type, body);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // it is over in any case
    }
  }
}
