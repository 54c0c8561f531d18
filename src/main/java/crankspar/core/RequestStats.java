package crankspar.core;

/**
 * Counters of one core's answers by request class, and of its attempts, since the start. Each event
 * is counted once, where it happens.
 */
public final class RequestStats {
  private final long[] ok;
  private final long[] refused;
  private final long[] errors;
  private long attemptsWritten;

  RequestStats(int classes) {
    ok = new long[classes];
    refused = new long[classes];
    errors = new long[classes];
  }

  void answered(int requestClass, FinalAnswer<?> answer) {
    long[] at =
        answer instanceof FinalAnswer.Served<?>
            ? ok
            : answer instanceof FinalAnswer.Refused<?> ? refused : errors;
    at[requestClass]++;
  }

  void written() {
    attemptsWritten++;
  }

  public long ok(int requestClass) {
    return ok[requestClass];
  }

  public long refused(int requestClass) {
    return refused[requestClass];
  }

  public long errors(int requestClass) {
    return errors[requestClass];
  }

  /** Attempts whose last byte was written to a server. */
  public long attemptsWritten() {
    return attemptsWritten;
  }
}
