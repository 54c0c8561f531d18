package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberState;
import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
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
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private final Server server;
  private final OpeningBatch opening;
  private final Exchange exchange;

  /** The latest time at which it may begin (ms); a bounded read's data ages meanwhile. */
  private final double latestStart;

  private Ports.AttemptListener<Answer> listener;
  private Progress progress = new Progress();
  private List<Frame> held = new ArrayList<>(4);
  private int heldBytes;

  /** Whether it is its client's until the transaction's end: something of its answer was shown. */
  private boolean bound;

  /** Whether its batch was begun again for a lost statement: that happens once. */
  private boolean restarted;

  /** Whether nobody knows which of SQL's statements the connection has. */
  private boolean sqlStatementsUncertain;

  private double transactionSince;
  private double lastMessageAt;

  Lease(
      Server server,
      OpeningBatch opening,
      double latestStart,
      Ports.AttemptListener<Answer> listener) {
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

  OpeningBatch opening() {
    return opening;
  }

  boolean bound() {
    return bound;
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
  double idleInTransactionSince() {
    return bound && exchange.allRepliesReceived() && exchange.inTransaction()
        ? lastMessageAt
        : Double.POSITIVE_INFINITY;
  }

  /** Whether its client's next messages must wait. */
  boolean awaitingReady() {
    return exchange.awaitingReady();
  }

  /** Whether the server is read: not while what it gives has nowhere to go. */
  void setServerReading(boolean on) {
    server.setReading(on);
  }

  /** Whether it is between two transactions of the client that keeps it. */
  boolean betweenTransactions() {
    return bound && exchange.betweenTransactions();
  }

  /** Whether it is left to its client beyond a transaction. */
  private boolean outlivesTransaction() {
    return opening.mode == Setup.Mode.SESSION || !opening.client.session().pins().isEmpty();
  }

  private boolean active() {
    return server.isActive(this);
  }

  // ---- From the client.
  /** The connection is up and in its client's state. */
  void start() {
    if (opening.isEmpty()) {
      server.finish(new AttemptEnd.Served<>(new Answer(List.of(), this), note()));
      return;
    }
    boolean wanted =
        listener.stillWanted(); // the last check before a write; it may end this attempt
    if (!active()) {
      return;
    }
    if (!wanted) {
      server.finish(new AttemptEnd.Unsent<>("nobody waits for it any more"));
    } else if (server.pool().now() > latestStart) {
      server.finish(
          new AttemptEnd.Broken<>(
              AttemptProgress.NOT_CONNECTED, "the connection was ready too late"));
    } else {
      queueChangedParameters();
      forward(opening.frames);
      if (active() && !bound && !opening.whole) {
        bindToClient(MemberState.NONE);
      }
    }
  }

  /** What this server reports and the client has not heard, or heard otherwise from another. */
  private void queueChangedParameters() {
    SessionState client = opening.client.session();
    ServerState state = server.sessionState();
    if (client.reportedParameters() == state.reported()) {
      return;
    }
    state
        .reported()
        .forEach(
            (name, value) -> {
              if (!ReportedStatus.PARAMETERS.contains(name)
                  && !value.equals(client.reportedParameters().get(name))) {
                holdBack(Frame.parameter(name, value));
              }
            });
    client.reportedParameters(state.reported());
  }

  private void holdBack(Frame f) {
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
        Exchange.Output moves = exchange.fromClient(f);
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
    boolean local =
        toServer.isEmpty()
            && active()
            && exchange.betweenTransactions()
            && !exchange.awaitingReady();
    if (local && (ends || !opening.whole)) {
      ready(); // nothing of it was for the server
    }
    deliverErrorBeforeSync();
  }

  private void write(List<Frame> frames, boolean endsBatch) {
    Progress transactionProgress = progress;
    Ports.AttemptListener<Answer> attemptListener = bound ? null : listener;
    server.writeForClient(
        Frame.join(frames),
        () -> {
          if (endsBatch) {
            transactionProgress.batchSent();
          }
          if (attemptListener != null) {
            attemptListener.written();
          }
        });
  }

  /**
   * After an error nothing more comes from the server until its client, who has to hear of it
   * first, sends a Sync.
   */
  private void deliverErrorBeforeSync() {
    if (active() && !bound && exchange.skippingToSync()) {
      bindToClient(MemberState.NONE);
    }
  }

  private void deliver(List<Frame> frames) {
    if (frames.isEmpty()) {
      return;
    }
    if (bound) {
      opening.client.fromServer(frames);
      return;
    }
    frames.forEach(this::holdBack);
    if (heldBytes > MAX_HELD_BYTES || exchange.copying()) {
      bindToClient(MemberState.NONE);
    }
  }

  /** From here on it is its client's: what has come is shown, and nothing is sent elsewhere. */
  private void bindToClient(MemberState note) {
    bound = true;
    progress.answerDelivered();
    List<Frame> delivered = held;
    held = new ArrayList<>(0);
    if (!listener.answeredInTransaction(new Answer(delivered, this), note) && active()) {
      server.close("nobody waits for it any more");
    }
  }

  // ---- From the server.
  void fromServer(Frame f) throws Frame.Malformed {
    lastMessageAt = server.pool().now();
    boolean wasCopying = exchange.copying();
    deliver(exchange.fromServer(f).toClient());
    deliverErrorBeforeSync();
    if (!wasCopying && exchange.copying() && active()) {
      opening.client.resume(); // what waited for the answer may be its data
    }
    if (f.type() == 'Z' && active()) {
      ready();
    }
  }

  /** The server is ready: a batch has ended, and perhaps the transaction. */
  private void ready() {
    boolean transactionOver = exchange.status() == 'I';
    SessionState client = opening.client.session();
    if (transactionOver && progress.writes()) {
      double position = server.reportedStatus().position();
      client.committedAt(Double.isNaN(position) ? server.pool().now() : position);
    }
    if (!bound && transactionOver && restartBatch()) {
      return;
    }
    AttemptEnd<Answer> refusal = bound ? null : MemberRefusal.of(opening, exchange, note());
    if (refusal != null) {
      held.stream()
          .filter(f -> f.type() == 'E')
          .findFirst()
          .ifPresent(f -> opening.serverError = f);
      exchange.rewind();
      server.finish(refusal);
    } else if (transactionOver && exchange.betweenTransactions() && !outlivesTransaction()) {
      server.finish(new AttemptEnd.Served<>(new Answer(held, this), note()));
    } else {
      continueSession(transactionOver);
    }
  }

  /** Its client has the connection for more: the rest of a block, or of a session. */
  private void continueSession(boolean transactionOver) {
    exchange.beginBatch();
    if (transactionOver) {
      progress = exchange.beginTransaction();
    }
    if (!bound) {
      bindToClient(note());
    }
    if (active() && transactionOver && server.isClosing()) {
      opening.client.fatal("57P01", "the server of this session drains");
    } else if (active()) {
      opening.client.resume();
    }
  }

  /** A statement that the server had lost is prepared once more, and the batch begun again. */
  private boolean restartBatch() {
    if (restarted || !opening.whole || !exchange.retryableAfterLostStatement()) {
      return false;
    }
    restarted = true;
    server.pool().count("pooling_statements_lost", 1);
    exchange.rewind();
    held.clear();
    heldBytes = 0;
    exchange.beginBatch();
    forward(opening.frames);
    return true;
  }

  /**
   * The connection could not be brought to its client's state: the client hears why. The options
   * are as before, but statements of SQL's are prepared and deallocated without regard to
   * transactions.
   */
  void restoreFailed(Frame error) {
    sqlStatementsUncertain =
        !server.sessionState().sqlPrepared().equals(opening.client.session().sqlPrepared());
    List<Frame> reply = opening.whole ? List.of(error, Frame.ready('I')) : List.of(error);
    server.finish(new AttemptEnd.Served<>(new Answer(reply, this), note()));
  }

  private MemberState note() {
    return new MemberState(server.reportedStatus().role(), server.reportedStatus().position());
  }

  // ---- Its end.
  /** How its connection is left where it ends now; {@code clientLeft} where its session ends. */
  ReleaseAction.Condition releaseCondition(boolean clientLeft, boolean unwanted, int cancelsPending) {
    return new ReleaseAction.Condition(
        exchange.repliesUncertain(),
        exchange.serverBatchOpen(),
        exchange.status(),
        sqlStatementsUncertain || clientLeft && outlivesTransaction(),
        opening.client.session().pins().kinds().contains(Pins.Kind.LOAD),
        unwanted,
        cancelsPending);
  }

  /** How far its attempt had come, with its connection in this state. */
  AttemptProgress reach(ConnectionState state) {
    return switch (state) {
      case CARRYING -> AttemptProgress.PARTLY_WRITTEN;
      case ACTIVE ->
          progress.outcome() == Progress.Outcome.RETRYABLE && !progress.executed()
              ? AttemptProgress.PARTLY_WRITTEN
              : AttemptProgress.WHOLLY_WRITTEN;
      default -> AttemptProgress.NOT_CONNECTED;
    };
  }

  /** Nobody hears of it any more: its client has gone, or the core has given it up. */
  void abandon() {
    if (bound && exchange.serverBatchOpen()) {
      server.pool().count("pooling_batches_cut_off", 1);
    }
    opening.outcome = progress.outcome();
    listener = null;
  }

  /** Its connection is lost; {@code begun} once that was in its client's state. */
  void connectionLost(boolean begun) {
    opening.outcome = begun ? progress.outcome() : Progress.Outcome.RETRYABLE;
    exchange.rewind();
    if (begun) {
      opening.client.session().connectionLost();
    }
  }

  /** Tells the attempt's end, once. */
  void reportEnd(AttemptEnd<Answer> end) {
    Ports.AttemptListener<Answer> endListener = listener;
    listener = null;
    if (endListener != null) {
      endListener.ended(end);
    }
  }
}
