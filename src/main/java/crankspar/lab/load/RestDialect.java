package crankspar.lab.load;

import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.json.Json;
import crankspar.lab.load.Recorder.Outcome;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Requests as paged REST: a read is a whole chain of pages, each asked for with the cursor of the
 * one before; a write is one POST with a key of its own. A chain is one request, and late where its
 * last page is.
 */
final class RestDialect implements Dialect {
  /**
   * A chain is followed so far at most: a server that gives cursors for ever is no reason to go on.
   */
  private static final int PAGES_MOST = 50;

  private static final int BODY_MOST = 1 << 20;

  private final Workload workload;
  private final InetSocketAddress target;
  private final String run = Long.toString(System.nanoTime(), 36);

  RestDialect(Workload workload, InetSocketAddress target) {
    this.workload = workload;
    this.target = target;
  }

  @Override
  public void connect(EventLoop loop, Consumer<LoadClient> ready) {
    loop.connect(target, new One(ready));
  }

  private final class One implements ConnectionHandler, HttpParser.Handler, LoadClient {
    private final HttpParser parser = new HttpParser(false, BODY_MOST, this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Consumer<LoadClient> ready;
    private Connection out;
    private boolean closed;
    private HttpHead.Response head;
    private BiConsumer<Outcome, String> told;
    private Asked asked;
    private double until;
    private int pages;

    One(Consumer<LoadClient> ready) {
      this.ready = ready;
    }

    @Override
    public boolean gone() {
      return closed;
    }

    @Override
    public void ask(Asked a, double left, double mustSee, BiConsumer<Outcome, String> told) {
      this.told = told;
      asked = a;
      pages = 0;
      Workload.Kind kind = workload.kinds().get(a.kind());
      until = kind.giveUp() - (left - a.at());
      var headers = headers(kind);
      if (kind.check() == Workload.Check.SESSION && mustSee > 0) {
        headers.put("Session-Mark", Long.toString((long) Math.ceil(mustSee)));
      }
      String path = "/v1/groups/" + a.group() + "/" + kind.name();
      if (kind.write()) {
        headers.put("Idempotency-Key", run + "." + a.number());
        out.write(
            HttpEncoder.request(
                "POST",
                path,
                headers,
                kind.sql()
                    .replace("$n", Long.toString(a.number()))
                    .replace("$s", "s" + a.session())
                    .getBytes(StandardCharsets.UTF_8)));
      } else {
        out.write(
            HttpEncoder.request(
                "GET",
                path + (kind.sql().startsWith("?") ? kind.sql() : ""),
                headers,
                new byte[0]));
      }
    }

    private Map<String, String> headers(Workload.Kind kind) {
      var headers = new LinkedHashMap<String, String>();
      headers.put("Host", target.getHostString() + ":" + target.getPort());
      headers.put(
          "Request-Deadline-Ms",
          Long.toString(Math.max(1, Math.round(Math.min(until, kind.giveUp())))));
      return headers;
    }

    @Override
    public void close() {
      closed = true;
      if (out != null) {
        out.close();
      }
      over(Outcome.FAILED, null);
    }

    @Override
    public void opened(Connection out) {
      this.out = out;
      Consumer<LoadClient> tell = ready;
      ready = null;
      tell.accept(this);
    }

    @Override
    public void received(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.Malformed e) {
        in.position(in.limit());
        close();
      }
    }

    @Override
    public void head(HttpHead head) {
      this.head = (HttpHead.Response) head;
      body.reset();
    }

    @Override
    public void body(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void end() {
      if (told == null) {
        return;
      }
      if (!head.keepAlive()) {
        closed = true;
      }
      if (head.status() == 503 || head.status() == 429) {
        over(Outcome.REFUSED, null);
        return;
      }
      if (head.status() != 200) {
        over(Outcome.FAILED, null);
        return;
      }
      Workload.Kind kind = workload.kinds().get(asked.kind());
      try {
        Map<?, ?> answer = Json.object(body.toString(StandardCharsets.UTF_8));
        if (!kind.write()
            && answer.get("next") instanceof String next
            && ++pages < PAGES_MOST
            && !closed) {
          out.write(HttpEncoder.request("GET", next, headers(kind), new byte[0]));
          return;
        }
        over(Outcome.OK, head.header("session-mark"));
      } catch (IOException e) {
        over(Outcome.FAILED, null);
      }
    }

    private void over(Outcome outcome, String value) {
      BiConsumer<Outcome, String> tell = told;
      told = null;
      if (tell != null) {
        tell.accept(outcome, value);
      }
    }

    @Override
    public void ended(String why) {
      closed = true;
      Consumer<LoadClient> tell = ready;
      ready = null;
      if (tell != null) {
        tell.accept(this);
      }
      over(Outcome.FAILED, null);
    }
  }
}
