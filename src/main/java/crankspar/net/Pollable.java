package crankspar.net;

/** A channel that is registered with the loop's selector. */
interface Pollable {
  ReadinessPhase phase();

  /** The channel is ready for something that it waits for. */
  void ready();

  /** The channel is ready and is not served in this poll. */
  default void passedOver() {}
}
