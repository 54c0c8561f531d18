package crankspar.lab;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.pooling.Frame;
import crankspar.pooling.FrameDecoder;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.function.Consumer;

/**
 * A client of the load's, by the thousand on one loop: it plays a script of steps, each sent whole
 * and answered up to ReadyForQuery, and tells how the script ended. It never sends anything twice.
 */
public final class PgClient implements ConnectionHandler {
  /**
   * How a script ended.
   *
   * @param steps that were answered without an error
   * @param code the SQLSTATE of the error that ended it, {@code CLOSED} where the connection just
   *     ended, or null
   * @param tag of the last command that completed
   * @param value the first of the last row, as text, or null
   */
  public record Outcome(int steps, String code, String tag, String value) {
    public boolean good() {
      return code == null;
    }
  }

  private final FrameDecoder decoder = new FrameDecoder(false);
  private final byte[] startup;
  private Connection out;
  private boolean ready, closed;
  private Consumer<PgClient> whenReady;
  private List<byte[]> script;
  private Consumer<Outcome> told;
  private int step;
  private String code, tag, value;

  private PgClient(String user, String database, Consumer<PgClient> whenReady) {
    this.whenReady = whenReady;
    var parameters = new LinkedHashMap<String, String>();
    parameters.put("user", user);
    parameters.put("database", database);
    startup = Frame.startup(3 << 16, parameters);
  }

  /** Connects; {@code whenReady} hears of it once it is welcomed, or closed before. */
  public static PgClient connect(
      EventLoop loop,
      InetSocketAddress at,
      String user,
      String database,
      Consumer<PgClient> whenReady) {
    var client = new PgClient(user, database, whenReady);
    loop.connect(at, client);
    return client;
  }

  public boolean gone() {
    return closed;
  }

  /** Plays a script; one at a time. Steps are whole batches. */
  public void play(List<byte[]> script, Consumer<Outcome> told) {
    this.script = script;
    this.told = told;
    step = 0;
    code = tag = value = null;
    if (closed) {
      over("CLOSED");
    } else {
      write();
    }
  }

  private void write() {
    if (out == null) {
      over("CLOSED");
      return;
    }
    byte[] bytes = script.get(step);
    out.write(bytes, bytes.length, null);
  }

  public void close() {
    if (out != null) {
      out.close();
    }
    closed = true;
    over("CLOSED");
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
    out.write(startup);
  }

  @Override
  public void received(ByteBuffer in) {
    decoder.feed(in);
    try {
      for (Frame f = decoder.next(); f != null; f = decoder.next()) {
        on(f);
      }
    } catch (Frame.Malformed e) {
      close();
      over("MALFORMED");
    }
  }

  private void on(Frame f) throws Frame.Malformed {
    switch (f.type()) {
      case 'E' -> code = f.fields().get('C');
      case 'C' -> tag = f.read().text();
      case 'D' -> {
        Frame.Reader r = f.read();
        int length = r.int16() > 0 ? r.int32() : -1;
        value =
            length < 0 || length > 64
                ? null
                : new String(r.bytes(length), java.nio.charset.StandardCharsets.UTF_8);
      }
      case 'Z' -> {
        if (!ready) {
          ready = true;
          whenReady.accept(this);
        } else if (script != null) {
          if (code != null || ++step == script.size()) {
            over(code);
          } else {
            write();
          }
        }
      }
      default -> {}
    }
  }

  private void over(String how) {
    Consumer<Outcome> mine = told;
    int steps = step;
    script = null;
    told = null;
    if (mine != null) {
      mine.accept(new Outcome(steps, how, tag, value));
    }
  }

  @Override
  public void ended(String why) {
    closed = true;
    if (!ready) {
      ready = true;
      whenReady.accept(this);
    }
    over(code == null ? "CLOSED" : code);
  }
}
