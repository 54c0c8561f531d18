import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.Map;

/**
 * Two app servers with different time zones prepare a statement with the same words. The connection
 * on which the first one's was prepared is handed to the second. The rule: each statement means
 * what it means under its own client's options, whichever connection it lands on.
 */
final class SharedStatement {
  private static final int ROUNDS = 10;
  private static final int ANSWER_MOST_MS = 5000;
  private static final String FIRST_ZONE = "UTC";
  private static final String SECOND_ZONE = "America/Vancouver";

  private final Transcript transcript;
  private final boolean trouble;

  private SharedStatement(Transcript transcript, boolean trouble) {
    this.transcript = transcript;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Case.run(
        (root, trouble, transcript) -> new SharedStatement(transcript, trouble).run(root), args);
  }

  /** Whether the rule held. */
  private boolean run(Path root) throws IOException, InterruptedException {
    Path folder = Pooler.folder();
    int listen = Pooler.freePort();
    try (var database = new TransactionalDatabase(transcript)) {
      Path file = folder.resolve("operator.conf");
      Files.writeString(file, Deployment.pooling(listen, database.port()));
      try (var pooler = new Pooler(root, folder, Map.of(), "--operator " + file, transcript)) {
        pooler.awaitListening(listen);
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
          broken += play(listen, "2026-12-04 10:00:%02d".formatted(round)) ? 0 : 1;
        }
        transcript.add("check", broken + " of " + ROUNDS + " rounds broke the rule");
        return broken == 0;
      }
    }
  }

  /**
   * With the disruption the first client's transaction ends before the second's begins, and its
   * connection is handed over; without it, the first one keeps its connection meanwhile.
   */
  private boolean play(int port, String timestamp) throws IOException {
    try (var first = open(port, FIRST_ZONE);
        var second = open(port, SECOND_ZONE)) {
      transaction(first, FIRST_ZONE, "BEGIN");
      boolean held = asked(first, FIRST_ZONE, timestamp);
      if (trouble) {
        transaction(first, FIRST_ZONE, "COMMIT");
        held &= asked(second, SECOND_ZONE, timestamp);
      } else {
        held &= asked(second, SECOND_ZONE, timestamp);
        transaction(first, FIRST_ZONE, "COMMIT");
      }
      return held;
    }
  }

  private static Wire open(int port, String zone) throws IOException {
    var wire = new Wire(new Socket(InetAddress.getLoopbackAddress(), port));
    wire.socket.setSoTimeout(ANSWER_MOST_MS);
    wire.login("app", "league", "TimeZone", zone);
    return wire;
  }

  private void transaction(Wire wire, String zone, String sql) throws IOException {
    wire.add('Q', sql).flush();
    while (wire.read().type() != 'Z') {
      // what it is answered with
    }
    transcript.add(zone, sql);
  }

  /** Prepares and runs it; whether the answer is the one of this client's time zone. */
  private boolean asked(Wire wire, String zone, String timestamp) throws IOException {
    String sql = "SELECT extract(epoch FROM '" + timestamp + "'::timestamptz)";
    wire.add('P', "s", sql, (short) 0)
        .add('B', "", "s", (short) 0, (short) 0, (short) 0)
        .add('E', "", 0)
        .add('S')
        .flush();
    String heard = "";
    for (Wire.Message m = wire.read(); m.type() != 'Z'; m = wire.read()) {
      heard += m.type() == 'D' ? m.value() : m.type() == 'E' ? "error " + m.code() : "";
    }
    var local = LocalDateTime.parse(timestamp.replace(' ', 'T'));
    String due = Long.toString(local.atZone(ZoneId.of(zone)).toEpochSecond());
    transcript.add(zone, "prepares and runs " + sql + ": hears " + heard + ", due is " + due);
    return heard.equals(due);
  }
}
