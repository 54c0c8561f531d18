package crankspar.net;

/**
 * The earliest moment at which what is read from one socket may have come: the last time that the
 * socket was known to hold nothing. Guards against a late process that takes what waited for it for
 * something that has just come. It knows no clock: times are milliseconds on the loop's.
 */
final class ArrivalTime {
  private double emptyAt;
  private boolean mayHoldMore = true;

  /** Nothing had come before {@code emptyAt}; since then something may have. */
  ArrivalTime(double emptyAt) {
    this.emptyAt = emptyAt;
  }

  /** The socket was found empty by a read that began at {@code now}. */
  void foundEmpty(double now) {
    emptyAt = now;
    mayHoldMore = false;
  }

  /** The socket may hold something that is not read now and had come since the poll before. */
  void leftUnread(double previousPoll) {
    emptyAt = earliest(previousPoll);
    mayHoldMore = true;
  }

  /** A socket that was empty and not ready at the poll before this one held nothing then. */
  double earliest(double previousPoll) {
    return mayHoldMore ? emptyAt : Math.max(emptyAt, previousPoll);
  }
}
