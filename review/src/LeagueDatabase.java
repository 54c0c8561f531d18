import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A league database as the protocol page has it: simple queries, one statement each. */
final class LeagueDatabase implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
  private final String name;
  private final boolean primary;
  private final long workMs;
  private final byte[] value;
  private final Transcript transcript;

  /** Statements that a client sent, answered or not. */
  final AtomicLong statements = new AtomicLong();

  LeagueDatabase(String name, boolean primary, long workMs, int valueBytes, Transcript transcript)
      throws IOException {
    this.name = name;
    this.primary = primary;
    this.workMs = workMs;
    this.transcript = transcript;
    value = new byte[valueBytes];
    Arrays.fill(value, (byte) 'v');
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private static void daemon(Runnable work) {
    var thread = new Thread(null, work, "database", 1 << 18);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket socket) {
    try (var wire = new Wire(socket)) {
      Map<String, String> start = wire.start();
      if (start == null) {
        return;
      }
      wire.add('R', 0);
      ready(wire);
      for (Wire.Message m = wire.read(); m.type() != 'X'; m = wire.read()) {
        answer(wire, m.text(0).strip());
      }
    } catch (IOException e) {
      // the pooler has closed
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answer(Wire wire, String sql) throws IOException, InterruptedException {
    if (sql.isEmpty()) {
      wire.add('I');
    } else if (sql.startsWith("SHOW load")) {
      wire.row("load", report()).add('C', "SHOW");
    } else if (sql.startsWith("SELECT 1")) {
      wire.row("one", "1".getBytes(StandardCharsets.US_ASCII)).add('C', "SELECT 1");
    } else {
      statements.incrementAndGet();
      transcript.add(name, "runs " + sql);
      Thread.sleep(workMs);
      boolean write = sql.contains("*/ INSERT");
      if (write && !primary) {
        wire.error("ERROR", "25006", "no primary");
      } else {
        wire.row("val", value).add('C', write ? "INSERT 0 1" : "SELECT 1");
      }
    }
    ready(wire);
  }

  private byte[] report() {
    String text = "x0=%.3f,x1=%d".formatted(position() / 1000.0, primary ? 1 : 0);
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** A replica is a few milliseconds behind. */
  private long position() {
    return System.currentTimeMillis() - (primary ? 0 : 10);
  }

  private void ready(Wire wire) throws IOException {
    wire.parameter("role", primary ? "primary" : "replica");
    wire.parameter("applied_ms", Long.toString(position()));
    wire.ready('I').flush();
  }

  @Override
  public void close() throws IOException {
    transcript.add(name, statements + " statements in all");
    listener.close();
  }
}
