package crankspar.lab;

import crankspar.pooling.Frame;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A client by hand, message by message, for what no driver does. */
public final class PgWire implements AutoCloseable {
  public static final int PATIENCE_MS = 10_000;

  public final Socket socket;
  private final DataInputStream in;
  public int process, secret;
  public final Map<String, String> parameters = new LinkedHashMap<>();
  public final List<Frame> welcome = new ArrayList<>();

  public PgWire(InetSocketAddress at) throws IOException {
    socket = new Socket(at.getAddress(), at.getPort());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(PATIENCE_MS);
    in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
  }

  public static PgWire to(InetSocketAddress at, String user, String database, String... more)
      throws IOException {
    var wire = new PgWire(at);
    wire.login(3 << 16, user, database, more);
    return wire;
  }

  public void login(int version, String user, String database, String... more) throws IOException {
    var start = new LinkedHashMap<String, String>();
    start.put("user", user);
    start.put("database", database);
    for (int i = 0; i < more.length; i += 2) {
      start.put(more[i], more[i + 1]);
    }
    bytes(Frame.startup(version, start));
    welcome.addAll(untilReady());
    for (Frame f : welcome.stream().filter(java.util.Objects::nonNull).toList()) {
      try {
        Frame.Reader r = f.read();
        if (f.type() == 'K') {
          process = r.int32();
          secret = r.int32();
        } else if (f.type() == 'S') {
          parameters.put(r.text(), r.text());
        }
      } catch (Frame.Malformed e) {
        throw new IOException(e);
      }
    }
  }

  public void bytes(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  public PgWire send(Frame... frames) throws IOException {
    bytes(Frame.join(List.of(frames)));
    return this;
  }

  // ---- Messages.
  public static Frame parse(String name, String sql) {
    return Frame.body().text(name).text(sql).int16(0).as('P');
  }

  public static Frame bind(String name, String... values) {
    Frame.Body b = Frame.body().text("").text(name).int16(0).int16(values.length);
    for (String v : values) {
      byte[] bytes = v.getBytes(StandardCharsets.UTF_8);
      b.int32(bytes.length).bytes(bytes);
    }
    return b.int16(0).as('B');
  }

  public static Frame execute() {
    return Frame.body().text("").int32(0).as('E');
  }

  public static Frame sync() {
    return Frame.body().as('S');
  }

  public static Frame copyData(String data) {
    return Frame.body().bytes(data.getBytes(StandardCharsets.UTF_8)).as('d');
  }

  // ---- Answers.
  public Frame next() throws IOException {
    int type = in.read();
    if (type < 0) {
      throw new java.io.EOFException("the connection has ended");
    }
    int length = in.readInt();
    byte[] wire = new byte[length + 1];
    java.nio.ByteBuffer.wrap(wire).put((byte) type).putInt(length);
    in.readFully(wire, 5, length - 4);
    return new Frame((char) type, wire, true);
  }

  /** All up to ReadyForQuery, or to the end of the connection. */
  public List<Frame> untilReady() throws IOException {
    var all = new ArrayList<Frame>();
    try {
      do {
        all.add(next());
      } while (all.get(all.size() - 1).type() != 'Z');
    } catch (java.io.EOFException | java.net.SocketException e) {
      all.add(null);
    }
    return all;
  }

  public List<Frame> query(String sql) throws IOException {
    send(Frame.query(sql));
    return untilReady();
  }

  /** What comes back in brief: types, values of rows, tags, error codes, the status. */
  public String ask(String sql) throws IOException {
    return brief(query(sql));
  }

  public static String brief(List<Frame> frames) throws IOException {
    var text = new StringBuilder();
    for (Frame f : frames) {
      if (f != null && f.type() == 'S') {
        continue;
      }
      text.append(text.isEmpty() ? "" : " ").append(f == null ? "END" : one(f));
    }
    return text.toString();
  }

  private static String one(Frame f) throws IOException {
    try {
      Frame.Reader r = f.read();
      return switch (f.type()) {
        case 'C' -> "C:" + r.text();
        case 'E' -> "E:" + f.fields().get('C');
        case 'Z' -> "Z:" + r.code();
        case 'D' -> {
          var values = new ArrayList<String>();
          for (int n = r.int16(); n > 0; n--) {
            int length = r.int32();
            values.add(length < 0 ? "null" : new String(r.bytes(length), StandardCharsets.UTF_8));
          }
          yield "D:" + String.join("|", values);
        }
        default -> String.valueOf(f.type());
      };
    } catch (Frame.Malformed e) {
      throw new IOException(e);
    }
  }

  /** Whether the other end closes without another byte. */
  public boolean ends() throws IOException {
    try {
      return in.read() < 0;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
