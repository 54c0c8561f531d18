import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Messages of PostgreSQL's protocol 3.0, as far as the review's stand-ins need them. */
final class Wire {
  static final int PROTOCOL = 3 << 16;
  static final int CANCEL = 80877102;

  private Wire() {}

  /** One typed message. */
  record Message(char type, byte[] body) {
    /** The fields of an ErrorResponse, by their letters. */
    Map<Character, String> fields() {
      var fields = new LinkedHashMap<Character, String>();
      int at = 0;
      while (at < body.length && body[at] != 0) {
        char letter = (char) body[at];
        int end = at + 1;
        while (body[end] != 0) {
          end++;
        }
        fields.put(letter, new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8));
        at = end + 1;
      }
      return fields;
    }
  }

  /** Builds the body of a message. */
  static final class Body {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    Body int16(int n) {
      out.write(n >> 8);
      out.write(n);
      return this;
    }

    Body int32(int n) {
      return int16(n >> 16).int16(n);
    }

    Body code(char c) {
      out.write(c);
      return this;
    }

    Body text(String text) {
      out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
      out.write(0);
      return this;
    }

    Body bytes(byte[] bytes) {
      out.writeBytes(bytes);
      return this;
    }

    /** The whole message with its type and length. */
    byte[] as(char type) {
      var whole = new Body();
      whole.code(type).int32(out.size() + 4).bytes(out.toByteArray());
      return whole.out.toByteArray();
    }

    /** The whole message of a kind that has no type byte. */
    byte[] untyped() {
      var whole = new Body();
      whole.int32(out.size() + 4).bytes(out.toByteArray());
      return whole.out.toByteArray();
    }
  }

  static byte[] startup(Map<String, String> parameters) {
    var body = new Body().int32(PROTOCOL);
    parameters.forEach((name, value) -> body.text(name).text(value));
    return body.code((char) 0).untyped();
  }

  static byte[] query(String sql) {
    return new Body().text(sql).as('Q');
  }

  static byte[] row(String column, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    var all = new ByteArrayOutputStream();
    var columns = new Body().int16(1).text(column).int32(0).int16(0).int32(25).int16(-1).int32(-1);
    all.writeBytes(columns.int16(0).as('T'));
    all.writeBytes(new Body().int16(1).int32(bytes.length).bytes(bytes).as('D'));
    return all.toByteArray();
  }

  static byte[] complete(String tag) {
    return new Body().text(tag).as('C');
  }

  static byte[] ready(char status) {
    return new Body().code(status).as('Z');
  }

  static byte[] parameter(String name, String value) {
    return new Body().text(name).text(value).as('S');
  }

  static byte[] error(String code, String message) {
    var body = new Body().code('S').text("ERROR").code('C').text(code).code('M').text(message);
    return body.code((char) 0).as('E');
  }

  static Message read(DataInputStream in) throws IOException {
    char type = (char) in.readUnsignedByte();
    var body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message(type, body);
  }

  /** What came back for one simple query. */
  record Answer(List<String> values, String tag, String code, String message, boolean ended) {
    /** The answer in one word, for the record. */
    String brief() {
      return code != null
          ? "error " + code + " " + message
          : ended ? "connection ended" : values.isEmpty() ? tag : String.join(",", values);
    }

    String value() {
      return values.isEmpty() ? null : values.get(0);
    }
  }

  /** A blocking client, for simple queries. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    int process;
    int secret;

    Client(int port, int timeoutMs, Map<String, String> parameters) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
      out = socket.getOutputStream();
      out.write(startup(parameters));
      while (true) {
        Message m = read(in);
        if (m.type() == 'E') {
          throw new IOException("login: " + m.fields());
        } else if (m.type() == 'K') {
          process = java.nio.ByteBuffer.wrap(m.body()).getInt(0);
          secret = java.nio.ByteBuffer.wrap(m.body()).getInt(4);
        } else if (m.type() == 'Z') {
          return;
        }
      }
    }

    static Client of(int port, String user, String database) throws IOException {
      var parameters = new LinkedHashMap<String, String>();
      parameters.put("user", user);
      parameters.put("database", database);
      return new Client(port, 15_000, parameters);
    }

    void send(String sql) throws IOException {
      out.write(query(sql));
    }

    void sendRaw(byte[] bytes) throws IOException {
      out.write(bytes);
    }

    /** The whole answer, up to ReadyForQuery or the connection's end. */
    Answer receive() throws IOException {
      var values = new ArrayList<String>();
      String tag = null;
      String code = null;
      String message = null;
      try {
        while (true) {
          Message m = read(in);
          switch (m.type()) {
            case 'D' -> {
              var row = java.nio.ByteBuffer.wrap(m.body());
              int columns = row.getShort();
              for (int i = 0; i < columns; i++) {
                int length = row.getInt();
                var bytes = new byte[Math.max(0, length)];
                row.get(bytes);
                values.add(length < 0 ? null : new String(bytes, StandardCharsets.UTF_8));
              }
            }
            case 'C' -> tag = new String(m.body(), 0, m.body().length - 1, StandardCharsets.UTF_8);
            case 'I' -> tag = "empty";
            case 'E' -> {
              code = m.fields().get('C');
              message = m.fields().get('M');
            }
            case 'Z' -> {
              return new Answer(values, tag, code, message, false);
            }
            default -> {}
          }
        }
      } catch (EOFException | java.net.SocketException e) {
        return new Answer(values, tag, code, message, true);
      }
    }

    Answer ask(String sql) throws IOException {
      send(sql);
      return receive();
    }

    /** Asks, on a connection of its own, for the end of what this client runs. */
    void cancel(int port) throws IOException {
      try (var other = new Socket(InetAddress.getLoopbackAddress(), port)) {
        other.getOutputStream().write(
            new Body().int32(CANCEL).int32(process).int32(secret).untyped());
        other.setSoTimeout(2000);
        other.getInputStream().read();
      }
    }

    /** Says goodbye and closes. */
    @Override
    public void close() throws IOException {
      try {
        out.write(new Body().as('X'));
      } catch (IOException e) {
        // it has ended already
      }
      socket.close();
    }
  }
}
