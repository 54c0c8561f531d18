package crankspar.core;

/**
 * How far an attempt had come when it ended. This alone decides whether the request may have run.
 */
public enum AttemptProgress {
  NOT_CONNECTED,
  PARTLY_WRITTEN,
  WHOLLY_WRITTEN,
  ANSWERED;

  /**
   * Whether the request may have run. A server starts a request only when its last byte has
   * arrived, so that a partly written request has no effect.
   */
  public boolean mayHaveRun() {
    return this == WHOLLY_WRITTEN || this == ANSWERED;
  }
}
