package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * What a server's messages amount to: which of them its client hears, what its session and its
 * connection hold from then on, and what is known of the present batch.
 */
final class ServerReplies {
  /** SQLSTATE of a statement that the server does not know. */
  private static final String STATEMENT_LOST = "26000";

  /** SQLSTATE of a statement whose plan no longer fits, among others. */
  private static final String STATEMENT_STALE = "0A000";

  private final SessionState client;
  private final ServerState server;
  private final PendingReplies replies;
  private final BatchState batch;
  private final ProjectedOptions projected;
  private Progress progress;

  /** How many statements of the present simple query have been done. */
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

  /** Another transaction begins. */
  void beginTransaction(Progress next) {
    progress = next;
  }

  /** The next batch begins: what is known of the last one's errors is over. */
  void beginBatch() {
    replies.beginBatch();
    executed = false;
    forgetErrors();
  }

  void forgetErrors() {
    statementLost = false;
    firstError = null;
  }

  /** A simple query has been sent. */
  void querySent() {
    queryStatementsDone = 0;
  }

  /** The SQLSTATE of a batch's first error, or null; known until the next batch begins. */
  String firstError() {
    return firstError;
  }

  /** Whether any statement of it has been executed, in whole or in part. */
  boolean executed() {
    return executed;
  }

  /** Whether it failed for a statement that the server had lost or whose plan no longer fitted. */
  boolean statementLost() {
    return statementLost;
  }

  /** Takes one message, and adds what the client hears of it. */
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
      return; // they change with every answer: kept, each lease would compare all anew
    }
    server.setReported(name, value);
    if (!answersInternal() && !value.equals(client.reportedParameters().get(name))) {
      client.reportedParameters(client.reportedParameters().plus(name, value));
      toClient.add(f);
    }
  }

  /** Whether what comes now is on account of a message of the pooler's own. */
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
      case 's' -> { // it has run up to a row, whether or not the rest is ever fetched
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

  /** A statement is done: what it did to the session counts from now on, on both sides. */
  private void statementDone(PendingReply reply, Frame said) throws Frame.Malformed {
    List<Statement> statements = reply.statements();
    int i = reply.kind() == MessageKind.QUERY ? queryStatementsDone++ : 0;
    if (i < statements.size() && said.type() == 'C') {
      String tag = said.read().text();
      applyToBothSides(statements.get(i), tag);
      progress.writeCommitted(tag);
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
    server.onCompleted(effect, tag, client.sessionOptions().statementOptions());
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
      server.markStale(reply.prepared()); // it is prepared anew when next used
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
        throw new Frame.Malformed("ready before the answer to " + step);
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
