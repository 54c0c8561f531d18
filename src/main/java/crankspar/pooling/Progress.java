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
  enum Verdict {
    /**
     * Nothing ran, or nothing but reads, and the client has seen nothing: another member may be
     * asked.
     */
    ELSEWHERE,
    /** It was rolled back: it had no effect, and is not sent again. */
    FAILED,
    /** It may have taken effect, or not: 08007. */
    UNKNOWN
  }

  private boolean block,
      closing,
      effect,
      running,
      harmless = true,
      shown,
      decided,
      waiting,
      executed;

  /** An end of a transaction has been sent, and the server has not been ready since. */
  private boolean endSent;

  /** Something that may take effect was sent behind such an end. */
  private boolean effectBehindEnd;

  /** Such an end is a message of its own: the server begins it before the batch's last byte. */
  private boolean endsWithinBatch;

  /**
   * Statements go out, outside a block as one implicit transaction; called before their first byte
   * leaves. One message ({@code whole}) is begun with its last byte; of several, the first may be
   * executed before the last leaves.
   */
  void sending(List<Statement> statements, boolean whole) {
    for (Statement s : statements) {
      harmless &= s.idempotent();
      waiting |= s.kind() != Kind.BEGIN;
      executed |= !whole && s.kind() != Kind.BEGIN;
      effectBehindEnd |= endSent && !s.idempotent();
      boolean commits = s.kind() == Kind.COMMIT || s.kind() == Kind.PREPARE_TRANSACTION;
      endSent |= commits || s.kind() == Kind.ROLLBACK;
      if (s.kind() == Kind.BEGIN) {
        block = true;
      } else if (commits && block) {
        closing = true;
        endsWithinBatch |= !whole;
      } else if (s.kind() == Kind.ROLLBACK) {
        block = false;
        effect = false;
      } else if (!block && !s.idempotent()) {
        effect = true;
      }
    }
  }

  /**
   * The last byte of what ends a batch (a Sync, a simple query) has left: the server may begin it.
   */
  void sent() {
    running = true;
    executed |= waiting;
  }

  /** Something of the answer has gone to the client. */
  void shown() {
    shown = true;
  }

  /** The server has answered COMMIT, ROLLBACK or the like: what is before it is decided. */
  void decided(String tag) {
    if (tag.equals("COMMIT") || tag.equals("ROLLBACK") || tag.equals("PREPARE TRANSACTION")) {
      block = closing = false;
      effect = effectBehindEnd;
      decided |= tag.equals("COMMIT") && !harmless;
    }
  }

  /** The server is ready in this state. */
  void ready(char status) {
    running = endSent = effectBehindEnd = endsWithinBatch = false;
    block = status != 'I';
    if (status == 'I') {
      closing = effect = false;
    }
  }

  /** Whether more than a BEGIN may have been executed, if only to be rolled back. */
  boolean executed() {
    return executed;
  }

  /** Whether anything but reads has been sent in it. */
  boolean writes() {
    return !harmless;
  }

  /** Whether a batch is out that has not been answered whole. */
  boolean running() {
    return running;
  }

  Verdict verdict() {
    boolean untold = decided && !shown;
    if ((running || endsWithinBatch) && (closing || effect) || running && untold) {
      return Verdict.UNKNOWN;
    }
    // A piece of a batch may have been executed and rolled back: only what has no trace is asked
    // elsewhere.
    return !shown && !decided && (harmless || !running && !executed)
        ? Verdict.ELSEWHERE
        : Verdict.FAILED;
  }
}
