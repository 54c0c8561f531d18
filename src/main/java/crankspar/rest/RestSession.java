package crankspar.rest;

import crankspar.core.Counters;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.ClientConnectionHandler;
import crankspar.net.Connection;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;

/** A REST client's connection: requests are taken one at a time and answered in their order. */
final class RestSession implements ClientConnectionHandler, HttpParser.Handler {
  /** One whole request, and the earliest time (ms) at which its last byte may have come. */
  record Call(HttpHead.Request head, byte[] body, double since) {}

  interface Desk {
    /** Takes a call; what comes of it is told to the session's {@link #answer}. */
    void take(Call call, RestSession session);

    /** The time (ms) by the loop's clock. */
    double now();

    /** Runs work behind whatever the sockets hold now: ends come before it. */
    void later(Runnable work);

    /** The client of the call at hand has left. */
    void left(RestSession session);

    void closed(RestSession session);

    boolean draining();

    Counters counters();
  }

  static final int BODY_MOST = 64 * 1024;
  private static final int WAITING_MOST = 32;

  private final HttpParser parser = new HttpParser(true, BODY_MOST, this);
  private final Desk desk;
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpHead.Request head;
  private Connection out;
  private Call now;
  private boolean over, last, taking, scheduled;
  private long calls;

  RestSession(Desk desk) {
    this.desk = desk;
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
  }

  @Override
  public void received(ByteBuffer in) {
    try {
      parser.feed(in);
    } catch (HttpParser.Malformed e) {
      in.position(in.limit());
      desk.counters().add("client_malformed");
      refuse(Problem.of(400, "malformed", "The request is malformed", e.getMessage()));
      return;
    }
    schedule();
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      desk.later(this::goOn);
    }
  }

  @Override
  public void head(HttpHead head) {
    this.head = (HttpHead.Request) head;
    body.reset();
    if (over) {
      return;
    }
    String expect = head.header("expect");
    if (expect != null && expect.equalsIgnoreCase("100-continue")) {
      out.write(
          "HTTP/1.1 100 Continue\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    }
  }

  @Override
  public void body(byte[] part) {
    if (body.size() + part.length <= BODY_MOST) {
      body.writeBytes(part);
    } else if (!over) { // chunks, each within the bound, that go on and on
      refuse(
          Problem.of(
              413, "too-large", "The content is too large", "at most " + BODY_MOST + " bytes"));
    }
  }

  @Override
  public void end() {
    if (over) {
      return;
    }
    if (waiting.size() >= WAITING_MOST) {
      refuse(Problem.of(400, "too-many", "Too many requests at once", "at most " + WAITING_MOST));
      return;
    }
    calls++;
    waiting.add(new Call(head, body.toByteArray(), Math.min(desk.now(), out.earliestArrival())));
  }

  private void goOn() {
    scheduled = false;
    if (taking || over) {
      return;
    }
    taking = true;
    while (now == null && !over && !waiting.isEmpty()) {
      now = waiting.poll();
      last = !now.head().keepAlive();
      desk.take(now, this);
    }
    taking = false;
    if (desk.draining()) {
      closeIfIdle();
    }
  }

  /** The answer to the call at hand. */
  void answer(byte[] response) {
    now = null;
    if (!over) {
      out.write(response);
      if (last) {
        finish();
      } else {
        schedule();
      }
    }
  }

  private void refuse(Problem problem) {
    if (!over && out != null) {
      out.write(problem.response(Map.of("Connection", "close")));
      boolean owed = now != null;
      finish();
      if (owed) {
        desk.left(this);
      }
    }
  }

  @Override
  public Standing standing() {
    if (over) {
      return Standing.LEAVING;
    }
    return now != null || !waiting.isEmpty()
        ? Standing.BUSY
        : !parser.betweenMessages() ? Standing.HALF : calls == 0 ? Standing.NEW : Standing.IDLE;
  }

  @Override
  public boolean unsent() {
    return out != null && out.unsent();
  }

  @Override
  public boolean begun() {
    return !parser.betweenMessages();
  }

  @Override
  public long progress() {
    return calls;
  }

  @Override
  public void turnAway(String why) {
    refuse(Problem.of(408, "timeout", "The request did not come whole", why));
  }

  @Override
  public void readNow() {
    if (out != null) {
      out.readNow();
    }
  }

  /** Whether its client is still there, by what its connection holds now. */
  boolean present() {
    readNow();
    return !over;
  }

  @Override
  public void closeIfIdle() {
    readNow();
    if (standing() == Standing.IDLE || standing() == Standing.NEW) {
      finish();
    }
  }

  @Override
  public void drop() {
    ended("dropped");
    if (out != null) {
      out.close();
    }
  }

  private void finish() {
    over = true;
    if (out != null) {
      out.finish();
    }
  }

  @Override
  public void ended(String why) {
    if (!over) {
      over = true;
      if (now != null) {
        desk.left(this);
      }
    }
  }

  @Override
  public void closed() {
    desk.closed(this);
  }
}
