package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.Note;
import crankspar.core.Ports;
import crankspar.core.Reach;
import java.util.ArrayList;
import java.util.List;

/**
 * One client's use of a server connection, from its opening batch to the end of its transaction or
 * session: what is sent, which answers are held back while the batch may still be asked elsewhere,
 * and how the attempt ends. Its connection is {@link Server}; how it is left to the next client
 * {@link ReleaseAction} decides.
 */
final class Lease {
  /**
   * An answer up to this (bytes) is held until it is whole; of a longer one the client gets all.
   */
  private static final int HELD_MOST = 64 * 1024;

  private final Server server;
  private final Opening opening;
  private final Exchange exchange;

  /** The latest time at which it may begin (ms); a bounded read's data ages meanwhile. */
  private final double latestStart;

  private Ports.AttemptListener<Answer> listener;
  private Progress progress = new Progress();
  private List<Frame> held = new ArrayList<>(4);
  private int heldBytes;

  /** Whether it is its client's until the transaction's end: something of its answer was shown. */
  private boolean kept;

  /** Whether its batch was begun again for a lost statement: that happens once. */
  private boolean begunAgain;

  /** Whether nobody knows which of SQL's statements the connection has. */
  private boolean statementsInDoubt;

  private double transactionSince;
  private double lastMessageAt;

  Lease(
      Server server, Opening opening, double latestStart, Ports.AttemptListener<Answer> listener) {
    this.server = server;
    this.opening = opening;
    this.latestStart = latestStart;
    this.listener = listener;
    exchange =
        new Exchange(
            opening.client.session(),
            server.sessionState(),
            progress,
            server.pool().limits(),
            server.pool().refusedPins());
  }

  Opening opening() {
    return opening;
  }

  boolean kept() {
    return kept;
  }

  char status() {
    return exchange.status();
  }

  /** Whether its client's transaction is open, in a block or in a batch without its Sync. */
  boolean inTransaction() {
    return exchange.inTransaction();
  }

  /** Since when its present transaction is under way, or its last one was begun (ms). */
  double transactionSince() {
    return transactionSince;
  }

  /** Since when its client owes the next message of an open transaction (ms), or infinity. */
  double quietSince() {
    return kept && exchange.quiet() && exchange.inTransaction()
        ? lastMessageAt
        : Double.POSITIVE_INFINITY;
  }

  /** Whether its client's next messages must wait. */
  boolean pausing() {
    return exchange.pausing();
  }

  /** Whether the server is read: not while what it gives has nowhere to go. */
  void readServer(boolean on) {
    server.setReading(on);
  }

  /** Whether it is between two transactions of the client that keeps it. */
  boolean between() {
    return kept && exchange.settled();
  }

  /** Whether it is left to its client beyond a transaction. */
  private boolean ofSession() {
    return opening.mode == Setup.Mode.SESSION || !opening.client.session().pins().none();
  }

  private boolean active() {
    return server.isActive(this);
  }

  // ---- From the client.
  /** The connection is up and in its client's state. */
  void start() {
    if (opening.empty()) {
      server.finish(new AttemptEnd.Served<>(new Answer(List.of(), this), note()));
      return;
    }
    boolean wanted = listener.wanted(); // the last check before a write; it may end this attempt
    if (!active()) {
      return;
    }
    if (!wanted) {
      server.finish(new AttemptEnd.Unsent<>("nobody waits for it any more"));
    } else if (server.pool().now() > latestStart) {
      server.finish(
          new AttemptEnd.Broken<>(Reach.NOT_CONNECTED, "the connection was ready too late"));
    } else {
      tellParameters();
      forward(opening.frames);
      if (active() && !kept && !opening.whole) {
        keep(Note.NONE);
      }
    }
  }

  /** What this server reports and the client has not heard, or heard otherwise from another. */
  private void tellParameters() {
    SessionState client = opening.client.session();
    ServerState state = server.sessionState();
    if (client.told() == state.reported()) {
      return;
    }
    state
        .reported()
        .forEach(
            (name, value) -> {
              if (!ReportedStatus.PARAMETERS.contains(name)
                  && !value.equals(client.told().get(name))) {
                hold(Frame.parameter(name, value));
              }
            });
    client.told(state.reported());
  }

  private void hold(Frame f) {
    held.add(f);
    heldBytes += f.size();
  }

  /** Its opening batch, and then its client's next messages while it has the connection. */
  void forward(List<Frame> frames) {
    var toServer = new ArrayList<Frame>(frames.size() + 2);
    var toClient = new ArrayList<Frame>();
    boolean ends = false;
    lastMessageAt = server.pool().now();
    if (!exchange.inTransaction()) {
      transactionSince = lastMessageAt;
    }
    long prepares = exchange.prepares();
    long executions = exchange.executions();
    long underOtherOptions = exchange.preparedUnderOtherOptions();
    try {
      for (Frame f : frames) {
        Exchange.Moves moves = exchange.fromClient(f);
        toServer.addAll(moves.toServer());
        toClient.addAll(moves.toClient());
        ends |= f.endsBatch();
      }
    } catch (Frame.Malformed e) {
      opening.client.fatal("08P01", e.getMessage());
      return;
    }
    server.pool().count("pooling_prepares", exchange.prepares() - prepares);
    server.pool().count("pooling_executions", exchange.executions() - executions);
    long more = exchange.preparedUnderOtherOptions() - underOtherOptions;
    if (more > 0) {
      server.pool().count("pooling_prepares_under_other_options", more);
    }
    if (!toServer.isEmpty()) {
      write(toServer, ends);
    }
    deliver(toClient);
    boolean local = toServer.isEmpty() && active() && exchange.settled() && !exchange.pausing();
    if (local && (ends || !opening.whole)) {
      ready(); // nothing of it was for the server
    }
    showErrorBeforeSync();
  }

  private void write(List<Frame> frames, boolean endsBatch) {
    Progress mine = progress;
    Ports.AttemptListener<Answer> told = kept ? null : listener;
    server.writeForClient(
        Frame.join(frames),
        () -> {
          if (endsBatch) {
            mine.sent();
          }
          if (told != null) {
            told.written();
          }
        });
  }

  /**
   * After an error nothing more comes from the server until its client, who has to hear of it
   * first, sends a Sync.
   */
  private void showErrorBeforeSync() {
    if (active() && !kept && exchange.awaitsSync()) {
      keep(Note.NONE);
    }
  }

  private void deliver(List<Frame> frames) {
    if (frames.isEmpty()) {
      return;
    }
    if (kept) {
      opening.client.fromServer(frames);
      return;
    }
    frames.forEach(this::hold);
    if (heldBytes > HELD_MOST || exchange.copying()) {
      keep(Note.NONE);
    }
  }

  /** From here on it is its client's: what has come is shown, and nothing is sent elsewhere. */
  private void keep(Note note) {
    kept = true;
    progress.shown();
    List<Frame> shown = held;
    held = new ArrayList<>(0);
    if (!listener.held(new Answer(shown, this), note) && active()) {
      server.close("nobody waits for it any more");
    }
  }

  // ---- From the server.
  void fromServer(Frame f) throws Frame.Malformed {
    lastMessageAt = server.pool().now();
    boolean copying = exchange.copying();
    deliver(exchange.fromServer(f).toClient());
    showErrorBeforeSync();
    if (!copying && exchange.copying() && active()) {
      opening.client.goOn(); // what waited for the answer may be its data
    }
    if (f.type() == 'Z' && active()) {
      ready();
    }
  }

  /** The server is ready: a batch has ended, and perhaps the transaction. */
  private void ready() {
    boolean over = exchange.status() == 'I';
    SessionState client = opening.client.session();
    if (over && progress.writes()) {
      double position = server.reportedStatus().position();
      client.committedAt(Double.isNaN(position) ? server.pool().now() : position);
    }
    if (!kept && over && beginAgain()) {
      return;
    }
    AttemptEnd<Answer> refusal = kept ? null : MemberRefusal.of(opening, exchange, note());
    if (refusal != null) {
      held.stream().filter(f -> f.type() == 'E').findFirst().ifPresent(f -> opening.said = f);
      exchange.rewind();
      server.finish(refusal);
    } else if (over && exchange.settled() && !ofSession()) {
      server.finish(new AttemptEnd.Served<>(new Answer(held, this), note()));
    } else {
      goOn(over);
    }
  }

  /** Its client has the connection for more: the rest of a block, or of a session. */
  private void goOn(boolean transactionOver) {
    exchange.batch();
    if (transactionOver) {
      progress = exchange.next();
    }
    if (!kept) {
      keep(note());
    }
    if (active() && transactionOver && server.isClosing()) {
      opening.client.fatal("57P01", "the server of this session drains");
    } else if (active()) {
      opening.client.goOn();
    }
  }

  /** A statement that the server had lost is prepared once more, and the batch begun again. */
  private boolean beginAgain() {
    if (begunAgain || !opening.whole || !exchange.again()) {
      return false;
    }
    begunAgain = true;
    server.pool().count("pooling_statements_lost", 1);
    exchange.rewind();
    held.clear();
    heldBytes = 0;
    exchange.batch();
    forward(opening.frames);
    return true;
  }

  /**
   * The connection could not be brought to its client's state: the client hears why. The options
   * are as before, but statements of SQL's are prepared and deallocated without regard to
   * transactions.
   */
  void carryFailed(Frame error) {
    statementsInDoubt =
        !server.sessionState().sqlPrepared().equals(opening.client.session().sqlPrepared());
    List<Frame> said = opening.whole ? List.of(error, Frame.ready('I')) : List.of(error);
    server.finish(new AttemptEnd.Served<>(new Answer(said, this), note()));
  }

  private Note note() {
    return new Note(server.reportedStatus().role(), server.reportedStatus().position());
  }

  // ---- Its end.
  /** How its connection is left where it ends now; {@code clientLeft} where its session ends. */
  ReleaseAction.Condition condition(boolean clientLeft, boolean unwanted, int cancelsPending) {
    return new ReleaseAction.Condition(
        exchange.answersInDoubt(),
        exchange.serverBatchOpen(),
        exchange.status(),
        statementsInDoubt || clientLeft && ofSession(),
        opening.client.session().pins().kinds().contains(Pins.Kind.LOAD),
        unwanted,
        cancelsPending);
  }

  /** How far its attempt had come, with its connection in this state. */
  Reach reach(ConnectionState state) {
    return switch (state) {
      case CARRYING -> Reach.PARTLY_WRITTEN;
      case ACTIVE ->
          progress.verdict() == Progress.Verdict.ELSEWHERE && !progress.executed()
              ? Reach.PARTLY_WRITTEN
              : Reach.WHOLLY_WRITTEN;
      default -> Reach.NOT_CONNECTED;
    };
  }

  /** Nobody hears of it any more: its client has gone, or the core has given it up. */
  void abandon() {
    if (kept && exchange.serverBatchOpen()) {
      server.pool().count("pooling_batches_cut_off", 1);
    }
    opening.verdict = progress.verdict();
    listener = null;
  }

  /** Its connection is lost; {@code begun} once that was in its client's state. */
  void lost(boolean begun) {
    opening.verdict = begun ? progress.verdict() : Progress.Verdict.ELSEWHERE;
    exchange.rewind();
    if (begun) {
      opening.client.session().lost();
    }
  }

  /** Tells the attempt's end, once. */
  void tell(AttemptEnd<Answer> end) {
    Ports.AttemptListener<Answer> told = listener;
    listener = null;
    if (told != null) {
      told.ended(end);
    }
  }
}
