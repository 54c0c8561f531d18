package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * Interprets a server's messages: which of them are forwarded to the client, how they change the
 * state of the session and of the connection, and what they say about the current batch.
 */
final class ServerReplies {
  /** SQLSTATE of a prepared statement that the server does not have. */
  private static final String STATEMENT_LOST = "26000";

  /** SQLSTATE, among other uses, of a prepared statement whose cached plan is stale. */
  private static final String STATEMENT_STALE = "0A000";

  private final SessionState client;
  private final ServerState server;
  private final PendingReplies replies;
  private final BatchState batch;
  private final ProjectedOptions projected;
  private Progress progress;

  /** The number of completed statements of the current simple query. */
  private int queryStatementsDone;

  private boolean executed;
  private boolean statementLost;
  private String firstError;

  ServerReplies(
      SessionState client,
      ServerState server,
      PendingReplies replies,
      BatchState batch,
      ProjectedOptions projected,
      Progress progress) {
    this.client = client;
    this.server = server;
    this.replies = replies;
    this.batch = batch;
    this.projected = projected;
    this.progress = progress;
  }

  /** Starts another transaction. */
  void beginTransaction(Progress next) {
    progress = next;
  }

  /** Starts the next batch and clears the errors of the last one. */
  void beginBatch() {
    replies.beginBatch();
    executed = false;
    forgetErrors();
  }

  void forgetErrors() {
    statementLost = false;
    firstError = null;
  }

  /** Records that a simple query was sent. */
  void querySent() {
    queryStatementsDone = 0;
  }

  /** The SQLSTATE of the current batch's first error, or null; kept until the next batch. */
  String firstError() {
    return firstError;
  }

  /** Whether any statement of the current batch was executed, even in part. */
  boolean executed() {
    return executed;
  }

  /** Whether the batch failed because a prepared statement was lost or its plan stale. */
  boolean statementLost() {
    return statementLost;
  }

  /** Handles one message and adds the frames for the client. */
  void receive(Frame f, List<Frame> toClient) throws Frame.Malformed {
    switch (f.type()) {
      case 'N' -> {
        if (!answersInternal()) {
          toClient.add(f);
        }
      }
      case 'A', 'd', Frame.PART -> toClient.add(f);
      case 'S' -> parameter(f, toClient);
      case 'E' -> {
        boolean refused = answersInternal() && replies.next().answer() != null;
        Frame reply = refused ? replies.next().answer() : f;
        toClient.add(reply);
        failed(reply);
      }
      case 'Z' -> {
        ready(f);
        toClient.add(f);
      }
      default -> answer(f, toClient);
    }
  }

  private void parameter(Frame f, List<Frame> toClient) throws Frame.Malformed {
    Frame.Reader r = f.read();
    String name = r.text();
    String value = r.text();
    if (ReportedStatus.PARAMETERS.contains(name)) {
      return; // they change with every reply; if kept, each lease would compare all parameters
    }
    server.setReported(name, value);
    if (!answersInternal() && !value.equals(client.reportedParameters().get(name))) {
      client.reportedParameters(client.reportedParameters().plus(name, value));
      toClient.add(f);
    }
  }

  /** Whether the next expected reply is to a message of the pooler's own. */
  private boolean answersInternal() {
    return !replies.isEmpty() && replies.next().kind() == MessageKind.INTERNAL;
  }

  private void answer(Frame f, List<Frame> toClient) throws Frame.Malformed {
    PendingReply expected = replies.expected();
    MessageKind step = expected.kind();
    if (!step.answeredBy(f.type())) {
      throw new Frame.Malformed("message type " + f.type() + " in answer to " + step);
    }
    if (step == MessageKind.INTERNAL) {
      replies.complete();
      return;
    }
    executed |=
        step == MessageKind.EXECUTE || step == MessageKind.QUERY || step == MessageKind.CALL;
    Frame reply = f.type() == 'I' && expected.answer() != null ? expected.answer() : f;
    toClient.add(reply);
    switch (f.type()) {
      case 'G', 'W' -> {
        if (!batch.endOfDataSent()) {
          batch.copyStarted(replies.removeFollowingSync());
        }
      }
      case 'C', 'I' -> statementDone(expected, reply);
      case 's' -> { // it has run up to the row limit, whether or not the rest is fetched
        expected.statements().forEach(s -> applyToBothSides(s, ""));
        completeReply();
      }
      case 'D', 'H', 'c', 'V', 't' -> {}
      case 'T' -> {
        if (step != MessageKind.QUERY) {
          replies.complete();
        }
      }
      default -> {
        if (step == MessageKind.CLOSE) {
          expected.statements().forEach(s -> applyToBothSides(s, ""));
        }
        completeReply();
      }
    }
  }

  /** Applies a completed statement's effects to the state of the session and the connection. */
  private void statementDone(PendingReply reply, Frame said) throws Frame.Malformed {
    List<Statement> statements = reply.statements();
    int i = reply.kind() == MessageKind.QUERY ? queryStatementsDone++ : 0;
    if (i < statements.size() && said.type() == 'C') {
      String tag = said.read().text();
      applyToBothSides(statements.get(i), tag);
      progress.commandCompleted(tag);
    }
    if (reply.kind() == MessageKind.EXECUTE) {
      batch.statementCompleted();
      completeReply();
    }
  }

  private void completeReply() {
    PendingReply reply = replies.complete();
    if (reply.kind() == MessageKind.EXECUTE) {
      projected.answered(reply.statements());
    }
  }

  private void applyToBothSides(Statement s, String tag) {
    Statement effect = client.effect(s);
    client.apply(effect, tag);
    boolean prepares = effect.kind() == Sql.Kind.PREPARE;
    server.onCompleted(
        effect, tag, prepares ? client.sessionOptions().statementOptions() : StatementOptions.NONE);
  }

  private void failed(Frame f) throws Frame.Malformed {
    PendingReply reply = replies.next();
    String code = f.fields().getOrDefault('C', "");
    firstError = firstError == null ? code : firstError;
    batch.failed();
    client.statementFailed();
    server.onError();
    if (reply == null || reply.kind().endsBatch()) {
      return;
    }
    boolean lost = code.equals(STATEMENT_LOST) || code.equals(STATEMENT_STALE);
    if (lost && reply.prepared() != null && reply.kind() != MessageKind.PARSE) {
      statementLost = true;
      server.markStale(reply.prepared()); // it is prepared again on its next use
    }
    replies.skipToSync();
    projected.reset();
    if (replies.isEmpty()) {
      batch.failedBeforeSync();
    }
  }

  private void ready(Frame f) throws Frame.Malformed {
    if (replies.isEmpty() && batch.syncUncertain()) {
      batch.rewind();
    } else {
      MessageKind step = replies.expected().kind();
      if (!step.endsBatch()) {
        throw new Frame.Malformed("ReadyForQuery before the reply to " + step);
      }
      replies.removeBatchEnd();
    }
    projected.reset();
    char status = f.read().code();
    batch.ready(status);
    client.ready(status);
    server.onReady(status);
    progress.ready(status);
  }
}
