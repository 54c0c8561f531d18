package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgServer;
import crankspar.lab.PgWire;
import crankspar.lab.Recording;
import crankspar.lab.Recording.Executed;
import crankspar.lab.Stand;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares pooled connections with dedicated ones. Random programs of several clients run through
 * the pooler on few shared connections, and also directly against a second stand-in with one
 * connection per client. Answers and effects have to be the same.
 */
class OwnConnectionTest extends HardCasesFixture {
  /** For a longer manual run: {@code mvn test -Dtest=OwnConnectionTest -Dpooling.seeds=2000}. */
  private static final int SEEDS = Integer.getInteger("pooling.seeds", 100);

  private static final int CLIENTS = 4;
  private static final int STEPS = 60;
  private static final String[] ZONES = {"UTC", "Asia/Tokyo", "America/Vancouver"};
  private static final String[] NAMES = {"", "a", "b"};
  private static final Frame COPY_DONE = Frame.body().as('c');
  private static final Frame FETCH_ONE = Frame.body().text("").int32(1).as('E');

  /** One client with its two connections and its state within a batch. */
  private static final class Client {
    final String zone;
    PgWire pooled;
    PgWire own;
    boolean batchOpen;
    boolean failed;

    /** According to the last ReadyForQuery. */
    boolean inBlock;

    Client(String zone) {
      this.zone = zone;
    }
  }

  private final List<String> program = new ArrayList<>();
  private SplittableRandom random;
  private InetSocketAddress pooler;
  private InetSocketAddress database;
  private int claims;

  /** Session mode: each client keeps its connection, and connections are not cut. */
  private boolean session;

  private void connect(Client client) throws IOException {
    client.pooled = PgWire.to(pooler, "app", "db", "TimeZone", client.zone);
    client.own = PgWire.to(database, "app", "db", "TimeZone", client.zone);
    client.batchOpen = client.failed = client.inBlock = false;
  }

  private <T> T randomElement(T[] all) {
    return all[random.nextInt(all.length)];
  }

  private String statement() {
    return switch (random.nextInt(12)) {
      case 0 -> "SET TIME ZONE '" + randomElement(ZONES) + "'";
      case 1 -> "SET LOCAL TIME ZONE '" + randomElement(ZONES) + "'";
      case 2 -> "RESET application_name";
      case 3 -> "SELECT raise('22012')";
      case 4, 5 -> "INSERT INTO claims VALUES (" + ++claims + ")";
      case 6 -> "SELECT current_setting('TimeZone')";
      case 7 -> "SAVEPOINT s";
      case 8 -> "ROLLBACK TO s";
      case 9 -> "SELECT set_config('TimeZone', '" + randomElement(ZONES) + "', false)";
      default -> "SELECT '2026-12-04 10:00:0" + random.nextInt(2) + "'::timestamptz";
    };
  }

  private String control() {
    return switch (random.nextInt(9)) {
      case 0, 1 -> "BEGIN";
      case 2, 3 -> "COMMIT";
      case 4 -> "ROLLBACK";
      case 5 -> "DEALLOCATE ALL";
      case 6 -> "PREPARE p AS SELECT '2026-12-04 10:00:00'::timestamptz";
      case 7 -> "DEALLOCATE p";
      default -> "EXECUTE p";
    };
  }

  /** One step of an extended-protocol batch: one or a few messages. */
  private Frame[] extended() {
    String name = randomElement(NAMES);
    return switch (random.nextInt(5)) {
      case 0 -> new Frame[] {PgWire.parse(name, statement())};
      case 1 -> new Frame[] {Frame.close('S', name)};
      case 2 -> new Frame[] {PgWire.parse("", statement()), PgWire.bind(""), PgWire.execute()};
      case 3 -> new Frame[] {PgWire.bind(name), FETCH_ONE, FETCH_ONE};
      default -> new Frame[] {PgWire.bind(name), PgWire.execute()};
    };
  }

  private static String text(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    return switch (f.type()) {
      case 'Q' -> "Q " + r.text();
      case 'P' -> "P " + r.text() + ": " + r.text();
      case 'B' -> "B " + r.text() + r.text();
      default -> String.valueOf(f.type());
    };
  }

  /** Sends a COPY with its data in one piece, without waiting for replies in between. */
  private void copy(Client client, int who) throws Exception {
    String sql = "COPY claims FROM STDIN /* " + ++claims + " */";
    var frames = new ArrayList<Frame>();
    boolean early = random.nextBoolean();
    if (early || random.nextBoolean()) {
      frames.addAll(List.of(PgWire.parse("", sql), PgWire.bind(""), PgWire.execute()));
      frames.addAll(early ? List.of(PgWire.sync()) : List.of());
      // Closes the portal at once: if executed again without data, it would wait for ever.
      frames.addAll(List.of(PgWire.copyData("1\n"), COPY_DONE));
      frames.addAll(List.of(Frame.close('S', ""), PgWire.sync()));
    } else {
      frames.addAll(List.of(Frame.query(sql), PgWire.copyData("1\n"), COPY_DONE));
    }
    Frame[] sent = frames.toArray(new Frame[0]);
    for (Frame f : sent) {
      program.add(who + ": " + text(f));
    }
    client.pooled.send(sent);
    client.own.send(sent);
    String expected = PgWire.brief(client.own.untilReady());
    String heard = PgWire.brief(client.pooled.untilReady());
    if (early && expected.contains("E:")) { // no COPY was started, so both Syncs are answered
      expected += PgWire.brief(client.own.untilReady());
      heard += PgWire.brief(client.pooled.untilReady());
    }
    assertThat(heard).as(String.join("\n", program)).isEqualTo(expected);
  }

  private void step(Client client, int who) throws Exception {
    if (!client.batchOpen && random.nextInt(20) == 0) {
      copy(client, who);
      return;
    }
    var frames = new ArrayList<Frame>();
    boolean ends = true;
    int kind = random.nextInt(10);
    if (!client.batchOpen && kind < 4) {
      frames.add(Frame.query(kind < 2 ? control() : statement()));
    } else {
      for (int n = 1 + random.nextInt(3); n > 0; n--) {
        frames.addAll(List.of(extended()));
      }
      ends = random.nextInt(4) > 0;
      frames.add(ends ? PgWire.sync() : Frame.body().as('H'));
    }
    for (Frame f : frames) {
      program.add(who + ": " + text(f));
    }
    Frame[] sent = frames.toArray(new Frame[0]);
    client.pooled.send(sent);
    client.own.send(sent);
    int answers = ends || client.failed ? 0 : answers(frames);
    String expected =
        ends ? PgWire.brief(client.own.untilReady()) : readAnswers(client.own, answers);
    String heard =
        ends ? PgWire.brief(client.pooled.untilReady()) : readAnswers(client.pooled, answers);
    assertThat(heard).as(String.join("\n", program)).isEqualTo(expected);
    client.batchOpen = !ends;
    client.inBlock = ends ? !heard.endsWith("Z:I") : client.inBlock;
    client.failed = !ends && (client.failed || expected.contains("E:"));
  }

  /** The number of complete replies to expect, one for each message except the Flush. */
  private static int answers(List<Frame> frames) {
    return frames.size() - 1;
  }

  /** Reads this number of complete replies, or all up to an error. */
  private static String readAnswers(PgWire wire, int answers) throws IOException {
    var all = new ArrayList<Frame>();
    for (int left = answers; left > 0; ) {
      Frame f = wire.next();
      all.add(f);
      if (f.type() == 'E') {
        break;
      }
      left -= f.type() == 'D' || f.type() == 'S' || f.type() == 'N' ? 0 : 1;
    }
    return PgWire.brief(all);
  }

  private void disconnect(Client client) throws IOException {
    for (PgWire wire : new PgWire[] {client.pooled, client.own}) {
      switch (claims % 3) {
        case 0 -> wire.socket.setSoLinger(true, 0);
        case 1 -> wire.send(Frame.body().as('X'));
        default -> {}
      }
      wire.close();
    }
  }

  private static List<String> effects(Recording recording) {
    return recording.executed().stream()
        .filter(e -> e.fate == Recording.Fate.COMMITTED && e.sql.matches("(INSERT|COPY).*"))
        .map(e -> e.sql)
        .sorted()
        .toList();
  }

  private static boolean noTransactionOpen(Recording recording) {
    return recording.executed().stream()
        .map((Executed e) -> e.fate)
        .noneMatch(fate -> fate == Recording.Fate.OPEN);
  }

  private void runProgram(Stand stand, Recording own) throws Exception {
    var clients = new ArrayList<Client>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(ZONES[i % ZONES.length]));
      connect(clients.get(i));
    }
    for (int i = 0; i < STEPS; i++) {
      int who = random.nextInt(CLIENTS);
      if (random.nextInt(15) == 0) {
        program.add(who + ": ends");
        disconnect(clients.get(who));
        connect(clients.get(who));
      } else if (!session
          && random.nextInt(15) == 0
          && clients.stream().noneMatch(c -> c.batchOpen || c.inBlock)) {
        program.add("connections are cut");
        stand.primary.cutAll();
      } else {
        step(clients.get(who), who);
      }
    }
    for (Client client : clients) {
      disconnect(client);
    }
    until(() -> noTransactionOpen(stand.recording) && noTransactionOpen(own));
    assertThat(effects(stand.recording)).as(String.join("\n", program)).isEqualTo(effects(own));
  }

  /** Guards against a client that sees another client's session state, statement or transaction. */
  @Test
  void sharedConnectionsAnswerAsConnectionsOfTheirOwn() throws Exception {
    for (int seed = 1; seed <= SEEDS; seed++) {
      random = new SplittableRandom(seed);
      program.clear();
      program.add("seed " + seed);
      var own = new PgServer("own");
      session = seed % 4 == 0;
      String mode = "databases { db { mode = " + (session ? "session" : "transaction");
      try (var stand = new Stand(0, mode + ", places { most = " + CLIENTS + " } } }")) {
        pooler = stand.address();
        database = own.listen(new InetSocketAddress("127.0.0.1", 0)).address();
        runProgram(stand, own.recording());
      } catch (IOException e) {
        throw new AssertionError(String.join("\n", program), e);
      } finally {
        own.close();
      }
    }
  }
}
