package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * How far a transaction had come, and so what may follow when its connection breaks. PostgreSQL
 * begins a message with its last byte and an implicit transaction takes effect with its Sync or
 * simple query; a block does with its COMMIT. What has been passed on to the client is never taken
 * back: from then on nothing is sent elsewhere.
 */
final class Progress {
  /** What may follow a break. */
  enum Outcome {
    /**
     * Nothing ran, or nothing but reads, and the client has seen nothing: another member may be
     * asked.
     */
    RETRYABLE,
    /** It was rolled back: it had no effect, and is not sent again. */
    FAILED,
    /** It may have taken effect, or not: 08007. */
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
      executed;

  /** An end of a transaction has been sent, and the server has not been ready since. */
  private boolean endSent;

  /** Something that may take effect was sent behind such an end. */
  private boolean writeAfterEnd;

  /** Such an end is a message of its own: the server begins it before the batch's last byte. */
  private boolean commitWithinBatch;

  /**
   * Statements go out, outside a block as one implicit transaction; called before their first byte
   * leaves. One message ({@code whole}) is begun with its last byte; of several, the first may be
   * executed before the last leaves.
   */
  void sending(List<Statement> statements, boolean singleMessage) {
    for (Statement s : statements) {
      readOnly &= s.idempotent();
      statementQueued |= s.kind() != Kind.BEGIN;
      executed |= !singleMessage && s.kind() != Kind.BEGIN;
      writeAfterEnd |= endSent && !s.idempotent();
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
      } else if (!inBlock && !s.idempotent()) {
        implicitWrite = true;
      }
    }
  }

  /**
   * The last byte of what ends a batch (a Sync, a simple query) has left: the server may begin it.
   */
  void batchSent() {
    batchRunning = true;
    executed |= statementQueued;
  }

  /** Something of the answer has gone to the client. */
  void answerDelivered() {
    answerDelivered = true;
  }

  /** The server has answered COMMIT, ROLLBACK or the like: what is before it is decided. */
  void writeCommitted(String tag) {
    if (tag.equals("COMMIT") || tag.equals("ROLLBACK") || tag.equals("PREPARE TRANSACTION")) {
      inBlock = commitSent = false;
      implicitWrite = writeAfterEnd;
      writeCommitted |= tag.equals("COMMIT") && !readOnly;
    }
  }

  /** The server is ready in this state. */
  void ready(char status) {
    batchRunning = endSent = writeAfterEnd = commitWithinBatch = false;
    inBlock = status != 'I';
    if (status == 'I') {
      commitSent = implicitWrite = false;
    }
  }

  /** Whether more than a BEGIN may have been executed, if only to be rolled back. */
  boolean executed() {
    return executed;
  }

  /** Whether anything but reads has been sent in it. */
  boolean writes() {
    return !readOnly;
  }

  /** Whether a batch is out that has not been answered whole. */
  boolean batchRunning() {
    return batchRunning;
  }

  Outcome outcome() {
    boolean undeliveredCommit = writeCommitted && !answerDelivered;
    if ((batchRunning || commitWithinBatch) && (commitSent || implicitWrite)
        || batchRunning && undeliveredCommit) {
      return Outcome.UNKNOWN;
    }
    // A piece of a batch may have been executed and rolled back: only what has no trace is asked
    // elsewhere.
    return !answerDelivered && !writeCommitted && (readOnly || !batchRunning && !executed)
        ? Outcome.RETRYABLE
        : Outcome.FAILED;
  }
}
