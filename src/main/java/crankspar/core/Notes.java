package crankspar.core;

/** What answers tell of their members, if it can be true. */
final class Notes {
  /** How far (ms) two clocks and their roundings may differ. */
  private static final double AHEAD_MOST = 100;

  private final Ports.Time time;
  private final Counters counters;

  Notes(Ports.Time time, Counters counters) {
    this.time = time;
    this.counters = counters;
  }

  /**
   * A note whose position lies ahead of the clock that all machines share is noise, whichever wire
   * brought it. Guards against stale reads: believed once, it would pass its member through the
   * gate for good.
   */
  AttemptEnd.Note plausible(AttemptEnd.Note note) {
    if (Double.isNaN(note.position())
        || note.position() > 0 && note.position() < time.now() + AHEAD_MOST) {
      return note;
    }
    counters.add("notes_implausible");
    return AttemptEnd.Note.NONE;
  }
}
