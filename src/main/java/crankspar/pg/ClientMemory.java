package crankspar.pg;

import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;

/** What one client's session holds, as counted by the process's {@link MemoryBudget}. */
final class ClientMemory {
  /** What a statement in flight holds for each of its characters: it, and what is sent of it. */
  private static final int STATEMENT_COPIES = 2;

  /** What a long answer may have waiting for its client, as {@code StreamedValue} passes it on. */
  private static final int STREAM_BYTES = 128 * 1024;

  private final MemoryBudget.Share share;
  private boolean streaming;

  ClientMemory(MemoryBudget budget, MemoryBudget.Holder holder) {
    share = budget.open(holder);
  }

  /** Whether there is room for so many bytes of input (those of before are included). */
  boolean input(int bytes) {
    return share.set(Use.INPUT, bytes);
  }

  /** So much of the input is left. */
  void inputTaken(int bytes) {
    share.force(Use.INPUT, bytes);
  }

  /** Whether there is room for this statement in flight. */
  boolean statement(String sql) {
    return share.set(Use.REQUEST, (long) STATEMENT_COPIES * sql.length());
  }

  /** The statement in flight has its answer. */
  void statementEnded() {
    share.force(Use.REQUEST, 0);
    streaming = false;
  }

  /** Its answer is passed on as it comes. */
  void streams() {
    streaming = true;
    unsent(0);
  }

  /** Whether there is room for answers of so many bytes that have not left yet. */
  boolean unsent(int bytes) {
    return share.set(Use.ANSWER, Math.max(bytes, streaming ? STREAM_BYTES : 0));
  }

  /** Only answers are left, of so many bytes. */
  void leaving(int unsentBytes) {
    share.force(Use.INPUT, 0);
    share.force(Use.REQUEST, 0);
    share.force(Use.ANSWER, unsentBytes);
  }

  /** Gives all of it back. */
  void release() {
    share.close();
  }
}
