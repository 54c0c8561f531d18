package crankspar.pg;

import crankspar.core.FinalAnswer;
import crankspar.core.Ports.Audit;
import crankspar.net.ClientConnectionHandler;
import crankspar.net.Connection;
import crankspar.net.MemoryBudget;
import java.nio.ByteBuffer;

/**
 * A client's connection: it takes one query at a time, in order, and answers each. What the answer
 * is comes from the {@link ClientDesk}; how it is said is {@link AnswerEncoder}'s, and {@link
 * LocalQuery} has what is asked of no database.
 */
final class ClientSession implements ClientConnectionHandler, MemoryBudget.Holder {
  /** Messages that are taken before other connections have their turn. */
  private static final int TURN_MESSAGES = 8;

  /** ... and no more once these hold so many bytes. */
  private static final int TURN_BYTES = 16 * 1024;

  private final ClientDesk desk;
  private final ClientMessages messages = new ClientMessages();
  private final ClientProtocol protocol;
  private final ClientMemory memory;
  private Connection out;

  /** A statement is with the desk, by the name in {@link #id}; {@link #reads} says of what kind. */
  private boolean busy;

  private String id;
  private boolean reads;

  /** Its answer is going out as it comes. */
  private boolean begun;

  /** A cancel has come for the statement at hand. */
  private boolean cancelled;

  private boolean allRead;
  private boolean reading = true;
  private boolean taking;
  private boolean scheduled;
  private boolean over;

  /** Said once the long answer at hand is out. */
  private Runnable parting;

  ClientSession(ClientDesk desk) {
    this.desk = desk;
    protocol = new ClientProtocol(this, desk);
    memory = new ClientMemory(desk.memory(), this);
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
  }

  // ---- What comes.
  /**
   * Only looks at the heads: what has come is taken once all that the sockets hold is known.
   * Cancels and Terminate count at once.
   */
  @Override
  public void received(ByteBuffer in) {
    if (parting != null || over) {
      in.position(in.limit());
      return;
    }
    try {
      messages.feed(in, Math.min(desk.now(), out.earliestArrival()));
    } catch (PgDecoder.Malformed e) {
      fatal("08P01", e.getMessage());
      return;
    }
    if (messages.terminated()) {
      terminated();
    } else if (messages.cancel() != null) {
      desk.cancel(messages.cancel().process(), messages.cancel().secret());
      finish(); // a cancel gets no answer
    } else if (memory.input(messages.memory())) {
      updateReading();
      schedule(false);
    } else {
      fatal("53200", "no room for a long statement now");
    }
  }

  private void updateReading() {
    if (reading == messages.full()) {
      reading = !reading;
      out.reading(reading);
    }
  }

  /** What has waited behind messages of its own client comes behind the others' messages. */
  private void schedule(boolean behind) {
    if (scheduled) {
      return;
    }
    scheduled = true;
    if (behind) {
      desk.laterBehind(this::goOn);
    } else {
      desk.later(this::goOn);
    }
  }

  private void goOn() {
    scheduled = false;
    if (taking || over) {
      return;
    }
    taking = true;
    int enough = messages.held() - TURN_BYTES;
    for (int i = 0; i < TURN_MESSAGES && mayTake() && messages.held() > enough; i++) {
      takeNext();
    }
    taking = false;
    if (over) {
      return;
    }
    memory.inputTaken(messages.memory());
    updateReading();
    if (mayTake()) {
      schedule(true);
    } else if (!busy && !messages.isEmpty()) {
      desk.counters().add("client_waits_for_reading");
    }
    if (desk.draining()) {
      closeIfIdle();
    }
  }

  /** One at a time, and none while its client leaves the answers before it unread. */
  private boolean mayTake() {
    return !busy && !over && !messages.isEmpty() && !out.unsent();
  }

  private void takeNext() {
    try {
      ClientMessages.Message next = messages.poll();
      protocol.on(next.message(), next.since());
    } catch (PgDecoder.Malformed e) {
      messages.clear(); // what stands behind it cannot be told apart
      fatal("08P01", e.getMessage());
    }
  }

  void write(byte[] bytes) {
    out.write(bytes);
    if (!memory.unsent(out.unsentBytes())) {
      shed();
    }
  }

  @Override
  public void drained() {
    memory.unsent(out.unsentBytes());
    schedule(true);
  }

  /** Nothing more is taken; what was answered still leaves. */
  void finish() {
    leave();
    out.finish();
  }

  /**
   * The client has gone, whatever stands before this in its line: it waits for no answer, so that
   * nothing further is sent for it. What was answered already still leaves.
   */
  private void terminated() {
    desk.counters().add("client_terminated");
    finish();
  }

  /**
   * A cancel has named this session. What its client sent before is read first: the cancel came on
   * another connection, which may be served ahead of this one. An answer that has begun goes on: no
   * error fits into the midst of a row.
   */
  void cancel() {
    out.readAll();
    if (busy && !begun) {
      cancelled = true;
      desk.cancel(id);
    } else if (!busy) {
      protocol.cancelNext(messages.statements() > 0);
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

  /** Takes a statement for a database. */
  void take(String sql, double since) {
    try {
      Statement statement = Statement.parse(sql);
      id = statement.id();
      reads = statement.reads();
      if (!memory.statement(sql)) {
        id = null;
        desk.notTaken(sql, Audit.Answer.REFUSED);
        write(AnswerEncoder.error("53300", "no room for this statement now"));
        return;
      }
      busy = true;
      desk.take(statement, since, this); // the answer may come within
    } catch (Statement.Malformed e) {
      busy = false;
      id = null;
      memory.statementEnded();
      desk.counters().add("client_malformed");
      write(AnswerEncoder.error("08P01", e.getMessage()));
    }
  }

  // ---- What is answered.
  /** The final answer to the query at hand; the next one in line is taken after it. */
  void answer(FinalAnswer<PgAnswer> answer) {
    boolean partly = begun;
    boolean called = cancelled;
    busy = false;
    begun = false;
    cancelled = false;
    id = null;
    memory.statementEnded();
    if (over) {
      return;
    }
    if (!partly) {
      write(AnswerEncoder.whole(answer, called, reads));
    } else if (answer instanceof FinalAnswer.Served<PgAnswer> served) {
      write(AnswerEncoder.rest(served));
    } else {
      drop(); // in the midst of a row, so that its client can tell
      return;
    }
    if (parting != null) {
      parting.run();
    } else {
      schedule(true);
    }
  }

  /** A long answer has begun: what its server gives goes on as it comes. */
  void began(PgAnswer answer) {
    begun = true;
    memory.streams();
    out.write(AnswerEncoder.head(answer));
    answer.passage().to(out);
  }

  // ---- Ends.
  /**
   * What cannot be read ends the connection. Guards against lost requests: each that came whole
   * before it gets its answer first, and none is waited for, as the client is owed the error soon.
   */
  private void fatal(String code, String message) {
    if (over) {
      return;
    }
    if (begun) { // no error fits into the midst of a row
      parting = () -> fatal(code, message);
      return;
    }
    desk.counters().add("client_malformed");
    desk.closing(id, code + " " + message + ", " + messages.size() + " messages waited");
    if (busy) {
      out.write(AnswerEncoder.error("08007", "given up: " + message));
    }
    out.write(AnswerEncoder.lastWords(messages.statements(), code, message));
    out.finish();
    leave(Audit.Answer.REFUSED);
  }

  /** Others need the memory that it holds. One that leaves much unread hears no reason. */
  @Override
  public void shed() {
    if (over || begun || out.unsent()) {
      drop();
    } else {
      fatal("53200", "its memory is needed for other clients");
    }
  }

  @Override
  public Standing standing() {
    if (over) {
      return Standing.LEAVING;
    }
    if (busy || !messages.isEmpty()) {
      return !busy && out.unsent() ? Standing.UNREAD : Standing.BUSY;
    }
    if (!protocol.welcomed()) {
      return Standing.NEW;
    }
    return messages.partial() ? Standing.HALF : protocol.asked() ? Standing.IDLE : Standing.STARTED;
  }

  @Override
  public boolean unsent() {
    return out != null && out.unsent();
  }

  @Override
  public boolean begun() {
    return messages.partial();
  }

  @Override
  public long progress() {
    return messages.arrived();
  }

  @Override
  public void readNow() {
    if (out != null) {
      out.readNow();
    }
  }

  @Override
  public void turnAway(String why) {
    if (out == null) {
      leave();
    } else {
      fatal("08P01", why);
    }
  }

  /** Guards against ending half a command: its client would not know that it was not read. */
  @Override
  public void closeIfIdle() {
    readNow();
    Standing standing = standing();
    boolean resting =
        standing == Standing.IDLE
            || standing == Standing.STARTED
            || standing == Standing.NEW && !messages.partial();
    if (out != null && resting) {
      desk.closing(null, "idle, and this pooler ends, drains or makes room");
      finish();
    }
  }

  @Override
  public void drop() {
    desk.closing(id, "room is made for another client");
    leave();
    if (out != null) {
      out.close();
    }
  }

  @Override
  public void ended(String why) {
    leave();
  }

  @Override
  public void closed() {
    memory.release();
    desk.closed(this);
  }

  private void leave() {
    leave(Audit.Answer.NOT_TAKEN);
  }

  /** {@code how} tells the audit what became of the statements that wait. */
  private void leave(Audit.Answer how) {
    if (over) {
      return;
    }
    over = true;
    if (how == Audit.Answer.NOT_TAKEN && messages.statements() > 0) {
      desk.counters().add("left_untaken", messages.statements());
    }
    if (desk.audited()) {
      messages.forEachStatement(sql -> desk.notTaken(sql, how));
    }
    messages.clear();
    memory.leaving(out == null ? 0 : out.unsentBytes());
    if (busy) {
      busy = false;
      desk.gone(id);
    }
  }
}
