package crankspar.pooling;

/**
 * What becomes of a server's connection when its client's transaction, or its client, has ended.
 * All that must be so before another client may have it is named in {@link Condition}; nothing else
 * makes a connection free.
 */
enum ReleaseAction {
  /** Free for any client. */
  REUSE,
  /** Kept apart: a cancel that was sent for its last client may still reach it. */
  AWAIT_CANCEL,
  /** Its open block is rolled back first. */
  ROLL_BACK,
  /** Its open block is rolled back, and its session reset, first. */
  RESET_SESSION,
  /** Closed, which has the server roll back whatever is open. */
  CLOSE;

  /**
   * A connection at the moment of its release.
   *
   * @param answersOwed whether the server still owes answers, or may, or takes a COPY
   * @param batchOpen whether messages of the extended protocol have gone out with no Sync behind
   *     them: a Sync would commit them, and after an error anything else is passed over
   * @param status as the server's last ReadyForQuery told it: I, T or E
   * @param sessionState whether its client left more there than a transaction does, or a change to
   *     that client's state got stuck half way
   * @param libraryLoaded whether its client loaded a library, which only the connection's end
   *     undoes
   * @param unwanted whether it is to end: its member drains, or a cancel may still hit it
   * @param cancelsPending cancels that were sent for its client and have not passed
   */
  record Condition(
      boolean answersPending,
      boolean batchOpen,
      char transactionStatus,
      boolean sessionChanged,
      boolean libraryLoaded,
      boolean mustClose,
      int pendingCancels) {

    /** One that no client has used since it was last clean. */
    static Condition clean(boolean mustClose, int pendingCancels) {
      return new Condition(false, false, 'I', false, false, mustClose, pendingCancels);
    }
  }

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
