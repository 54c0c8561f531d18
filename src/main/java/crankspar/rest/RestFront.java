package crankspar.rest;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.core.Counters;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.json.Json;
import crankspar.net.Clients;
import crankspar.net.EventLoop;
import crankspar.net.MemoryBudget;
import crankspar.net.ServerConnectionHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The second front: pages of the read classes and writes with an idempotency key, over HTTP/1.1. It
 * words requests and answers; what becomes of them is decided by the module, under the same rules.
 */
public final class RestFront implements RestSession.Desk, Front {
  /** Pages of something else than the servers' data, such as the store. */
  public interface Resource {
    /** {@code told} hears the whole response once, at once or later; on the loop. */
    void answer(
        HttpHead.Request head, Map<String, String> query, byte[] body, Consumer<byte[]> told);
  }

  /** What a request lacks or has wrong, for its client. */
  private static final class Bad extends Exception {
    final Problem problem;

    Bad(int status, String type, String title, String detail) {
      super(detail);
      problem = Problem.of(status, type, title, detail);
    }
  }

  private static final int LIMIT = 50;
  private static final int LIMIT_MOST = 500;
  private static final int KEY_MOST = 255;

  private final EventLoop loop;
  private final Router.Settings settings;
  private final Counters counters;
  private final Pooler<RestQuery, RestAnswer> pooler;
  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Resource> resources = new LinkedHashMap<>();
  private final Map<RestSession, String> reads = new HashMap<>();
  private final KeyedWrites writes;
  private final Clients<RestSession> clients;

  private RestFront(
      EventLoop loop,
      Router.Settings settings,
      Counters counters,
      Pooler<RestQuery, RestAnswer> pooler,
      KeyLog keys,
      int most) {
    this.loop = loop;
    this.settings = settings;
    this.counters = counters;
    this.pooler = pooler;
    writes = new KeyedWrites(loop, counters, pooler, keys, settings.limits().maxRetryAfter());
    clients = new Clients<>(loop, counters, most, () -> new RestSession(this));
    settings.classes().forEach(c -> classes.put(c.name(), classes.size()));
    resources.put("/v1/status", (head, query, body, told) -> told.accept(status()));
  }

  /** A front with its core: the caller feeds both with members. */
  public record Parts(RestFront front, Pooler<?, ?> pooler, crankspar.net.Pool<?, ?> pool) {}

  /**
   * Builds the front over its own connections to servers that speak REST; {@code keys} is its
   * caller's to close.
   */
  public static Parts build(
      EventLoop loop,
      Router.Settings settings,
      Counters counters,
      Ports.Discovery discovery,
      java.util.function.BiFunction<Router.Settings, Router.Actions, Router> maker,
      KeyLog keys,
      int clients,
      int servers) {
    var pool =
        new crankspar.net.Pool<RestQuery, RestAnswer>(
            loop,
            counters,
            () -> dial(counters, loop),
            RestQuery.LOAD,
            settings.limits().connectTimeout(),
            settings.limits().connectionIdleTimeout(),
            servers);
    var pooler =
        new Pooler<RestQuery, RestAnswer>(settings, loop, pool, discovery, counters, maker);
    return new Parts(new RestFront(loop, settings, counters, pooler, keys, clients), pooler, pool);
  }

  private static ServerConnectionHandler<RestQuery, RestAnswer> dial(
      Counters counters, EventLoop loop) {
    return new RestServerSession(counters, loop, loop.memory());
  }

  /** An error of a resource's, in the same words as all others. */
  public static byte[] problem(int status, String type, String title, String detail) {
    return Problem.of(status, type, title, detail).response(Map.of());
  }

  public void add(String path, Resource resource) {
    resources.put(path, resource);
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return clients.listen(address);
  }

  // ---- Requests.
  @Override
  public void take(RestSession.Call call, RestSession session) {
    try {
      String target = call.head().target();
      int mark = target.indexOf('?');
      String path = mark < 0 ? target : target.substring(0, mark);
      Map<String, String> query = parameters(mark < 0 ? "" : target.substring(mark + 1));
      Resource resource = resources.get(path);
      if (resource != null) {
        resource.answer(call.head(), query, call.body(), session::answer);
        return;
      }
      String[] parts = path.split("/", -1);
      if (parts.length != 5 || !parts[1].equals("v1") || !parts[2].equals("groups")) {
        throw new Bad(404, "not-found", "Nothing is here", path);
      }
      Integer kind = classes.get(parts[4]);
      if (kind == null || !parts[3].matches("[0-9]{1,9}")) {
        throw new Bad(404, "not-found", "No such group or class", path);
      }
      Router.RequestClass c = settings.classes().get(kind);
      boolean write = c.freshness() == Freshness.WRITE;
      if (!call.head().method().equals(write ? "POST" : "GET")) {
        throw new Bad(
            405, "method", "The method is not allowed here", write ? "only POST" : "only GET");
      }
      double ttl = number(call.head(), "request-deadline-ms", c.timeout());
      if (ttl < 1) {
        throw new Bad(400, "bad-header", "Request-Deadline-Ms is out of range", "at least 1");
      }
      double deadline = call.since() + Math.min(ttl, c.timeout());
      if (write) {
        write(call, session, kind, Integer.parseInt(parts[3]), deadline);
      } else {
        page(call, session, query, kind, Integer.parseInt(parts[3]), deadline);
      }
    } catch (Bad e) {
      counters.add("client_bad_requests");
      session.answer(e.problem.response(Map.of()));
    }
  }

  private void page(
      RestSession.Call call,
      RestSession session,
      Map<String, String> query,
      int kind,
      int group,
      double deadline)
      throws Bad {
    Router.RequestClass c = settings.classes().get(kind);
    String key = query.get("key");
    int limit = limit(query);
    double mark = number(call.head(), "session-mark", Double.NaN);
    String after = "";
    if (query.containsKey("cursor")) {
      try {
        Cursor cursor = Cursor.decode(query.get("cursor"), c.name(), group, key);
        after = cursor.after();
        mark = Double.isNaN(mark) ? cursor.shown() : Math.max(mark, cursor.shown());
      } catch (Cursor.Malformed e) {
        throw new Bad(400, "bad-cursor", "The cursor is of no use here", e.getMessage());
      }
    }
    boolean positioned = c.freshness() == Freshness.BOUNDED || c.freshness() == Freshness.SESSION;
    var q =
        new RestQuery(
            c.name(),
            c.freshness(),
            group,
            key,
            limit,
            after,
            c.freshness() == Freshness.BOUNDED ? c.stalenessBound() : Double.POSITIVE_INFINITY,
            positioned ? mark : Double.NaN,
            null,
            null);
    boolean[] answered = new boolean[1];
    double shown = mark;
    String id =
        pooler.submit(
            new Ports.ClientRequest<>(kind, deadline, key, q.mark(), group, q),
            RestReply.ofRead(
                pooler,
                session,
                answer -> {
                  answered[0] = true;
                  reads.remove(session);
                  session.answer(RestWords.answer(answer, q, shown));
                }));
    if (!answered[0]) {
      reads.put(session, id);
    }
  }

  static int limit(Map<String, String> query) throws Bad {
    String text = query.get("limit");
    if (text == null) {
      return LIMIT;
    }
    if (!text.matches("[0-9]{1,4}")
        || Integer.parseInt(text) < 1
        || Integer.parseInt(text) > LIMIT_MOST) {
      throw new Bad(400, "bad-limit", "The limit is out of range", "1 to " + LIMIT_MOST);
    }
    return Integer.parseInt(text);
  }

  private void write(
      RestSession.Call call, RestSession session, int kind, int group, double deadline) throws Bad {
    String key = call.head().header("idempotency-key");
    if (key == null || key.isBlank() || key.length() > KEY_MOST) {
      throw new Bad(
          400, "no-key", "An Idempotency-Key is needed", "1 to " + KEY_MOST + " characters");
    }
    String name = settings.classes().get(kind).name();
    var query =
        new RestQuery(
            name,
            Freshness.WRITE,
            group,
            null,
            0,
            "",
            Double.POSITIVE_INFINITY,
            Double.NaN,
            key,
            call.body());
    String scoped = name + "/" + group + "/" + key;
    writes.take(
        new KeyedWrites.Write(
            session,
            kind,
            deadline,
            call.head().header("session"),
            query,
            scoped,
            KeyDigest.of(call.body())));
  }

  /** A read whose client has left is given up. */
  @Override
  public void left(RestSession session) {
    String read = reads.remove(session);
    if (read != null) {
      pooler.clientLeft(read);
    }
    writes.left(session);
  }

  private byte[] status() {
    var out = new ByteArrayOutputStream();
    try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
      g.writeStartObject();
      for (Map.Entry<String, Long> e : counters.all().entrySet()) {
        g.writeNumberField(e.getKey(), e.getValue());
      }
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return HttpEncoder.response(200, Map.of("Content-Type", "application/json"), out.toByteArray());
  }

  private static Map<String, String> parameters(String text) throws Bad {
    var map = new LinkedHashMap<String, String>();
    try {
      for (String part : text.split("&")) {
        if (!part.isEmpty()) {
          String[] pair = part.split("=", 2);
          map.put(
              URLDecoder.decode(pair[0], StandardCharsets.UTF_8),
              pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
      }
    } catch (IllegalArgumentException e) {
      throw new Bad(400, "bad-query", "The query is malformed", e.getMessage());
    }
    return map;
  }

  private static double number(HttpHead head, String name, double absent) throws Bad {
    String text = head.header(name);
    if (text == null) {
      return absent;
    }
    if (!text.matches("[0-9]{1,15}")) {
      throw new Bad(400, "bad-header", "A header is no number", name + ": " + text);
    }
    return Double.parseDouble(text);
  }

  // ---- Connections.
  @Override
  public void closed(RestSession session) {
    clients.closed(session);
  }

  @Override
  public boolean draining() {
    return clients.draining();
  }

  @Override
  public Counters counters() {
    return counters;
  }

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public MemoryBudget memory() {
    return loop.memory();
  }

  @Override
  public void later(Runnable work) {
    loop.run(work);
  }

  @Override
  public void laterBehind(Runnable work) {
    loop.runBehind(work);
  }

  @Override
  public void stopping() {
    clients.stopping();
  }

  /** Takes no new connections, and closes each that it has between two requests. */
  @Override
  public void drain() {
    clients.drain();
  }

  @Override
  public boolean closed() {
    return clients.closed();
  }

  /** The end of a drain. */
  @Override
  public void resume() {
    clients.resume();
  }
}
