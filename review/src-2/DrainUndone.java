import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Map;

/**
 * Two poolers that replicate what operators asked for. While the link between them is cut, one puts
 * a database back and, later, the other is told to take it out, and says yes.
 */
public final class DrainUndone {
  /** The brief: links are cut for 5.1 to 20 s. */
  private static final int CUT_MS = 6_000;

  /** The rule on drains: 250 ms, and 50 ms more for sockets. */
  private static final int GRACE_MS = 300;

  private static final int WATCHED_MS = 16_000;
  private static final int READ_EVERY_MS = 20;
  private static final String ID = "db-2";
  private static final Duration CALL_MOST = Duration.ofSeconds(2);

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_MOST).build();
  private final Rig rig;
  private volatile boolean over;

  private DrainUndone(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) {
    Rig.main(args, rig -> new DrainUndone(rig).play());
  }

  private boolean play() throws Exception {
    int[] databases = {Rig.freePort(), Rig.freePort(), Rig.freePort()};
    Process shard =
        rig.standIn("shard", "RestDb", "" + databases[0], "" + databases[1], "" + databases[2]);
    rig.await("shard", shard, "serves");
    int restA = Rig.freePort();
    int restB = Rig.freePort();
    int callsA = Rig.freePort();
    int callsB = Rig.freePort();
    var toA = new Relay(restA);
    var toB = new Relay(restB);
    Process a = pooler("pooler-a", databases, restA, callsA, toB.port);
    Process b = pooler("pooler-b", databases, restB, callsB, toA.port);
    rig.await("pooler-a", a, "the REST front listens at");
    rig.await("pooler-b", b, "the REST front listens at");
    Thread.sleep(1_500);
    var reader = new Thread(() -> read(restA));
    reader.setDaemon(true);
    reader.start();
    Thread.sleep(1_500);
    call("A", callsA, "disable");
    Thread.sleep(3_000); // B's store has it, too
    if (rig.trouble) {
      rig.note("the link between A and B is cut for " + CUT_MS + " ms");
      toA.cut(true);
      toB.cut(true);
    }
    long cutAt = System.currentTimeMillis();
    Thread.sleep(500);
    call("B", callsB, "enable");
    Thread.sleep(3_000);
    call("A", callsA, "disable");
    long told = System.currentTimeMillis();
    Thread.sleep(Math.max(0, cutAt + CUT_MS - System.currentTimeMillis()));
    toA.cut(false);
    toB.cut(false);
    rig.note("the link stands");
    Thread.sleep(WATCHED_MS);
    over = true;
    rig.note("A's store: " + drainEntry(restA));
    rig.note("B's store: " + drainEntry(restB));
    long before = 0;
    long after = 0;
    long all = 0;
    for (String line : Files.readAllLines(rig.log("shard"))) {
      String[] words = line.split(" ", 3);
      if (words.length < 3) {
        continue;
      }
      all++;
      if (words[1].equals(ID)) {
        long ms = Long.parseLong(words[0]) - told;
        before += ms <= GRACE_MS ? 1 : 0;
        after += ms > GRACE_MS ? 1 : 0;
        if (ms > GRACE_MS) {
          rig.note(ID + " got work " + ms + " ms after A's yes: " + words[2]);
        }
      }
    }
    rig.note(
        "%s got %d requests up to %d ms after A's last yes and %d later; all members got %d"
            .formatted(ID, before, GRACE_MS, after, all));
    rig.noteLog("pooler-a", 6);
    if (before == 0 || all < 200) {
      throw new IOException("the poolers did not serve");
    }
    return after == 0;
  }

  private Process pooler(String name, int[] databases, int rest, int calls, int peer)
      throws IOException {
    var members = new StringBuilder();
    for (int i = 0; i < databases.length; i++) {
      members.append(
          ("{id = db-%d, host_port = \"127.0.0.1:%d\", locality = east, cell = 1, phase = up,"
                  + " size = 1.0, up_since_ms = 0, role = %s}\n")
              .formatted(i + 1, databases[i], i == 0 ? "primary" : "replica"));
    }
    String text =
        """
        %s
        name = %s
        mgmt = "127.0.0.1:%d"
        rest {
          listen = "127.0.0.1:%d"
          members { revision = 1, complete = true, members = [
        %s] }
        }
        store { peers = ["127.0.0.1:%d"], period_ms = 1000 }
        """
            .formatted(rig.settings(), name, calls, rest, members, peer);
    var file = rig.temporary.resolve(name + ".conf");
    Files.writeString(file, text);
    return rig.pooler(name, "--operator " + file, Map.of());
  }

  /** An operator's call; only a yes counts. */
  private void call(String who, int port, String what) throws IOException, InterruptedException {
    var request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:" + port + "/-/league-databases/" + ID + "/" + what))
            .timeout(CALL_MOST)
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
    rig.note("operator at " + who + ": " + what + " " + ID + " -> " + answer.statusCode());
    if (answer.statusCode() != 200) {
      throw new IOException("the call was not taken");
    }
  }

  private String drainEntry(int port) throws IOException, InterruptedException {
    var request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/store?limit=500"))
            .timeout(CALL_MOST)
            .build();
    String text = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    int at = text.indexOf("\"drain/" + ID);
    return at < 0 ? "no entry" : text.substring(at, Math.min(text.length(), at + 90));
  }

  /** A client of A, that reads pages one after the other. */
  private void read(int port) {
    String base = "http://127.0.0.1:" + port + "/v1/groups/1/";
    while (!over) {
      try {
        var request =
            HttpRequest.newBuilder(URI.create(base + "board?limit=3")).timeout(CALL_MOST).build();
        http.send(request, HttpResponse.BodyHandlers.ofString());
        Thread.sleep(READ_EVERY_MS);
      } catch (IOException e) {
        rig.note("reader: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
