package crankspar.store;

/** How a change that was asked for ended, and what whoever asked can do. */
public sealed interface CommitResult {
  /**
   * It is in force, and on disk where a file keeps its keys: it survives a kill of this process.
   */
  record Committed() implements CommitResult {}

  /**
   * The store never takes it: its key, its value or the store's size is out of bounds. Asking again
   * does not help.
   */
  record Invalid(String reason) implements CommitResult {}

  /**
   * The disk did not take it in time, or this process is ending. It is not in force; asking again
   * is harmless.
   */
  record NotDurable(String reason) implements CommitResult {}
}
