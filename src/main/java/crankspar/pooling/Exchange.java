package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The protocol state machine between one client and the server connection assigned to it. It
 * decides which client messages are forwarded, under which statement names, and which server
 * replies are passed back. Each step takes one frame from either side and returns the frames to
 * send; the class does no I/O. It keeps the expected reply to each message in protocol order, so
 * that replies to the pooler's own messages are discarded, and messages that the server does not
 * get are answered locally in the right place.
 *
 * <p>After a Sync or a simple query nothing more is forwarded until ReadyForQuery: the next message
 * may start a new transaction, which may be routed to another member. Changes of session state are
 * recorded only after the server has confirmed the statement that made them.
 */
final class Exchange {
  /** The frames to send to each side after one step. */
  record Output(List<Frame> toServer, List<Frame> toClient) {}

  /** Stands for a statement whose text is unknown; treated as a write. */
  private static final Statement UNKNOWN = Sql.of(Kind.WRITE);

  private final SessionState client;
  private final ServerState server;
  private Progress progress;
  private final SessionLimits sessionLimits;
  private final ProjectedOptions projected;
  private final StatementNames names;
  private final PendingReplies replies = new PendingReplies();
  private final BatchState batch = new BatchState();
  private final ServerReplies serverReplies;
  private final Map<String, Portal> portals = new HashMap<>(2);
  private List<Frame> toServer = new ArrayList<>(4);
  private List<Frame> toClient = new ArrayList<>(4);

  private long executions;

  Exchange(
      SessionState client,
      ServerState server,
      Progress progress,
      Setup.Limits limits,
      Set<Pins.Kind> refused) {
    this.client = client;
    this.server = server;
    this.progress = progress;
    projected = new ProjectedOptions(client.sessionOptions());
    sessionLimits = new SessionLimits(client, projected, limits, refused);
    names =
        new StatementNames(
            client, server, projected, batch, limits.maxServerStatements(), this::send);
    serverReplies = new ServerReplies(client, server, replies, batch, projected, progress);
  }

  /** The transaction status of the last ReadyForQuery: I, T or E. */
  char status() {
    return batch.status();
  }

  /** Whether the client's next messages must wait for ReadyForQuery. */
  boolean awaitingReady() {
    return batch.awaitingReady();
  }

  boolean copying() {
    return batch.copying();
  }

  /** Whether no reply is outstanding and no COPY is running. */
  boolean allRepliesReceived() {
    return replies.isEmpty() && !batch.copying();
  }

  /** Whether no reply is outstanding and no transaction is open on either side. */
  boolean betweenTransactions() {
    return allRepliesReceived() && !inTransaction();
  }

  /** Whether a transaction is open: a block, or a batch whose Sync is still missing. */
  boolean inTransaction() {
    return batch.inTransaction();
  }

  /** Whether the server may still send replies that cannot be matched to a message. */
  boolean repliesUncertain() {
    return !allRepliesReceived() || batch.syncUncertain();
  }

  /** Whether the server has received part of a batch but not its Sync. */
  boolean serverBatchOpen() {
    return batch.serverBatchOpen();
  }

  /** Whether a batch has failed and messages are skipped up to the client's Sync. */
  boolean skippingToSync() {
    return batch.skipping();
  }

  /** The number of Parse messages sent to the server. */
  long prepares() {
    return names.prepares();
  }

  /** The number of statements prepared under options that their client has since changed. */
  long preparedUnderOtherOptions() {
    return names.preparedUnderOtherOptions();
  }

  long executions() {
    return executions;
  }

  /**
   * Whether the batch that has just failed can be retried on this connection: it failed only
   * because the server had lost a prepared statement or its cached plan was stale, and nothing was
   * executed.
   */
  boolean retryableAfterLostStatement() {
    return serverReplies.statementLost() && !executed() && status() == 'I';
  }

  /** The SQLSTATE of the current batch's first error, or null; kept until the next batch. */
  String firstError() {
    return serverReplies.firstError();
  }

  /** Whether any statement of the current batch was executed, even in part. */
  boolean executed() {
    return serverReplies.executed();
  }

  /** Undoes the client's Parse and Close messages of the current batch, so it can be resent. */
  void rewind() {
    replies.rewind();
    projected.reset();
    batch.rewind();
    serverReplies.forgetErrors();
  }

  /** Starts another transaction of the client that keeps this connection, in such a class. */
  Progress beginTransaction(boolean writeClass) {
    progress = new Progress(writeClass);
    progress.answerDelivered();
    serverReplies.beginTransaction(progress);
    return progress;
  }

  /** Starts the next batch and clears the errors of the last one. */
  void beginBatch() {
    serverReplies.beginBatch();
  }

  // ---- From the client.
  Output fromClient(Frame f) throws Frame.Malformed {
    resetOutput();
    if (batch.skips(f)) {
      return output(); // the server would skip it too, without a reply
    }
    batch.fromClient(f);
    switch (f.type()) {
      case 'P' -> parse(f);
      case 'B' -> bind(f);
      case 'D' -> describe(f);
      case 'C' -> close(f);
      case 'E' -> execute(f);
      case 'H' -> toServer.add(f);
      case 'S' -> send(f, PendingReply.expect(MessageKind.SYNC, List.of()));
      case 'Q' -> query(f);
      case 'F' -> {
        progress.beforeSend(List.of(UNKNOWN), true);
        send(f, PendingReply.expect(MessageKind.CALL, List.of()));
      }
      case 'd', Frame.PART -> {
        if (batch.forwardsData(f)) {
          toServer.add(f);
        }
      }
      case 'c', 'f' -> {
        if (batch.forwardsEndOfData()) {
          toServer.add(f);
        }
      }
      default -> throw new Frame.Malformed("message type " + f.type() + " out of turn");
    }
    return output();
  }

  private void resetOutput() {
    toServer = new ArrayList<>(4);
    toClient = new ArrayList<>(4);
  }

  private Output output() {
    toClient.addAll(replies.takeLocal());
    return new Output(toServer, toClient);
  }

  /** Queues a message, or null if it is answered locally, and its expected reply. */
  private void send(Frame f, PendingReply reply) {
    if (f != null) {
      batch.toServer(f);
      toServer.add(f);
    }
    replies.add(reply);
  }

  private void parse(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    String name = r.text();
    Prepared statement =
        Prepared.of(r.text(), r.rest()).withOptions(projected.current().statementOptions());
    if (refuse(sessionLimits.check(statement.statements()))) {
      return;
    }
    Prepared existing = client.prepared(name);
    if (name.isEmpty()) {
      names.parseUnnamed(statement);
    } else if (existing != null) {
      names.parseDuplicate(name, existing, statement);
    } else if (!refuse(sessionLimits.checkPrepared(1, statement.memoryBytes()))) {
      names.parseNamed(name, statement);
    }
  }

  /** Rejects a batch for this reason, if there is one; the error is sent in order. */
  private boolean refuse(SessionLimits.Refusal refusal) {
    if (refusal != null) {
      refuse(refusal.code(), refusal.reason());
    }
    return refusal != null;
  }

  /**
   * Sends the pooler's own error after the replies to all earlier messages, and skips the rest of
   * the batch. If the server has already executed part of the batch, the error is raised at the
   * server, because the batch's Sync would otherwise commit that part.
   */
  private void refuse(String code, String why) {
    Frame error = Frame.error("ERROR", code, why, null);
    if (batch.serverBatchExecuted()) {
      names.failOnServer(error);
    } else {
      send(null, PendingReply.local(error));
    }
    batch.messageRefused();
  }

  private void bind(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    String portal = r.text();
    String name = r.text();
    Prepared statement = client.prepared(name);
    String onServer = names.serverName(name);
    portals.put(portal, new Portal(statement == null ? List.of(UNKNOWN) : statement.statements()));
    Frame sent =
        onServer.equals(name)
            ? f
            : Frame.body().text(portal).text(onServer).bytes(r.rest()).as('B');
    send(sent, PendingReply.expect(MessageKind.BIND, statement));
  }

  private void describe(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    if (r.code() != 'S') {
      send(f, PendingReply.expect(MessageKind.DESCRIBE_PORTAL, List.of()));
      return;
    }
    String name = r.text();
    Prepared statement = client.prepared(name);
    String onServer = names.serverName(name);
    Frame sent = onServer.equals(name) ? f : Frame.body().code('S').text(onServer).as('D');
    send(sent, PendingReply.expect(MessageKind.DESCRIBE_STATEMENT, statement));
  }

  /** Closes a statement for this client only: other clients may share it at the server. */
  private void close(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    boolean ofStatement = r.code() == 'S';
    String name = r.text();
    if (ofStatement && (client.prepared(name) != null || !client.sqlPrepared().containsKey(name))) {
      Prepared closed = client.close(name);
      Runnable undo =
          () -> {
            if (closed != null) {
              client.prepare(name, closed);
            }
          };
      send(null, PendingReply.local(Frame.CLOSE_COMPLETE).withClientUndo(undo));
      return;
    }
    List<Statement> effects = List.of();
    if (ofStatement) {
      effects = List.of(Sql.of(Kind.DEALLOCATE, name));
    } else {
      portals.remove(name);
    }
    send(f, PendingReply.expect(MessageKind.CLOSE, effects));
  }

  private void execute(Frame f) throws Frame.Malformed {
    Portal portal = portals.getOrDefault(f.read().text(), new Portal(List.of()));
    progress.beforeSend(portal.statements(), false);
    executions++;
    List<Statement> effects = client.effects(portal.execute());
    projected.sent(effects, batch.status());
    send(
        f,
        PendingReply.expect(MessageKind.EXECUTE, effects)
            .withClientUndo(() -> portal.executeSkipped(effects)));
  }

  private void query(Frame f) throws Frame.Malformed {
    List<Statement> statements = client.parsed(f).statements();
    if (refuse(sessionLimits.check(statements))) {
      batch.queryRefused();
      if (batch.serverBatchOpen()) {
        send(Frame.body().as('S'), PendingReply.expect(MessageKind.SYNC, List.of()));
      } else {
        send(null, PendingReply.local(Frame.ready(batch.status())));
      }
      return;
    }
    serverReplies.querySent();
    executions += statements.size();
    client.close("");
    server.setUnnamed(null); // a simple query destroys the unnamed statement
    if (statements.size() == 1
        && statements.get(0).kind() == Kind.DEALLOCATE
        && client.prepared(statements.get(0).name()) != null) {
      // At the server the statement has another name and is shared with other clients.
      send(
          Frame.query(""),
          PendingReply.expect(MessageKind.QUERY, statements)
              .withAnswer(Frame.complete("DEALLOCATE")));
      return;
    }
    progress.beforeSend(statements, true);
    send(f, PendingReply.expect(MessageKind.QUERY, statements));
  }

  // ---- From the server.
  /**
   * Handles one frame from the server. A frame that answers no message is malformed, and the
   * connection must not be used again.
   */
  Output fromServer(Frame f) throws Frame.Malformed {
    resetOutput();
    serverReplies.receive(f, toClient);
    if (f.type() == 'Z' && batch.status() == 'I') {
      portals.clear();
    }
    return output();
  }
}
