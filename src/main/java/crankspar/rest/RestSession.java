package crankspar.rest;

import crankspar.core.Counters;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.ClientConnectionHandler;
import crankspar.net.Connection;
import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;

/** A REST client's connection: requests are taken one at a time and answered in their order. */
final class RestSession
    implements ClientConnectionHandler, HttpParser.Handler, MemoryBudget.Holder {
  /** One whole request, and the earliest time (ms) at which its last byte may have come. */
  record Call(HttpHead.Request head, byte[] body, double since) {
    /** Bytes of memory, about. */
    int memory() {
      return CALL_BYTES + head.length() + body.length;
    }
  }

  interface Desk {
    /** Takes a call; what comes of it is told to the session's {@link #answer}. */
    void take(Call call, RestSession session);

    /** The time (ms) by the loop's clock. */
    double now();

    /** Runs work behind whatever the sockets hold now: ends come before it. */
    void later(Runnable work);

    /** Like {@link #later}, behind all such work of others. */
    void laterBehind(Runnable work);

    /** The client of the call at hand has left. */
    void left(RestSession session);

    void closed(RestSession session);

    /** What all connections of this process hold. */
    MemoryBudget memory();

    boolean draining();

    Counters counters();
  }

  static final int BODY_MOST = 64 * 1024;

  /** Whole requests that are parsed ahead, and their bytes; what follows stays as it came. */
  private static final int WAITING_MOST = 32;

  private static final int WAITING_BYTES = 64 * 1024;

  /** Bytes that wait to be parsed before reading pauses. */
  private static final int UNPARSED_MOST = 64 * 1024;

  /** What a request holds besides its text. */
  private static final int CALL_BYTES = 512;

  /** A call in progress is held once more, as it is sent on. */
  private static final int CALL_COPIES = 2;

  private final HttpParser parser = new HttpParser(true, BODY_MOST, this);
  private final Desk desk;
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private final UnparsedBytes unparsed = new UnparsedBytes();
  private final MemoryBudget.Share memory;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int waitingBytes;

  /**
   * What ends the connection, once what came before it has its answers; null where nothing does.
   */
  private Problem ending;

  private HttpHead.Request head;
  private Connection out;
  private Call now;
  private boolean over, last, taking, scheduled, allRead;
  private boolean reading = true;
  private long calls;

  RestSession(Desk desk) {
    this.desk = desk;
    memory = desk.memory().open(this);
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
  }

  @Override
  public void received(ByteBuffer in) {
    if (over || ending != null) {
      in.position(in.limit());
      return;
    }
    unparsed.add(in, Math.min(desk.now(), out.earliestArrival()));
    parse();
    if (!over && !memory.set(Use.INPUT, inputMemory())) {
      end(Problem.of(503, "no-memory", "There is no room for the request now", ""));
    }
    schedule();
  }

  /** Parses ahead of what is taken, within bounds; reading pauses while more than that is here. */
  private void parse() {
    try {
      while (!over && ending == null && unparsed.left().hasRemaining() && mayParse()) {
        parser.feedMessage(unparsed.left());
      }
    } catch (HttpParser.Malformed e) {
      desk.counters().add("client_malformed");
      end(Problem.of(400, "malformed", "The request is malformed", e.getMessage()));
    }
    boolean wanted = unparsed.left().remaining() <= UNPARSED_MOST;
    if (wanted != reading && !over) {
      reading = wanted;
      out.reading(wanted);
    }
  }

  private boolean mayParse() {
    return waiting.size() < WAITING_MOST && waitingBytes < WAITING_BYTES;
  }

  private int inputMemory() {
    return unparsed.memory() + parser.held() + 2 * body.size() + waitingBytes;
  }

  /** What is owed is answered first; nothing more is read. */
  private void end(Problem problem) {
    ending = problem;
    unparsed.clear();
    body = new ByteArrayOutputStream();
    schedule();
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      desk.later(this::goOn);
    }
  }

  /** What has waited behind requests of its own client comes behind the others' requests. */
  private void scheduleBehind() {
    if (!scheduled) {
      scheduled = true;
      desk.laterBehind(this::goOn);
    }
  }

  @Override
  public void head(HttpHead head) {
    this.head = (HttpHead.Request) head;
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
    } else if (ending == null) { // chunks, each within the bound, that go on and on
      end(Problem.of(413, "too-large", "The content is too large", "at most " + BODY_MOST));
    }
  }

  @Override
  public void end() {
    if (over || ending != null) {
      return;
    }
    calls++;
    var call = new Call(head, body.toByteArray(), unparsed.since());
    body = new ByteArrayOutputStream();
    waiting.add(call);
    waitingBytes += call.memory();
  }

  /** One call a turn: other connections have theirs before the next. */
  private void goOn() {
    scheduled = false;
    if (taking || over) {
      return;
    }
    taking = true;
    if (mayTake()) {
      takeNext();
    }
    taking = false;
    if (now == null && !over && waiting.isEmpty() && ending != null) {
      refuse(ending);
    }
    if (mayTake()) {
      scheduleBehind();
    }
    if (desk.draining()) {
      closeIfIdle();
    }
  }

  /** One at a time, and none while its client leaves the answers before it unread. */
  private boolean mayTake() {
    return now == null && !over && !waiting.isEmpty() && !out.unsent();
  }

  private void takeNext() {
    now = waiting.poll();
    waitingBytes -= now.memory();
    last = !now.head().keepAlive();
    parse();
    memory.force(Use.INPUT, inputMemory());
    if (memory.set(Use.REQUEST, (long) CALL_COPIES * now.memory())) {
      desk.take(now, this);
    } else {
      answer(Problem.of(503, "no-memory", "There is no room now", "").response(Map.of()));
    }
  }

  /** The answer to the call at hand. */
  void answer(byte[] response) {
    now = null;
    memory.force(Use.REQUEST, 0);
    if (over) {
      return;
    }
    out.write(response);
    if (last) {
      finish();
    } else if (memory.set(Use.ANSWER, out.unsentBytes())) {
      scheduleBehind();
    } else {
      shed();
    }
  }

  @Override
  public void drained() {
    memory.set(Use.ANSWER, 0);
    scheduleBehind();
  }

  /** Others need the memory that it holds. One that leaves much unread hears no reason. */
  @Override
  public void shed() {
    if (over || out.unsent()) {
      drop();
    } else {
      refuse(Problem.of(503, "no-memory", "The memory is needed for other clients", ""));
    }
  }

  /** What waits gets the same answer: who sends several at once is owed one for each. */
  private void refuse(Problem problem) {
    if (!over && out != null) {
      int owed = waiting.size() + (now != null ? 1 : 0);
      boolean inProgress = now != null;
      byte[] refusal = Problem.of(503, "not-taken", "Not looked at", "").response(Map.of());
      for (int i = 0; i < owed; i++) {
        out.write(refusal);
      }
      out.write(problem.response(Map.of("Connection", "close")));
      finish();
      if (inProgress) {
        desk.left(this);
      }
    }
  }

  @Override
  public Standing standing() {
    if (over) {
      return Standing.LEAVING;
    }
    if (now != null || !waiting.isEmpty() || ending != null) {
      return now == null && out.unsent() ? Standing.UNREAD : Standing.BUSY;
    }
    return !parser.betweenMessages() ? Standing.HALF : calls == 0 ? Standing.NEW : Standing.IDLE;
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
    allRead = out.readAll();
    return !over;
  }

  /** Whether {@link #present} left nothing unread: its client's close may stand behind that. */
  boolean allRead() {
    return allRead;
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

  private void release() {
    over = true;
    waiting.clear();
    waitingBytes = 0;
    unparsed.clear();
    body = new ByteArrayOutputStream();
    memory.force(Use.INPUT, 0);
    memory.force(Use.REQUEST, 0);
    memory.force(Use.ANSWER, out == null ? 0 : out.unsentBytes());
  }

  private void finish() {
    release();
    if (out != null) {
      out.finish();
    }
  }

  @Override
  public void ended(String why) {
    if (!over) {
      release();
      if (now != null) {
        desk.left(this);
      }
    }
  }

  @Override
  public void closed() {
    memory.close();
    desk.closed(this);
  }
}
