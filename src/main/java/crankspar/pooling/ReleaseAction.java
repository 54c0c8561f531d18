package crankspar.pooling;

/**
 * What is done with a server connection when the transaction or session of its client has ended.
 * {@link Condition} holds everything that is checked before another client may use the connection.
 */
enum ReleaseAction {
  /** The connection is clean and goes to the idle list. */
  REUSE,
  /** Not reused yet: a cancel request sent for its last client may still reach the server. */
  AWAIT_CANCEL,
  /** The open transaction block is rolled back before the connection is reused. */
  ROLL_BACK,
  /** The open block is rolled back and the session reset (DISCARD ALL) before reuse. */
  RESET_SESSION,
  /** The connection is closed, so that the server rolls back whatever is open. */
  CLOSE;

  /**
   * The state of a connection at the moment of its release.
   *
   * @param answersPending whether replies of the server are or may be outstanding, or a COPY is
   *     under way
   * @param batchOpen whether extended-protocol messages were sent without a Sync after them: a Sync
   *     would commit them, and after an error the server ignores every other message
   * @param transactionStatus status byte of the last ReadyForQuery: I, T or E
   * @param sessionChanged whether the client may have left session state behind, or applying the
   *     client's state to the connection failed half way
   * @param libraryLoaded whether the client ran LOAD, which only closing the connection undoes
   * @param mustClose whether the connection has to end: its member drains, or a cancel request of
   *     unknown outcome may still hit it
   * @param pendingCancels cancel requests that were sent for the client and may still hit a
   *     statement
   */
  record Condition(
      boolean answersPending,
      boolean batchOpen,
      char transactionStatus,
      boolean sessionChanged,
      boolean libraryLoaded,
      boolean mustClose,
      int pendingCancels) {

    /** A connection that no client has used since it was last clean. */
    static Condition clean(boolean mustClose, int pendingCancels) {
      return new Condition(false, false, 'I', false, false, mustClose, pendingCancels);
    }
  }

  /** Chooses the action; when several apply, the most drastic one wins. */
  static ReleaseAction forCondition(Condition condition) {
    if (condition.mustClose()
        || condition.answersPending()
        || condition.batchOpen()
        || condition.libraryLoaded()) {
      return CLOSE;
    }
    if (condition.sessionChanged()) {
      return RESET_SESSION;
    }
    if (condition.transactionStatus() != 'I') {
      return ROLL_BACK;
    }
    return condition.pendingCancels() > 0 ? AWAIT_CANCEL : REUSE;
  }
}
