package crankspar.pooling;

import crankspar.pooling.Sql.Calls;
import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * Tracks how far a transaction has come, to decide what is possible after its connection is lost.
 * PostgreSQL starts a message once it has received its last byte. An implicit transaction takes
 * effect with its Sync or simple query, a block with its COMMIT. A reply passed on to the client
 * cannot be revoked: from then on the batch is not retried.
 */
final class Progress {
  /** What is known of a transaction whose connection was lost. */
  enum Outcome {
    /**
     * Nothing or only reads were executed and the client has received no reply: the batch may be
     * retried at another member.
     */
    RETRYABLE,
    /** It was rolled back, so it had no effect; it is not retried. */
    FAILED,
    /** It may or may not have taken effect: SQLSTATE 08007. */
    UNKNOWN
  }

  private boolean inBlock,
      commitSent,
      implicitWrite,
      batchRunning,
      readOnly = true,
      answerDelivered,
      writeCommitted,
      statementQueued,
      executed,
      queried;

  /** Whether the request's class is for writes, so that a function that is called may write. */
  private final boolean writeClass;

  /** Whether a function of unknown effects was called. */
  private boolean functionCalled;

  Progress(boolean writeClass) {
    this.writeClass = writeClass;
  }

  /** A COMMIT, ROLLBACK or PREPARE TRANSACTION was sent, without a ReadyForQuery since. */
  private boolean endSent;

  /** A statement that may write was sent after that end of a transaction. */
  private boolean writeAfterEnd;

  /** The commit is one of several messages: it may run before the batch's last byte is sent. */
  private boolean commitWithinBatch;

  /**
   * Records statements that are about to be sent; called before their first byte is written.
   * Outside a block they form one implicit transaction. A single message ({@code singleMessage})
   * starts with its last byte; of several messages, the first may be executed before the last is
   * written.
   */
  void beforeSend(List<Statement> statements, boolean singleMessage) {
    for (Statement s : statements) {
      boolean calls = s.calls() == Calls.UNKNOWN;
      functionCalled |= calls;
      queried |= s.kind() == Kind.READ;
      boolean changes = !s.idempotent() || calls && writeClass;
      readOnly &= !changes;
      statementQueued |= s.kind() != Kind.BEGIN;
      executed |= !singleMessage && s.kind() != Kind.BEGIN;
      writeAfterEnd |= endSent && changes;
      boolean commits = s.kind() == Kind.COMMIT || s.kind() == Kind.PREPARE_TRANSACTION;
      endSent |= commits || s.kind() == Kind.ROLLBACK;
      if (s.kind() == Kind.BEGIN) {
        inBlock = true;
      } else if (commits && inBlock) {
        commitSent = true;
        commitWithinBatch |= !singleMessage;
      } else if (s.kind() == Kind.ROLLBACK) {
        inBlock = false;
        implicitWrite = false;
      } else if (!inBlock && changes) {
        implicitWrite = true;
      }
    }
  }

  /**
   * Records that the last byte of the message that ends a batch (a Sync or a simple query) was
   * written: the server may start it.
   */
  void batchSent() {
    batchRunning = true;
    executed |= statementQueued;
  }

  /** Records that part of the reply was sent to the client. */
  void answerDelivered() {
    answerDelivered = true;
  }

  /** Records a command tag; a COMMIT, ROLLBACK or PREPARE TRANSACTION settles what precedes it. */
  void commandCompleted(String tag) {
    if (tag.equals("COMMIT") || tag.equals("ROLLBACK") || tag.equals("PREPARE TRANSACTION")) {
      inBlock = commitSent = false;
      implicitWrite = writeAfterEnd;
      writeCommitted |= tag.equals("COMMIT") && !readOnly;
    }
  }

  /** Records a ReadyForQuery with this transaction status. */
  void ready(char status) {
    batchRunning = endSent = writeAfterEnd = commitWithinBatch = false;
    inBlock = status != 'I';
    if (status == 'I') {
      commitSent = implicitWrite = false;
    }
  }

  /** Whether more than a BEGIN may have been executed, even if it was rolled back. */
  boolean executed() {
    return executed;
  }

  /**
   * Whether the session's next read has to see what this transaction may have written. A text does
   * not show what a view or a function does: in a class for writes each query may have written, in
   * others one that calls a function and did not run at a replica.
   */
  boolean mayHaveWritten(boolean atReplica) {
    return !atReplica && (!readOnly || writeClass && queried || functionCalled);
  }

  /** Whether a batch was sent whose ReadyForQuery has not arrived. */
  boolean batchRunning() {
    return batchRunning;
  }

  Outcome outcome() {
    boolean undeliveredCommit = writeCommitted && !answerDelivered;
    if ((batchRunning || commitWithinBatch) && (commitSent || implicitWrite)
        || batchRunning && undeliveredCommit) {
      return Outcome.UNKNOWN;
    }
    // Part of a batch may have run and been rolled back: retry only a batch without any trace.
    return !answerDelivered && !writeCommitted && (readOnly || !batchRunning && !executed)
        ? Outcome.RETRYABLE
        : Outcome.FAILED;
  }
}
