package crankspar.core;

/** What answers tell of their members, if it can be true. */
final class Notes {
  private final Ports.Time time;
  private final Counters counters;
  private final DatabaseClock clock;
  private final Runnable foundAhead;

  /** {@code foundAhead} hears when the databases' clock is found to be ahead of ours. */
  Notes(Ports.Time time, Counters counters, DatabaseClock clock, Runnable foundAhead) {
    this.time = time;
    this.counters = counters;
    this.clock = clock;
    this.foundAhead = foundAhead;
  }

  /**
   * A note whose position lies ahead of the clock that all machines share is noise, whichever wire
   * brought it. Guards against stale reads: believed once, it would pass its member through the
   * gate for good.
   */
  AttemptEnd.MemberState plausible(AttemptEnd.MemberState note) {
    if (Double.isNaN(note.position())) {
      return note;
    }
    DatabaseClock.Verdict verdict = clock.hears(time.now(), note.role(), note.position());
    if (verdict == DatabaseClock.Verdict.IMPLAUSIBLE) {
      counters.add("notes_implausible");
      return AttemptEnd.MemberState.NONE;
    }
    if (verdict == DatabaseClock.Verdict.UNPROVEN) {
      counters.add("notes_unproven");
      return new AttemptEnd.MemberState(note.role(), Double.NaN);
    }
    if (verdict == DatabaseClock.Verdict.FOUND_AHEAD) {
      counters.add("database_clock_ahead");
      foundAhead.run();
    }
    return note;
  }
}
