import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * An app server is cut off in the midst of a transaction, after a statement has been executed and
 * before its Sync. Another client's transaction follows. The rule: what was cut off takes no effect
 * and is never replayed, so that an app server that begins it anew has it once.
 */
final class CutOffTransaction {
  private static final int ROUNDS = 10;
  private static final int ANSWER_MOST_MS = 5000;
  private static final long PAUSE_MS = 100;

  private final Transcript transcript;
  private final boolean trouble;

  private CutOffTransaction(Transcript transcript, boolean trouble) {
    this.transcript = transcript;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Case.run(
        (root, trouble, transcript) -> new CutOffTransaction(transcript, trouble).run(root), args);
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
          broken += play(round, listen, database) ? 0 : 1;
        }
        transcript.add("check", broken + " of " + ROUNDS + " rounds broke the rule");
        return broken == 0;
      }
    }
  }

  /** Whether the rule held. */
  private boolean play(int round, int port, TransactionalDatabase database)
      throws IOException, InterruptedException {
    String claim = "claim-" + round;
    String other = "other-" + round;
    inTwoPieces(claim, port);
    Thread.sleep(PAUSE_MS);
    whole("client B", other, port);
    long effects = database.committed(claim);
    transcript.add("check", claim + " has taken effect " + effects + " times");
    if (trouble) {
      whole("client A", claim, port); // begun anew: it never asked for the first one to take effect
      transcript.add("check", claim + " has taken effect " + database.committed(claim) + " times");
    }
    return effects == (trouble ? 0 : 1)
        && database.committed(claim) == 1
        && database.committed(other) == 1;
  }

  private static Wire statement(Wire wire, String claim) throws IOException {
    return wire.add('P', "", "INSERT INTO claim VALUES ('" + claim + "')", (short) 0)
        .add('B', "", "", (short) 0, (short) 0, (short) 0)
        .add('E', "", 0);
  }

  /** The statement is executed; its client sends the Sync behind it, or is cut off before that. */
  private void inTwoPieces(String claim, int port) throws IOException {
    try (var wire = open(port)) {
      statement(wire, claim).add('H').flush();
      transcript.add("client A", "sends Parse, Bind, Execute of " + claim + " and Flush");
      Wire.Message m = wire.read();
      while (m.type() != 'C' && m.type() != 'E') {
        m = wire.read();
      }
      transcript.add("client A", "hears " + m.text(0));
      if (trouble) {
        transcript.add("client A", "is cut off before its Sync: its connection ends");
      } else {
        wire.add('S').flush();
        transcript.add("client A", "sends Sync, hears " + wire.read().type());
      }
    }
  }

  private void whole(String who, String claim, int port) throws IOException {
    try (var wire = open(port)) {
      statement(wire, claim).add('S').flush();
      transcript.add(who, "sends Parse, Bind, Execute of " + claim + " and Sync");
      String heard = "";
      for (Wire.Message m = wire.read(); m.type() != 'Z'; m = wire.read()) {
        heard += m.type() == 'E' ? " error " + m.code() : m.type() == 'C' ? " " + m.text(0) : "";
      }
      transcript.add(who, "hears" + heard);
    }
  }

  private static Wire open(int port) throws IOException {
    var wire = new Wire(new Socket(InetAddress.getLoopbackAddress(), port));
    wire.socket.setSoTimeout(ANSWER_MOST_MS);
    wire.login("app", "league");
    return wire;
  }
}
