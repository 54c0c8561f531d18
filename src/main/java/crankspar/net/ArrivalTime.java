package crankspar.net;

/**
 * Tracks the earliest time at which data read from one socket may have arrived: the last time that
 * the socket was known to be empty. Otherwise a late process would treat data that waited in the
 * socket as newly arrived. Has no clock of its own: times are milliseconds of the loop's clock.
 */
final class ArrivalTime {
  private double emptyAt;
  private boolean mayHoldMore = true;

  /** Nothing had arrived before {@code emptyAt}; something may have arrived since then. */
  ArrivalTime(double emptyAt) {
    this.emptyAt = emptyAt;
  }

  /** The socket was found empty by a read that began at {@code now}. */
  void foundEmpty(double now) {
    emptyAt = now;
    mayHoldMore = false;
  }

  /** The socket may hold unread data that had arrived since the previous poll. */
  void leftUnread(double previousPoll) {
    emptyAt = earliest(previousPoll);
    mayHoldMore = true;
  }

  /**
   * The earliest arrival time of what is read now. A socket that was empty and not ready at the
   * previous poll held nothing at that time.
   */
  double earliest(double previousPoll) {
    return mayHoldMore ? emptyAt : Math.max(emptyAt, previousPoll);
  }
}
