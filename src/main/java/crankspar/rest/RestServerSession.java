package crankspar.rest;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import crankspar.Router.Role;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberReport;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.json.Json;
import crankspar.net.Connection;
import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;
import crankspar.net.ServerConnectionHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.function.BooleanSupplier;

/**
 * The pooler's side of a connection to a server that speaks REST: one request at a time, HTTP/1.1.
 */
final class RestServerSession
    implements ServerConnectionHandler<RestQuery, RestAnswer>,
        HttpParser.Handler,
        MemoryBudget.Holder {
  static final int BODY_MOST = 1088 * 1024;

  /** What a body takes as it grows: its buffer doubles. */
  private static final int BODY_COPIES = 2;

  /**
   * HTTP/1.1 has nothing to ask a server behind an answer: it is listened to for this long (ms)
   * instead.
   */
  private static final double SETTLE = 20;

  private final HttpParser parser = new HttpParser(false, BODY_MOST, this);
  private final Counters counters;
  private final MemoryBudget.Share memory;
  private final Ports.Time clock;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Owner owner;
  private Connection out;
  private AttemptProgress reach = AttemptProgress.NOT_CONNECTED;
  private RestQuery query;
  private double least;
  private HttpHead.Response head;
  private Ports.AttemptListener<RestAnswer> listener;
  private boolean keepAlive = true;
  private boolean surplus;

  RestServerSession(Counters counters, Ports.Time clock, MemoryBudget budget) {
    this.counters = counters;
    this.clock = clock;
    memory = budget.open(this);
  }

  @Override
  public void owner(Owner owner) {
    this.owner = owner;
  }

  @Override
  public AttemptProgress reach() {
    return reach;
  }

  @Override
  public boolean reusable() {
    return reach == AttemptProgress.ANSWERED && keepAlive;
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
    owner.ready();
  }

  @Override
  public byte[] encode(RestQuery q, double left) {
    least = q.least(clock.now());
    var headers = new LinkedHashMap<String, String>();
    headers.put("Host", "server");
    headers.put("Request-Deadline-Ms", Long.toString(Math.max(1, Math.round(left))));
    if (least > Double.NEGATIVE_INFINITY) {
      headers.put("Least-Position", Long.toString((long) Math.ceil(least)));
    }
    if (q.idempotencyKey() != null) {
      headers.put("Idempotency-Key", q.idempotencyKey());
      headers.put("Content-Type", "application/json");
    }
    return HttpEncoder.request(
        q.write() ? "POST" : "GET", target(q), headers, q.body() == null ? new byte[0] : q.body());
  }

  @Override
  public boolean carry(
      RestQuery q,
      byte[] encoded,
      BooleanSupplier current,
      Ports.AttemptListener<RestAnswer> told) {
    AttemptProgress before = reach;
    query = q;
    listener = told;
    reach = AttemptProgress.PARTLY_WRITTEN;
    if (out.writeIf(current, encoded, this::whollyWritten)) {
      return true;
    }
    query = null;
    listener = null;
    reach = before;
    return false;
  }

  private void whollyWritten() {
    if (reach == AttemptProgress.PARTLY_WRITTEN) {
      reach = AttemptProgress.WHOLLY_WRITTEN;
      listener.written();
    }
  }

  @Override
  public void settle() {
    clock.after(
        SETTLE,
        () -> {
          if (!surplus) {
            owner.ready();
          }
        });
  }

  private static String target(RestQuery q) {
    if (q == RestQuery.LOAD) {
      return "/v1/load";
    }
    var text =
        new StringBuilder("/v1/groups/").append(q.group()).append('/').append(escape(q.kind()));
    if (!q.write()) {
      text.append("?limit=").append(q.limit());
      if (!q.after().isEmpty()) {
        text.append("&after=").append(escape(q.after()));
      }
      if (q.key() != null) {
        text.append("&key=").append(escape(q.key()));
      }
    }
    return text.toString();
  }

  private static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  @Override
  public void received(ByteBuffer in) {
    try {
      while (listener != null && in.hasRemaining()) {
        parser.feedMessage(in);
      }
    } catch (HttpParser.Malformed e) {
      in.position(in.limit());
      spoilt("server_malformed", "malformed: " + e.getMessage());
      return;
    }
    if (in.hasRemaining()) { // a second copy, say: it must not answer the next request
      in.position(in.limit());
      spoilt("server_unasked_bytes", "bytes that nothing asked for");
    }
  }

  /** Others need the memory: what it carries ends as with a connection that breaks. */
  @Override
  public void shed() {
    spoilt("server_connections_shed", "no room for its answer");
  }

  @Override
  public void closed() {
    memory.close();
  }

  private void spoilt(String counter, String why) {
    surplus = true;
    counters.add(counter);
    out.close();
    owner.gone(why);
  }

  @Override
  public void head(HttpHead head) {
    this.head = (HttpHead.Response) head;
    body = new ByteArrayOutputStream();
  }

  @Override
  public void body(byte[] part) {
    if (body.size() + part.length <= BODY_MOST) {
      body.writeBytes(part);
      if (!memory.set(Use.SERVER, (long) BODY_COPIES * body.size())) {
        shed();
      }
    } else if (!surplus) {
      spoilt("server_malformed", "an answer of more than " + BODY_MOST + " bytes");
    }
  }

  @Override
  public void end() {
    if (head.status() / 100 == 1) {
      return; // an interim answer
    }
    keepAlive = head.keepAlive();
    Ports.AttemptListener<RestAnswer> told = listener;
    listener = null;
    if (told == null || surplus) {
      return; // it was too long, and is given up already
    }
    AttemptEnd<RestAnswer> how = how();
    reach = AttemptProgress.ANSWERED;
    told.ended(how);
    if (!keepAlive) {
      out.close();
      owner.gone("closed by the server's wish");
    }
  }

  /** Each status stands for one outcome of the protocol's table. */
  private AttemptEnd<RestAnswer> how() {
    String role = head.header("role");
    MemberReport note =
        new MemberReport(
            "primary".equals(role)
                ? Role.PRIMARY
                : "replica".equals(role) ? Role.REPLICA : Role.UNKNOWN,
            number(head.header("applied-position")));
    int status = head.status();
    if (status == 421 || status == 412) { // no primary, or too far behind
      return new AttemptEnd.Missed<>(note);
    }
    if (status == 503 || status == 429) {
      return new AttemptEnd.TurnedAway<>(note);
    }
    if (status >= 500 || status < 200 || status / 100 == 3) {
      return new AttemptEnd.Erred<>(note, "status " + status);
    }
    byte[] bytes = body.toByteArray();
    body = new ByteArrayOutputStream();
    memory.force(Use.SERVER, 0);
    String type = head.headers().getOrDefault("content-type", "application/json");
    if (query.write() || status >= 400) {
      return new AttemptEnd.Served<>(new RestAnswer(status, type, bytes, null, null), note);
    }
    if (query == RestQuery.LOAD) {
      return load(bytes);
    }
    // What an answer tells of its own age is held against the need at the send: a position never
    // goes back,
    // so that one below it proves the data too old, and one that is missing proves nothing.
    if (least > Double.NEGATIVE_INFINITY && !(note.position() >= least)) {
      counters.add("server_stale");
      return new AttemptEnd.Missed<>(note);
    }
    return page(status, type, bytes, note);
  }

  private AttemptEnd<RestAnswer> load(byte[] bytes) {
    try {
      var report = Json.object(new String(bytes, StandardCharsets.UTF_8));
      boolean known =
          report.get("role") instanceof String && report.get("position") instanceof Number;
      return new AttemptEnd.Served<>(
          new RestAnswer(200, "", bytes, null, null),
          !known
              ? MemberReport.NONE
              : new MemberReport(
                  "primary".equals(report.get("role")) ? Role.PRIMARY : Role.REPLICA,
                  ((Number) report.get("position")).doubleValue()));
    } catch (IOException e) {
      return new AttemptEnd.Erred<>(MemberReport.NONE, "no load report");
    }
  }

  /**
   * The items stay as they came: cut out, not read and written anew, so that no number changes its
   * digits.
   */
  private AttemptEnd<RestAnswer> page(int status, String type, byte[] bytes, MemberReport note) {
    String items = null;
    String next = null;
    try (JsonParser p = Json.FACTORY.createParser(bytes)) {
      if (p.nextToken() == JsonToken.START_OBJECT) {
        while (p.nextToken() == JsonToken.FIELD_NAME) {
          String name = p.currentName();
          JsonToken token = p.nextToken();
          if (name.equals("items") && token == JsonToken.START_ARRAY) {
            int from = (int) p.currentTokenLocation().getByteOffset();
            p.skipChildren();
            int to = (int) p.currentLocation().getByteOffset();
            items = new String(bytes, from, to - from, StandardCharsets.UTF_8);
          } else if (name.equals("next") && token == JsonToken.VALUE_STRING) {
            next = p.getText();
          } else {
            p.skipChildren();
          }
        }
      }
      items = p.nextToken() == null ? items : null;
    } catch (IOException e) {
      items = null;
    }
    if (items == null) {
      counters.add("server_malformed");
      return new AttemptEnd.Erred<>(note, "no page");
    }
    return new AttemptEnd.Served<>(new RestAnswer(status, type, bytes, items, next), note);
  }

  /** A plain number, or NaN: nothing else that Java would read passes for a position. */
  private static double number(String text) {
    return text != null && text.matches("[0-9]{1,15}(\\.[0-9]{0,6})?")
        ? Double.parseDouble(text)
        : Double.NaN;
  }

  /**
   * An answer without a length ends with its connection. Guards against half an answer before a
   * reset, which was served as a whole one.
   */
  @Override
  public void finished() {
    try {
      parser.close();
    } catch (HttpParser.Malformed e) {
      counters.add("server_cut_short");
    }
  }

  @Override
  public void ended(String why) {
    owner.gone(why);
  }
}
