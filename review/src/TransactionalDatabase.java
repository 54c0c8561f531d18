import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A primary that speaks the simple and the extended protocol, as PostgreSQL's documentation has
 * them. Outside a block, what is executed takes effect with the Sync or at the end of the simple
 * query, and an end of the connection before that undoes it; after an error, all is passed over up
 * to the Sync. A statement is analysed when it is prepared: a timestamp in it gets the time zone
 * that is set then. It knows a table of claims, settings, and little else; it describes no rows.
 */
final class TransactionalDatabase implements AutoCloseable {
  private static final Pattern INSERT = Pattern.compile("INSERT INTO claim VALUES \\('(.*)'\\)");
  private static final Pattern SET = Pattern.compile("SET (TIME ZONE|\\w+ TO|\\w+ =) '?([^']*)'?");
  private static final Pattern TIMESTAMP = Pattern.compile("SELECT extract\\(epoch FROM '(.*)'::timestamptz\\)");

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Transcript transcript;
  private final AtomicInteger connections = new AtomicInteger();
  private final List<String> committed = new ArrayList<>();

  TransactionalDatabase(Transcript transcript) throws IOException {
    this.transcript = transcript;
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** How often this claim has taken effect. */
  long committed(String claim) {
    synchronized (committed) {
      return committed.stream().filter(claim::equals).count();
    }
  }

  private static void daemon(Runnable work) {
    var thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        daemon(() -> new Backend("db conn " + connections.incrementAndGet()).serve(socket));
      }
    } catch (IOException e) {
      // closed
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  /** An error of a statement's, with its SQLSTATE. */
  private static final class Failed extends Exception {
    private static final long serialVersionUID = 1;
    final String code;

    Failed(String code, String message) {
      super(message);
      this.code = code;
    }
  }

  /** A statement as it was analysed, with what a constant in it means. */
  private record Prepared(String sql, String constant) {}

  private final class Backend {
    private final String name;
    private final Map<String, Prepared> statements = new HashMap<>();
    private final Map<String, Prepared> portals = new HashMap<>();
    private final List<String> uncommitted = new ArrayList<>();
    private String zone = "UTC";
    private String zoneBefore = zone;
    private boolean block;
    private boolean failed;
    private boolean skipping;
    private Wire wire;

    Backend(String name) {
      this.name = name;
    }

    void serve(Socket socket) {
      try (var opened = new Wire(socket)) {
        wire = opened;
        if (wire.start() == null) {
          return;
        }
        wire.add('R', 0).parameter("server_version", "15.0").parameter("TimeZone", zone);
        wire.add('K', 1, 1);
        ready();
        for (Wire.Message m = wire.read(); m.type() != 'X'; m = wire.read()) {
          take(m);
        }
        transcript.add(name, "ended by the pooler");
      } catch (IOException e) {
        transcript.add(name, "closed by the pooler");
      }
      end(false);
    }

    private void take(Wire.Message m) throws IOException {
      if (skipping && m.type() != 'S') {
        transcript.add(name, "passes over " + m.type() + ", as no Sync has come since the error");
        return;
      }
      try {
        switch (m.type()) {
          case 'Q' -> query(m.text(0));
          case 'P' -> {
            statements.put(m.text(0), analysed(m.text(1)));
            transcript.add(name, "Parse " + m.text(1) + " under " + zone);
            wire.add('1');
          }
          case 'B' -> {
            Prepared prepared = statements.get(m.text(1));
            if (prepared == null) {
              throw new Failed("26000", "no such statement");
            }
            portals.put(m.text(0), prepared);
            wire.add('2');
          }
          case 'E' -> execute(portals.get(m.text(0)));
          case 'H' -> wire.flush();
          case 'S' -> {
            transcript.add(name, "Sync");
            skipping = false;
            endOfBatch();
            ready();
          }
          default -> throw new Failed("08P01", "message type " + m.type());
        }
      } catch (Failed e) {
        failed = true;
        transcript.add(name, "error " + e.code + " " + e.getMessage());
        wire.error("ERROR", e.code, e.getMessage());
        if (m.type() == 'Q') {
          endOfBatch();
          ready();
        } else {
          skipping = true;
          wire.flush();
        }
      }
    }

    private Prepared analysed(String sql) {
      Matcher timestamp = TIMESTAMP.matcher(sql);
      return new Prepared(sql, timestamp.find() ? seconds(timestamp.group(1)) : null);
    }

    /** What a timestamp without a zone of its own means under the present one. */
    private String seconds(String timestamp) {
      var local = LocalDateTime.parse(timestamp.replace(' ', 'T'));
      return Long.toString(local.atZone(ZoneId.of(zone)).toEpochSecond());
    }

    private void query(String text) throws IOException, Failed {
      statements.remove("");
      if (text.isBlank()) {
        wire.add('I');
      }
      for (String sql : text.split(";")) {
        if (!sql.isBlank()) {
          execute(analysed(sql.strip()));
        }
      }
      endOfBatch();
      ready();
    }

    private void execute(Prepared prepared) throws IOException, Failed {
      String sql = prepared.sql().replaceAll("/\\*.*?\\*/", "").strip();
      Matcher insert = INSERT.matcher(sql);
      Matcher set = SET.matcher(sql);
      transcript.add(name, "executes " + sql);
      if (failed && !sql.matches("COMMIT|ROLLBACK")) {
        throw new Failed("25P02", "the transaction is aborted");
      } else if (insert.matches()) {
        uncommitted.add(insert.group(1));
        wire.add('C', "INSERT 0 1");
      } else if (prepared.constant() != null) {
        transcript.add(name, "answers " + prepared.constant());
        byte[] value = prepared.constant().getBytes(StandardCharsets.US_ASCII);
        wire.add('D', (short) 1, value.length, value).add('C', "SELECT 1");
      } else if (sql.equals("BEGIN")) {
        block = true;
        wire.add('C', sql);
      } else if (sql.matches("COMMIT|ROLLBACK")) {
        String tag = failed ? "ROLLBACK" : sql;
        end(tag.equals("COMMIT"));
        wire.add('C', tag);
      } else if (set.matches()) {
        if (set.group(1).toLowerCase(java.util.Locale.ROOT).startsWith("time")) {
          zone = set.group(2);
        }
        wire.add('C', "SET");
      } else if (sql.startsWith("RESET") || sql.equals("DISCARD ALL")) {
        zone = "UTC";
        wire.add('C', sql.split(" ")[0]);
      } else {
        throw new Failed("42601", "not known here: " + sql);
      }
    }

    /** A Sync or a simple query's end: outside a block the transaction is over. */
    private void endOfBatch() {
      if (!block) {
        end(!failed);
      }
    }

    private void end(boolean commit) {
      if (!uncommitted.isEmpty()) {
        transcript.add(name, (commit ? "COMMITS " : "rolls back ") + uncommitted);
      }
      if (commit) {
        synchronized (committed) {
          committed.addAll(uncommitted);
        }
      }
      zone = commit ? zone : zoneBefore;
      zoneBefore = zone;
      uncommitted.clear();
      portals.clear();
      block = false;
      failed = false;
    }

    private void ready() throws IOException {
      wire.parameter("TimeZone", zone);
      wire.parameter("role", "primary");
      wire.parameter("applied_ms", Long.toString(System.currentTimeMillis()));
      wire.ready(failed ? 'E' : block ? 'T' : 'I').flush();
    }
  }
}
