package crankspar.core;

/** The one final answer to a request, which a front translates into its protocol. */
public sealed interface FinalAnswer<A> {
  record Served<A>(A answer, AttemptEnd.MemberReport memberReport) implements FinalAnswer<A> {}

  /**
   * The request did not run and may be retried safely, preferably after {@code retryIn} ms (0: no
   * advice).
   */
  record Refused<A>(double retryIn) implements FinalAnswer<A> {}

  /**
   * The request failed; {@code mayHaveRun} is true if an attempt was sent completely and there is
   * no proof that it had no effect.
   */
  record Failed<A>(boolean mayHaveRun, String why) implements FinalAnswer<A> {}
}
