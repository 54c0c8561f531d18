package crankspar.lab.hostile;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.pg.PgDecoder;
import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for a database that answers each statement after a fixed time with a fixed value. */
public final class PacedDatabase {
  private final EventLoop loop;
  private final String role;
  private final double workMs;
  private final byte[] value;
  private final InetSocketAddress address;

  /** How often each statement came, by its id. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  public PacedDatabase(EventLoop loop, boolean primary, double workMs, int valueBytes)
      throws IOException {
    this.loop = loop;
    this.role = primary ? "primary" : "replica";
    this.workMs = workMs;
    value = new byte[valueBytes];
    Arrays.fill(value, (byte) 'v');
    address = loop.listen(new InetSocketAddress("127.0.0.1", 0), Session::new).address();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** How often each statement came, by its id. */
  public Map<String, Integer> runs() {
    return Collections.unmodifiableMap(runs);
  }

  private final class Session implements ConnectionHandler {
    private final PgDecoder decoder = new PgDecoder(true);
    private Connection out;
    private boolean ended;

    @Override
    public void opened(Connection connection) {
      out = connection;
    }

    @Override
    public void received(ByteBuffer in) {
      decoder.feed(in);
      try {
        for (PgMessage m = decoder.next(); m != null; m = decoder.next()) {
          on(m);
        }
      } catch (PgDecoder.Malformed e) {
        out.close();
      }
    }

    private void on(PgMessage message) {
      if (message instanceof PgMessage.Startup) {
        answer(new PgMessage.AuthenticationOk(), new PgMessage.BackendKeyData(1, 1));
      } else if (message instanceof PgMessage.Query q && q.sql().isBlank()) {
        answer(new PgMessage.EmptyQueryResponse());
      } else if (message instanceof PgMessage.Query q && q.sql().equals("SHOW load")) {
        row(
            "x0=%.3f,x1=%d"
                .formatted(now() / 1000, role.equals("primary") ? 1 : 0)
                .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      } else if (message instanceof PgMessage.Query q) {
        runs.merge(id(q.sql()), 1, Integer::sum);
        loop.after(workMs, () -> row(value));
      }
    }

    private void row(byte[] bytes) {
      answer(
          PgEncoder.textColumns("val"),
          new PgMessage.DataRow(List.of(bytes)),
          new PgMessage.CommandComplete("SELECT 1"));
    }

    private void answer(PgMessage... messages) {
      if (ended) {
        return;
      }
      var encoder = new PgEncoder();
      for (PgMessage m : messages) {
        encoder.add(m);
      }
      encoder
          .add(new PgMessage.ParameterStatus("role", role))
          .add(
              new PgMessage.ParameterStatus(
                  "applied_ms", String.format(Locale.ROOT, "%.0f", now())))
          .add(new PgMessage.ReadyForQuery());
      out.write(encoder.bytes());
    }

    @Override
    public void ended(String why) {
      ended = true;
    }
  }

  private static double now() {
    return System.currentTimeMillis();
  }

  private static String id(String sql) {
    int start = sql.indexOf("id=") + 3;
    int end = sql.indexOf(',', start);
    return end < 0 ? sql : sql.substring(start, end);
  }
}
