package crankspar.net;

/** A channel that is registered with the loop's selector. */
interface Pollable {
  ReadinessPhase phase();

  /** The channel is ready for an operation that it is registered for. */
  void ready();

  /** The channel is ready but not served in this poll. */
  default void passedOver() {}
}
