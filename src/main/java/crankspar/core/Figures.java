package crankspar.core;

/** What one core has done since its start, by class: each is counted once, where it happens. */
public final class Figures {
  private final long[] ok;
  private final long[] shed;
  private final long[] errors;
  private long tries;

  Figures(int classes) {
    ok = new long[classes];
    shed = new long[classes];
    errors = new long[classes];
  }

  void answered(int requestClass, FinalAnswer<?> answer) {
    long[] at =
        answer instanceof FinalAnswer.Served<?>
            ? ok
            : answer instanceof FinalAnswer.Refused<?> ? shed : errors;
    at[requestClass]++;
  }

  void written() {
    tries++;
  }

  public long ok(int requestClass) {
    return ok[requestClass];
  }

  public long shed(int requestClass) {
    return shed[requestClass];
  }

  public long errors(int requestClass) {
    return errors[requestClass];
  }

  /** Attempts whose last byte was written to a server. */
  public long tries() {
    return tries;
  }
}
