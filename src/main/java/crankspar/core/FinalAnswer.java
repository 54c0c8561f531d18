package crankspar.core;

/** The one final answer to a request, for a front to put into its own words. */
public sealed interface FinalAnswer<A> {
  record Served<A>(A answer, AttemptEnd.MemberState memberState) implements FinalAnswer<A> {}

  /** Trying again is harmless, best after {@code retryIn} ms (0: no advice). */
  record Refused<A>(double retryIn) implements FinalAnswer<A> {}

  /**
   * No assurance is given; {@code mayHaveRun} where an attempt was sent whole and left no proof.
   */
  record Failed<A>(boolean mayHaveRun, String why) implements FinalAnswer<A> {}
}
