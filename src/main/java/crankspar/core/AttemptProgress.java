package crankspar.core;

/**
 * How far an attempt had come when it ended: the one thing that decides whether it may have run.
 */
public enum AttemptProgress {
  NOT_CONNECTED,
  PARTLY_WRITTEN,
  WHOLLY_WRITTEN,
  ANSWERED;

  /** A server begins a request with its last byte, so that less than all of it has no effect. */
  public boolean mayHaveRun() {
    return this == WHOLLY_WRITTEN || this == ANSWERED;
  }
}
