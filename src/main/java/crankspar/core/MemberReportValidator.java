package crankspar.core;

/** Rejects roles and positions reported by members that cannot be true. */
final class MemberReportValidator {
  private final Ports.Time time;
  private final Counters counters;
  private final DatabaseClock clock;
  private final Runnable foundAhead;

  /** {@code foundAhead} runs when the databases' clock is found to be ahead of the local clock. */
  MemberReportValidator(
      Ports.Time time, Counters counters, DatabaseClock clock, Runnable foundAhead) {
    this.time = time;
    this.counters = counters;
    this.clock = clock;
    this.foundAhead = foundAhead;
  }

  /**
   * Returns the state as far as it can be trusted. A position ahead of the clock that all machines
   * share is noise, whichever protocol delivered it. Accepting it once would cause stale reads: its
   * member would pass the staleness check from then on.
   */
  AttemptEnd.MemberReport validate(AttemptEnd.MemberReport state) {
    if (Double.isNaN(state.position())) {
      return state;
    }
    DatabaseClock.Verdict verdict = clock.observe(time.now(), state.role(), state.position());
    if (verdict == DatabaseClock.Verdict.IMPLAUSIBLE) {
      counters.add("notes_implausible");
      return AttemptEnd.MemberReport.NONE;
    }
    if (verdict == DatabaseClock.Verdict.UNPROVEN) {
      counters.add("notes_unproven");
      return new AttemptEnd.MemberReport(state.role(), Double.NaN);
    }
    if (verdict == DatabaseClock.Verdict.FOUND_AHEAD) {
      counters.add("database_clock_ahead");
      foundAhead.run();
    }
    return state;
  }
}
