package crankspar.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/** Merges versions of the same entries, as {@link EntryResolution} decides. */
final class EntryMerge {
  private static final Logger LOG = Logger.getLogger(EntryMerge.class.getName());

  private final Map<String, Store.Entry> newest = new LinkedHashMap<>();
  private final String node;
  private final String writer;
  private long counter;

  private EntryMerge(String node, String writer) {
    this.node = node;
    this.writer = writer;
  }

  /** Changes that are made on top of what is merged. */
  record Changes(List<Change> changes, boolean restores) {
    static final Changes NONE = new Changes(List.of(), false);
  }

  /**
   * What two processes hold, with changes on top that know of all of it; the oldest version first.
   */
  static List<Store.Entry> merge(
      Collection<Store.Entry> theirs,
      Collection<Store.Entry> ours,
      Changes changes,
      String node,
      String writer) {
    var merge = new EntryMerge(node, writer);
    for (Collection<Store.Entry> side : List.of(theirs, ours)) {
      for (Store.Entry e : side) {
        merge.hear(e);
      }
    }
    for (Change change : changes.changes()) {
      EntryResolution on = merge.resolution();
      merge.replace(changes.restores() ? on.restored(change) : on.changed(change));
    }
    return merge.oldestFirst();
  }

  private void hear(Store.Entry e) {
    counter = Math.max(counter, e.counter());
    try {
      replace(resolution().heard(e));
    } catch (Store.Refused refused) {
      LOG.warning("an entry of the local state is left out: " + e.key() + ", " + refused);
    }
  }

  private EntryResolution resolution() {
    return new EntryResolution(node, writer, newest::get, counter);
  }

  private void replace(List<Store.Entry> entries) {
    for (Store.Entry e : entries) {
      newest.put(e.key(), e);
      counter = Math.max(counter, e.counter());
    }
  }

  private List<Store.Entry> oldestFirst() {
    var merged = new ArrayList<>(newest.values());
    merged.sort(Comparator.comparingLong(Store.Entry::counter));
    return merged;
  }
}
