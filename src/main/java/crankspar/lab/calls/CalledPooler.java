package crankspar.lab.calls;

import crankspar.json.Json;
import crankspar.lab.LabSettings;
import crankspar.lab.calls.CallHistory.Call;
import crankspar.lab.calls.CallHistory.Kind;
import crankspar.lab.calls.CallHistory.Sent;
import crankspar.lab.hostile.PacedRestServer;
import crankspar.lab.rig.PlatformProcess;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * One pooler as a process, with members of its own that note what they are sent, an operator who
 * calls it and a client that reads pages without end.
 */
final class CalledPooler implements AutoCloseable {
  /** Member 0 is the primary and is never taken out. */
  private static final int MEMBERS = 3;

  private static final double WORK_MS = 2;
  private static final long READ_EVERY_MS = 10;
  private static final int PERIOD_MS = 500;
  private static final String MARK = "drain/";
  private static final Duration CALL_MOST = Duration.ofSeconds(3);
  private static final Duration READ_MOST = Duration.ofSeconds(1);

  /** Addresses that are known before the process starts. */
  record Addresses(InetSocketAddress platform, InetSocketAddress rest, InetSocketAddress calls) {}

  private final int number;
  private final Addresses at;
  private final CallHistory history;
  private final EventLoop loop;
  private final PlatformProcess process;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_MOST).build();
  private final Thread reader = new Thread(this::read, "reader");
  private volatile boolean over;

  /**
   * {@code peer} is where it reads the other one's store, {@code jar} an earlier version to run, or
   * null for this program.
   */
  CalledPooler(
      int number,
      Addresses at,
      InetSocketAddress peer,
      EventLoop loop,
      CallHistory history,
      Path jar)
      throws IOException {
    this.number = number;
    this.at = at;
    this.loop = loop;
    this.history = history;
    process =
        new PlatformProcess("calls-" + number, at.rest(), configuration(), operator(peer), jar);
    reader.setDaemon(true);
  }

  static String member(int index) {
    return "db-" + index;
  }

  private String configuration() {
    return """
        {"name": "n%d", "listen": "127.0.0.1:%d", "mgmt": "127.0.0.1:%d", "discovery": "127.0.0.1:1",
         "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
         "known": {"revision": 7, "complete": true, "members": []}, "settings": %s}"""
        .formatted(
            number, at.platform().getPort(), at.calls().getPort(), LabSettings.json(1, 0, "east"));
  }

  private String operator(InetSocketAddress peer) throws IOException {
    return """
        name = n%d, rest { listen = "127.0.0.1:%d", members = {"revision": 7, "complete": true, "members": [%s]} }
        store { peers = ["127.0.0.1:%d"], period_ms = %d }
        settings = %s
        """
        .formatted(
            number,
            at.rest().getPort(),
            members(),
            peer.getPort(),
            PERIOD_MS,
            LabSettings.json(1, 0, "east"));
  }

  private String members() throws IOException {
    var entries = new ArrayList<String>();
    for (int i = 0; i < MEMBERS; i++) {
      String id = member(i);
      var server = new PacedRestServer(loop, i == 0, WORK_MS, () -> sent(id));
      entries.add(
          """
          {"id": "%s", "host_port": "127.0.0.1:%d", "locality": "east", "flavor": "m", "cell": 2,
           "phase": "up", "size": 1.0, "up_since_ms": 0, "role": "%s"}"""
              .formatted(id, server.address().getPort(), i == 0 ? "primary" : "replica"));
    }
    return String.join(",", entries);
  }

  private void sent(String member) {
    history.add(new Sent(number, member, now()));
  }

  static double now() {
    return System.nanoTime() / 1e6;
  }

  void start() throws IOException, InterruptedException {
    process.start();
    if (!reader.isAlive()) {
      reader.start();
    }
  }

  /** SIGKILL, and a new start on the same folder. */
  void restart() throws IOException, InterruptedException {
    process.kill();
    process.start();
  }

  /** SIGKILL so long after a call began, and a new start: the call may have taken effect. */
  void callAndKill(String member, Kind kind, long afterMs) throws Exception {
    var call = new Thread(() -> call(member, kind), "operator");
    call.start();
    TimeUnit.MILLISECONDS.sleep(afterMs);
    restart();
    call.join();
  }

  /** An operator's call, that is noted. */
  void call(String member, Kind kind) {
    double began = now();
    boolean accepted = false;
    try {
      String path =
          "/-/league-databases/" + member + "/" + (kind == Kind.DISABLE ? "disable" : "enable");
      accepted =
          send(HttpRequest.newBuilder(uri(at.calls(), path))
                      .timeout(CALL_MOST)
                      .POST(none())
                      .build())
                  .statusCode()
              == 200;
    } catch (IOException e) {
      // no answer: it may have taken effect
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    history.add(new Call(number, member, kind, began, now(), accepted));
  }

  private static HttpRequest.BodyPublisher none() {
    return HttpRequest.BodyPublishers.noBody();
  }

  private static URI uri(InetSocketAddress address, String path) {
    return URI.create("http://127.0.0.1:" + address.getPort() + path);
  }

  private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** What its store holds about drains: marks, and the calls that they follow from. */
  Map<String, String> drains() throws IOException, InterruptedException {
    var request =
        HttpRequest.newBuilder(uri(at.rest(), "/v1/store?limit=500")).timeout(CALL_MOST).build();
    var drains = new TreeMap<String, String>();
    for (Object entry : (List<?>) Json.object(send(request).body()).get("items")) {
      var fields = (Map<?, ?>) entry;
      if (fields.get("key") instanceof String key
          && key.startsWith("drain")
          && fields.get("value") instanceof String value) {
        drains.put(key, value);
      }
    }
    return drains;
  }

  /** The members that its store says are out. */
  Set<String> out() throws IOException, InterruptedException {
    return drains().keySet().stream()
        .filter(key -> key.startsWith(MARK))
        .map(key -> key.substring(MARK.length()))
        .collect(Collectors.toSet());
  }

  private void read() {
    HttpRequest page =
        HttpRequest.newBuilder(uri(at.rest(), "/v1/groups/2/board?limit=3"))
            .timeout(READ_MOST)
            .build();
    while (!over) {
      try {
        send(page);
        TimeUnit.MILLISECONDS.sleep(READ_EVERY_MS);
      } catch (IOException e) {
        // it is being started anew; what was sent before is noted by the members
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** The last lines of its log. */
  String logEnd() throws IOException {
    List<String> lines = Files.readAllLines(process.log());
    return lines.stream()
        .skip(Math.max(0, lines.size() - 5))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  @Override
  public void close() throws IOException {
    over = true;
    reader.interrupt();
    process.close();
  }
}
