package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberReport;
import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
import java.util.ArrayList;
import java.util.List;
import org.pcollections.PMap;

/**
 * One client's use of a {@link Server} connection, from its opening batch to the end of transaction
 * or session. It holds replies back while the batch can still be retried at another member, and
 * reports how the attempt ends; {@link ReleaseAction} prepares the connection for the next client.
 */
final class Lease {
  /**
   * Replies up to this size (bytes) are held until complete. Longer ones are streamed: no retry.
   */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private final Server server;
  private final OpeningBatch opening;
  private final Exchange exchange;

  /** The latest start time (ms): a bounded-staleness read's data ages while it waits. */
  private final double latestStart;

  private Ports.AttemptListener<Answer> listener;
  private Progress progress;
  private List<Frame> held = new ArrayList<>(4);
  private int heldBytes;

  /** Whether part of the reply went to the client, which binds it until the transaction's end. */
  private boolean bound;

  /** Whether the batch was already retried after a lost statement; it is retried only once. */
  private boolean restarted;

  /** Whether it is unknown which statements of SQL PREPARE the connection has. */
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
    progress = new Progress(opening.way.write());
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

  /** Whether a transaction is open: a block, or a batch whose Sync is still missing. */
  boolean inTransaction() {
    return exchange.inTransaction();
  }

  /** The start time (ms) of the current transaction, or else of the last one. */
  double transactionSince() {
    return transactionSince;
  }

  /** Since when (ms) the open transaction has waited for its client, or infinity. */
  double idleInTransactionSince() {
    return bound && exchange.allRepliesReceived() && exchange.inTransaction()
        ? lastMessageAt
        : Double.POSITIVE_INFINITY;
  }

  /** Whether the client's next messages must wait for ReadyForQuery. */
  boolean awaitingReady() {
    return exchange.awaitingReady();
  }

  /** Starts or stops reading from the server, for backpressure from the client. */
  void setServerReading(boolean on) {
    server.setReading(on);
  }

  /** Whether the client that keeps the connection is between two transactions. */
  boolean betweenTransactions() {
    return bound && exchange.betweenTransactions();
  }

  /** Whether the client keeps the connection after its transaction. */
  private boolean outlivesTransaction() {
    return opening.mode == Setup.Mode.SESSION || !opening.client.session().pins().isEmpty();
  }

  private boolean active() {
    return server.isActive(this);
  }

  // ---- From the client.
  /** Called once the connection is established and has the client's session state. */
  void start() {
    if (opening.isEmpty()) {
      server.finish(new AttemptEnd.Served<>(new Answer(List.of(), this), note()));
      return;
    }
    boolean wanted =
        listener.stillWanted(); // last check before writing; the call may end this attempt
    if (!active()) {
      return;
    }
    if (!wanted) {
      server.finish(new AttemptEnd.Unsent<>("the request is no longer wanted"));
    } else if (server.pool().now() > latestStart) {
      server.finish(
          new AttemptEnd.Broken<>(
              AttemptProgress.NOT_CONNECTED,
              "the connection was established after the latest start time"));
    } else {
      queueChangedParameters();
      forward(opening.frames);
      if (active() && !bound && !opening.whole) {
        bindToClient(MemberReport.NONE);
      }
    }
  }

  /** Queues the ParameterStatus values that differ from those last sent to the client. */
  private void queueChangedParameters() {
    SessionState client = opening.client.session();
    PMap<String, String> reported = server.sessionState().reported();
    ReportedStatus.changes(client.reportedParameters(), reported).forEach(this::holdBack);
    client.reportedParameters(reported);
  }

  private void holdBack(Frame f) {
    held.add(f);
    heldBytes += f.size();
  }

  /** Forwards the opening batch, and later the client's next messages. */
  void forward(List<Frame> frames) {
    var toServer = new ArrayList<Frame>(frames.size() + 2);
    var toClient = new ArrayList<Frame>();
    boolean ends = false;
    lastMessageAt = server.pool().now();
    if (!exchange.inTransaction()) {
      transactionSince = lastMessageAt;
      server.reportedStatus().transactionBegins();
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
      ready(); // the whole batch was answered locally
    }
    deliverErrorBeforeSync();
    if (active()) {
      opening.client.accountBytes();
    }
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
   * Passes on the error of a batch without a Sync. The server sends nothing more until the client
   * sends its Sync, and the client does that only after it has seen the error.
   */
  private void deliverErrorBeforeSync() {
    if (active() && !bound && exchange.skippingToSync()) {
      bindToClient(MemberReport.NONE);
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
      bindToClient(MemberReport.NONE);
    }
  }

  /** Sends the held replies to the client; from now on the batch is not retried elsewhere. */
  private void bindToClient(MemberReport note) {
    bound = true;
    progress.answerDelivered();
    List<Frame> delivered = held;
    held = new ArrayList<>(0);
    if (!listener.answeredInTransaction(new Answer(delivered, this), note) && active()) {
      server.close("the request is no longer wanted");
    }
  }

  // ---- From the server.
  void fromServer(Frame f) throws Frame.Malformed {
    lastMessageAt = server.pool().now();
    boolean wasCopying = exchange.copying();
    deliver(exchange.fromServer(f).toClient());
    deliverErrorBeforeSync();
    if (!wasCopying && exchange.copying() && active()) {
      opening.client.resume(); // the held messages may be its data
    }
    if (f.type() == 'Z' && active()) {
      ready();
    }
  }

  /** Handles ReadyForQuery: the batch has ended, and perhaps the transaction. */
  private void ready() {
    boolean transactionOver = exchange.status() == 'I';
    SessionState client = opening.client.session();
    if (transactionOver && progress.mayHaveWritten(server.reportedStatus().isReplica())) {
      client.committedAt(server.reportedStatus().commitPosition(server.pool().now()));
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

  /** Keeps the connection for the client, for the rest of a block or of its session. */
  private void continueSession(boolean transactionOver) {
    exchange.beginBatch();
    if (transactionOver) {
      progress = exchange.beginTransaction(opening.way.write());
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

  /** Retries the batch once if it failed because the server had lost a prepared statement. */
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
   * Reports to the client that its session state could not be restored on this connection. The
   * failed query rolled the options back, but PREPARE and DEALLOCATE are not transactional, so the
   * connection's SQL-level statements may have changed.
   */
  void restoreFailed(Frame error) {
    sqlStatementsUncertain =
        !server.sessionState().sqlPrepared().equals(opening.client.session().sqlPrepared());
    List<Frame> reply = opening.whole ? List.of(error, Frame.ready('I')) : List.of(error);
    server.finish(new AttemptEnd.Served<>(new Answer(reply, this), note()));
  }

  private MemberReport note() {
    return new MemberReport(server.reportedStatus().role(), server.reportedStatus().position());
  }

  // ---- Its end.
  /** The state in which the lease leaves its connection; {@code clientLeft}: the session ends. */
  ReleaseAction.Condition condition(boolean clientLeft, boolean unwanted, int cancelsPending) {
    return new ReleaseAction.Condition(
        exchange.repliesUncertain(),
        exchange.serverBatchOpen(),
        exchange.status(),
        sqlStatementsUncertain || clientLeft && outlivesTransaction(),
        opening.client.session().pins().kinds().contains(Pins.Kind.LOAD),
        unwanted,
        cancelsPending);
  }

  /** How far the attempt had come when its connection was in this state. */
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

  /** Drops the listener: the client has disconnected, or the core has given up the attempt. */
  void abandon() {
    if (bound && exchange.serverBatchOpen()) {
      server.pool().count("pooling_batches_cut_off", 1);
    }
    opening.outcome = progress.outcome();
    listener = null;
  }

  /** Handles a lost connection; {@code begun}: it already had the client's session state. */
  void connectionLost(boolean begun) {
    opening.outcome = begun ? progress.outcome() : Progress.Outcome.RETRYABLE;
    exchange.rewind();
    if (begun) {
      opening.client.session().connectionLost();
      if (opening.outcome == Progress.Outcome.UNKNOWN) {
        opening.client.session().committedAt(server.pool().now());
      }
    }
  }

  /** Reports the end of the attempt, at most once. */
  void reportEnd(AttemptEnd<Answer> end) {
    Ports.AttemptListener<Answer> endListener = listener;
    listener = null;
    if (endListener != null) {
      endListener.ended(end);
    }
  }
}
