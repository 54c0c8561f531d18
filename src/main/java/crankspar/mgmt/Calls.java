package crankspar.mgmt;

import crankspar.core.Counters;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Where operators call: HTTP/1.1, one call a connection. Its sockets are apart from the clients',
 * so that a pooler that is full of these still answers.
 */
public final class Calls {
  private static final String PREFIX = "edge_balancer.";
  private static final String MEMBERS = "/-/league-databases/";
  private static final String AUDIT = "/-/audit/";

  /** Guards against callers that connect and finish no call: the oldest of them makes room. */
  private static final int MOST = 16;

  /** A caller waits 1 s, so that a call which is not whole after this long (ms) is nobody's. */
  private static final double HALF_MOST = 2000;

  private final EventLoop loop;
  private final Counters counters;
  private final Operations operations;
  private final LinkedHashSet<Call> open = new LinkedHashSet<>();

  public Calls(EventLoop loop, Counters counters, Operations operations) {
    this.loop = loop;
    this.counters = counters;
    this.operations = operations;
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return loop.listenUrgent(address, this::admit).address();
  }

  private ConnectionHandler admit() {
    if (open.size() >= MOST) {
      counters.add("calls_closed_for_room");
      open.iterator().next().drop();
    }
    var call = new Call(this);
    open.add(call);
    loop.after(HALF_MOST, call::late);
    return call;
  }

  void closed(Call call) {
    open.remove(call);
  }

  /** Answers a whole call; {@code told} hears the response once, at once or later. */
  void answer(HttpHead.Request head, Consumer<byte[]> told) {
    counters.add("calls");
    String path = head.target().split("\\?", 2)[0];
    boolean member =
        path.startsWith(MEMBERS)
            && path.substring(MEMBERS.length()).matches("[^/]+/(disable|enable)");
    String method =
        switch (path) {
          case "/-/ready", "/-/metrics" -> "GET";
          case "/-/drain", "/-/resume" -> "POST";
          default -> member ? "POST" : path.startsWith(AUDIT) ? "GET" : null;
        };
    if (method == null) {
      told.accept(said(404, "nothing is here"));
    } else if (!head.method().equals(method)) {
      told.accept(said(405, "only " + method));
    } else if (member) {
      member(path.substring(MEMBERS.length()).split("/"), told);
    } else {
      told.accept(answerAtOnce(path, head.target()));
    }
  }

  private byte[] answerAtOnce(String path, String target) {
    return switch (path) {
      case "/-/ready" -> operations.ready() ? said(200, "ready") : said(503, "not ready");
      case "/-/metrics" -> said(200, metrics());
      case "/-/drain" -> said(operations.drain(), "drains");
      case "/-/resume" -> said(operations.resume(), "serves");
      default -> audit(path.substring(AUDIT.length()), target);
    };
  }

  private byte[] audit(String page, String target) {
    var query = new LinkedHashMap<String, String>();
    if (target.indexOf('?') >= 0) {
      for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
        String[] words = pair.split("=", 2);
        try {
          query.put(
              words[0],
              words.length < 2 ? "" : URLDecoder.decode(words[1], StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
          return said(400, "cannot be read: " + pair);
        }
      }
    }
    String json = operations.audit(page, query);
    return json == null
        ? said(404, "no audit is here")
        : HttpEncoder.response(
            200,
            Map.of("Content-Type", "application/json", "Connection", "close"),
            json.getBytes(StandardCharsets.UTF_8));
  }

  private void member(String[] words, Consumer<byte[]> told) {
    String id;
    try {
      id = URLDecoder.decode(words[0].replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      told.accept(said(404, "no league database has such an id"));
      return;
    }
    if (words[1].equals("disable")) {
      operations.disable(id, done -> told.accept(said(done, id + " is out")));
    } else {
      operations.enable(id, done -> told.accept(said(done, id + " may serve")));
    }
  }

  private String metrics() {
    var text = new StringBuilder();
    for (Operations.Figure f : operations.figures()) {
      text.append(PREFIX)
          .append(f.name())
          .append(':')
          .append(f.value())
          .append(f.count() ? "|c\n" : "|g\n");
    }
    return text.toString();
  }

  private static byte[] said(Operations.Done done, String yes) {
    return switch (done) {
      case YES -> said(200, yes);
      case UNKNOWN_ID -> said(404, "no league database has this id");
      case NOT_NOW -> said(503, "not now");
    };
  }

  static byte[] said(int status, String text) {
    return HttpEncoder.response(
        status,
        Map.of("Content-Type", "text/plain; charset=utf-8", "Connection", "close"),
        (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  Counters counters() {
    return counters;
  }
}
