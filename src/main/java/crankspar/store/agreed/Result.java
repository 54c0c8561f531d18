package crankspar.store.agreed;

import java.util.List;

/** What a command came to; the same at every member, and again for a repeat. */
public sealed interface Result {
  /**
   * Done; {@code revision} is the one that it made, or the present one where it changed nothing.
   */
  record Done(long revision) implements Result {}

  /**
   * Nothing was done: this condition, by its place, did not hold; the key was last written at that
   * revision (0: it is not there).
   */
  record Unmet(int condition, long revision) implements Result {}

  /** Who holds the lease now, and under which number and term. */
  record Held(long lease, long term, String holder, boolean yours) implements Result {}

  record Refused(Refusal why) implements Result {}

  /** One key's change; {@code value} is null where it is gone. */
  record Change(String key, String value) {}

  /** All changes of one revision, which belong together. */
  record Revision(long number, List<Change> changes) {}
}
