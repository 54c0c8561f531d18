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
 * One conversation between a client and the server connection that it has: what of the client's
 * messages goes on, under which names, and what of the server's answers goes back. It is stepped
 * with one frame of either side and hands out what to send; it knows no socket. It keeps, in the
 * order of the protocol, what each message will be answered with, so that the answers to the
 * pooler's own messages are swallowed and what was spared the server is said all the same.
 *
 * <p>After a Sync or a simple query nothing more goes on until the server is ready: what follows
 * may be another transaction, and so another member's. State changes count only when the server has
 * said that the statement was done.
 */
final class Exchange {
  /** What goes where after one step. */
  record Output(List<Frame> toServer, List<Frame> toClient) {}

  /** A statement of which nothing is known. */
  private static final Statement UNKNOWN = new Statement(Kind.WRITE, "", null, null, false);

  private final SessionState client;
  private final ServerState server;
  private Progress progress;
  private final Setup.Limits limits;
  private final Set<Pins.Kind> refusedKinds;
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
    this.limits = limits;
    this.refusedKinds = refused;
    projected = new ProjectedOptions(client.sessionOptions());
    names =
        new StatementNames(
            client, server, projected, batch, limits.maxServerStatements(), this::send);
    serverReplies = new ServerReplies(client, server, replies, batch, projected, progress);
  }

  /** As the server said last: I, T or E. */
  char status() {
    return batch.status();
  }

  /** Whether the client's next messages must wait for the server to be ready. */
  boolean awaitingReady() {
    return batch.awaitingReady();
  }

  boolean copying() {
    return batch.copying();
  }

  /** Whether nothing is owed. */
  boolean allRepliesReceived() {
    return replies.isEmpty() && !batch.copying();
  }

  /** Whether nothing is owed and both sides are between transactions. */
  boolean betweenTransactions() {
    return allRepliesReceived() && !inTransaction();
  }

  /** Whether a transaction is open: in a block, or in a batch without its Sync. */
  boolean inTransaction() {
    return batch.inTransaction();
  }

  /** Whether the server may still give answers, and to what is not known. */
  boolean repliesUncertain() {
    return !allRepliesReceived() || batch.syncUncertain();
  }

  /** Whether the server has got a part of a batch, and no Sync behind it. */
  boolean serverBatchOpen() {
    return batch.serverBatchOpen();
  }

  /** Whether an error has been told after which nothing counts up to the client's Sync. */
  boolean skippingToSync() {
    return batch.skipping();
  }

  /** Parse messages that have gone to the server. */
  long prepares() {
    return names.prepares();
  }

  /** Statements that were prepared under options that their client has changed since. */
  long preparedUnderOtherOptions() {
    return names.preparedUnderOtherOptions();
  }

  long executions() {
    return executions;
  }

  /**
   * Whether the batch that has just failed may be begun again here: all that was wrong is a
   * statement that the server had lost or whose plan no longer fitted, and nothing was executed.
   */
  boolean retryableAfterLostStatement() {
    return serverReplies.statementLost() && !executed() && status() == 'I';
  }

  /** The SQLSTATE of a batch's first error, or null; known until the next batch begins. */
  String firstError() {
    return serverReplies.firstError();
  }

  /** Whether any statement of it has been executed, in whole or in part. */
  boolean executed() {
    return serverReplies.executed();
  }

  /** Takes back what the client has prepared and closed since the batch began, to begin it anew. */
  void rewind() {
    replies.rewind();
    projected.reset();
    batch.rewind();
    serverReplies.forgetErrors();
  }

  /** The client keeps its connection and begins another transaction on it. */
  Progress beginTransaction() {
    progress = new Progress();
    progress.answerDelivered();
    serverReplies.beginTransaction(progress);
    return progress;
  }

  /** The next batch begins: what is known of the last one's errors is over. */
  void beginBatch() {
    serverReplies.beginBatch();
  }

  // ---- From the client.
  Output fromClient(Frame f) throws Frame.Malformed {
    resetOutput();
    if (batch.skips(f)) {
      return output(); // so would the server, and say nothing
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
        progress.sending(List.of(UNKNOWN), true);
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

  /** A message to the server with the answer that it will have; null where it is spared that. */
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
    if (refuse(statement.statements())) {
      return;
    }
    Prepared existing = client.prepared(name);
    if (name.isEmpty()) {
      names.parseUnnamed(statement);
    } else if (existing != null) {
      names.parseDuplicate(name, existing, statement);
    } else if (!exceedsStatementLimits(statement.memoryBytes())) {
      names.parseNamed(name, statement);
    }
  }

  /** Whether the operator refuses what one of these does; the client hears it in its turn. */
  private boolean refuse(List<Statement> statements) {
    for (Statement s : statements) {
      Statement prepared = s.kind() == Kind.PREPARE ? SqlPrepared.effect(s) : null;
      Pins.Kind kind = Pins.kindOf(prepared == null ? s : prepared);
      if (kind != null && refusedKinds.contains(kind)) {
        refuse(
            "0A000", kind + " is refused here: it would hold a connection beyond its transaction");
        return true;
      }
    }
    return false;
  }

  private boolean exceedsStatementLimits(int bytes) {
    boolean over =
        client.statementCount() >= limits.maxStatements()
            || client.preparedBytes() + bytes > limits.maxStatementBytes();
    if (over) {
      refuse(
          "53400",
          "more than "
              + limits.maxStatements()
              + " statements or "
              + limits.maxStatementBytes()
              + " bytes of them are prepared");
    }
    return over;
  }

  /**
   * An error of ours, after the answers to all before it; the rest of its batch is passed over.
   * What the server has executed of the batch must not be committed by its Sync: there the error is
   * the server's.
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

  /** A client's statement is closed here only: others may use what the server has. */
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
      effects = List.of(new Statement(Kind.DEALLOCATE, "", name, null, false));
    } else {
      portals.remove(name);
    }
    send(f, PendingReply.expect(MessageKind.CLOSE, effects));
  }

  private void execute(Frame f) throws Frame.Malformed {
    Portal portal = portals.getOrDefault(f.read().text(), new Portal(List.of()));
    progress.sending(portal.statements(), false);
    executions++;
    List<Statement> effects = client.effects(portal.execute());
    projected.sent(effects, batch.status());
    send(
        f,
        PendingReply.expect(MessageKind.EXECUTE, effects)
            .withClientUndo(() -> portal.executeSkipped(effects)));
  }

  private void query(Frame f) throws Frame.Malformed {
    List<Statement> statements = Sql.split(f.read().text());
    boolean rejected = refuse(statements);
    for (Statement s : statements) {
      rejected =
          rejected || s.kind() == Kind.PREPARE && exceedsStatementLimits(sqlPrepared(s).memoryBytes());
    }
    if (rejected) {
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
    server.setUnnamed(null); // a simple query does away with the unnamed statement
    if (statements.size() == 1
        && statements.get(0).kind() == Kind.DEALLOCATE
        && client.prepared(statements.get(0).name()) != null) {
      // The server knows it under another name, and others use it there.
      send(
          Frame.query(""),
          PendingReply.expect(MessageKind.QUERY, statements)
              .withAnswer(Frame.complete("DEALLOCATE")));
      return;
    }
    progress.sending(statements, true);
    send(f, PendingReply.expect(MessageKind.QUERY, statements));
  }

  private SqlPrepared sqlPrepared(Statement prepare) {
    return SqlPrepared.of(prepare, projected.current().statementOptions());
  }

  // ---- From the server.
  /**
   * Steps with one of its frames; one that nothing asked for is malformed, and the connection of no
   * more use.
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
