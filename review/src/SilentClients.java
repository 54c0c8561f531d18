import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send many commands at once fall silent before they have read their answers, one
 * after the other; a client that behaves asks all the time. The rule: the pooler does not crash,
 * and what it has taken gets its answer.
 */
final class SilentClients {
  private static final int VALUE_BYTES = 64 * 1024;
  private static final int CLIENTS = 150;

  /** Commands of a client: some bursts fill what the system buffers, some do not. */
  private static final int COMMANDS_LEAST = 66;

  private static final int COMMANDS_STEP = 8;
  private static final int COMMANDS_STEPS = 5;

  private static final long BETWEEN_MS = 300;
  private static final long DEADLINE_MS = 2000;
  private static final int ANSWER_MOST_MS = 4000;
  private static final long RECONNECT_MS = 100;

  private final Transcript transcript;
  private final boolean trouble;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean over;

  private SilentClients(Transcript transcript, boolean trouble) {
    this.transcript = transcript;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Case.run(
        (root, trouble, transcript) -> new SilentClients(transcript, trouble).run(root), args);
  }

  /** Whether the rule held. */
  private boolean run(Path root) throws IOException, InterruptedException {
    Path folder = Pooler.folder();
    try (var primary = new LeagueDatabase("db-1", true, 2, VALUE_BYTES, transcript);
        var second = new LeagueDatabase("db-2", false, 2, VALUE_BYTES, transcript);
        var third = new LeagueDatabase("db-3", false, 2, VALUE_BYTES, transcript)) {
      String list =
          Deployment.list(
              41,
              List.of(
                  new Deployment.Member("db-1", primary.port(), "east", true),
                  new Deployment.Member("db-2", second.port(), "west", false),
                  new Deployment.Member("db-3", third.port(), "south", false)));
      int listen = Pooler.freePort();
      try (var discovery = new Discovery(list, transcript)) {
        Path config = folder.resolve("config.json");
        Files.writeString(config, Deployment.platform(listen, discovery.port(), list));
        var environment =
            Map.of(
                "BALANCER_NAME", "n1",
                "BALANCER_LISTEN", "127.0.0.1:" + listen,
                "BALANCER_DISCOVERY", "127.0.0.1:" + discovery.port(),
                "BALANCER_CONFIG", config.toString());
        try (var pooler = new Pooler(root, folder, environment, "", transcript)) {
          pooler.awaitListening(listen);
          return play(pooler, listen);
        }
      }
    }
  }

  private boolean play(Pooler pooler, int port) throws IOException, InterruptedException {
    var steady = new Thread(() -> askSteadily(pooler, port));
    steady.start();
    var open = new ArrayList<Wire>();
    for (int i = 0; i < CLIENTS && pooler.isAlive(); i++) {
      burst(pooler, port, i, open);
      Thread.sleep(BETWEEN_MS);
    }
    Thread.sleep(2000);
    over = true;
    steady.join();
    transcript.add("client", served + " answers to the steady client, " + lost + " lost");
    boolean crashed = !pooler.isAlive();
    if (crashed) {
      transcript.add("pooler", "EXITED with " + pooler.exitValue());
      transcript.add("pooler", "its log: " + pooler.logged("event loop has failed"));
    }
    open.forEach(Wire::close);
    return !crashed && lost.get() == 0;
  }

  /** One client that sends its commands in one piece, and reads the answers or falls silent. */
  private void burst(Pooler pooler, int port, int number, List<Wire> open) {
    int commands = COMMANDS_LEAST + COMMANDS_STEP * (number % COMMANDS_STEPS);
    try {
      var wire = new Wire(new Socket(InetAddress.getLoopbackAddress(), port));
      open.add(wire);
      wire.socket.setSoTimeout(ANSWER_MOST_MS);
      wire.login("client", "core");
      int first = ids.get() + 1;
      for (int i = 0; i < commands; i++) {
        wire.add('Q', read());
      }
      wire.flush();
      String then = trouble ? ", and is silent from now on" : "";
      transcript.add(
          "client " + number,
          "sent %d commands, ids from %x on%s".formatted(commands, first, then));
      if (!trouble) {
        new Thread(() -> readAll(wire, number, commands)).start();
      }
    } catch (IOException e) {
      transcript.add("client " + number, "its connection has ended: " + e.getMessage());
      if (pooler.isAlive()) {
        lost.incrementAndGet();
      }
    }
  }

  private void readAll(Wire wire, int number, int commands) {
    int whole = 0;
    try {
      for (int i = 0; i < commands; i++) {
        whole += answer(wire) ? 1 : 0;
      }
    } catch (IOException e) {
      lost.incrementAndGet();
      transcript.add("client " + number, "LOST, no answer: " + e.getMessage());
    }
    transcript.add("client " + number, whole + " of " + commands + " served");
  }

  private String read() {
    return "/* id=%016x,c=check,d=%d,cluster=1 */ SELECT val FROM state WHERE uid = 'u%d'"
        .formatted(ids.incrementAndGet(), DEADLINE_MS, ids.get() % 100);
  }

  /** Reads one whole answer; whether it was served. */
  private static boolean answer(Wire wire) throws IOException {
    boolean served = true;
    for (Wire.Message m = wire.read(); m.type() != 'Z'; m = wire.read()) {
      served &= m.type() != 'E';
    }
    return served;
  }

  /** A client that reads what it asks for; ends with the case or with the pooler. */
  private void askSteadily(Pooler pooler, int port) {
    while (!over) {
      try (var wire = new Wire(new Socket(InetAddress.getLoopbackAddress(), port))) {
        wire.socket.setSoTimeout(ANSWER_MOST_MS);
        wire.login("client", "core");
        while (!over) {
          String sql = read();
          wire.add('Q', sql).flush();
          try {
            boolean whole = answer(wire);
            served.addAndGet(whole ? 1 : 0);
            transcript.add("steady", (whole ? "served: " : "refused or failed: ") + sql);
          } catch (IOException e) {
            lost.incrementAndGet();
            transcript.add("steady", "LOST, no answer to " + sql + ": " + e.getMessage());
            throw e;
          }
          Thread.sleep(100);
        }
      } catch (IOException e) {
        if (!pooler.isAlive()) {
          return;
        }
        transcript.add("steady", "connects again: " + e.getMessage());
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(RECONNECT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
