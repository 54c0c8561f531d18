package crankspar.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Merges versions of the same entries: of each key the newest version counts. */
final class EntryMerge {
  private EntryMerge() {}

  /**
   * What two processes hold, with changes on top that are newer than all of it; the oldest version
   * first. A change to the value that a key has already makes no new version.
   */
  static List<Store.Entry> merge(
      Collection<Store.Entry> theirs,
      Collection<Store.Entry> ours,
      List<Change> changes,
      String writer) {
    Map<String, Store.Entry> newest = new LinkedHashMap<>();
    long counter = 0;
    for (Collection<Store.Entry> side : List.of(theirs, ours)) {
      for (Store.Entry e : side) {
        newest.merge(e.key(), e, (a, b) -> b.newerThan(a) ? b : a);
        counter = Math.max(counter, e.counter());
      }
    }
    for (Change change : changes) {
      Store.Entry present = newest.get(change.key());
      boolean same =
          present == null
              ? change.value() == null
              : Objects.equals(present.value(), change.value());
      if (!same) {
        newest.put(change.key(), new Store.Entry(change.key(), change.value(), ++counter, writer));
      }
    }
    var merged = new ArrayList<>(newest.values());
    merged.sort(Comparator.comparingLong(Store.Entry::counter));
    return merged;
  }
}
