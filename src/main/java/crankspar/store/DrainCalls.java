package crankspar.store;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operators' calls about one database, as an observed-remove set (Shapiro et al., 2011): a call
 * that takes it out adds an element, and a call that puts it back removes those elements that its
 * pooler has seen, and no other. The database is out while an element is left. So a yes to a call
 * that takes it out holds until a call back that was made knowing of it, in whatever order copies
 * arrive. Each writer, one life of a process, counts its own elements, and a later one replaces
 * those that its pooler has seen: two numbers a writer are the whole set. Immutable.
 */
final class DrainCalls {
  /** Prefix of the keys under which calls are kept, by database. */
  static final String KEY = "drain-calls/";

  /** Prefix of the marks that follow from the calls: a value while the database is out. */
  static final String MARK = "drain/";

  /**
   * Writers of whom something is remembered. Of more, removed elements are forgotten first: a copy
   * that comes very late then takes the database out again, which is the safe side.
   */
  static final int WRITERS_MOST = 32;

  /** Marks calls of releases that had no such set; their versions are their elements. */
  private static final String EARLIER = "~";

  /** The last element of a writer, and up to which they are removed. */
  private record Count(long added, long removed) {
    boolean out() {
      return added > removed;
    }

    Count join(Count other) {
      return new Count(Math.max(added, other.added), Math.max(removed, other.removed));
    }

    Count seen() {
      return new Count(added, Math.max(added, removed));
    }
  }

  private final Map<String, Count> counts;

  private DrainCalls(Map<String, Count> known) {
    counts = new TreeMap<>(known);
    while (counts.size() > WRITERS_MOST) {
      counts.remove(oldest());
    }
  }

  private String oldest() {
    return counts.entrySet().stream()
        .min(
            Comparator.comparing((Map.Entry<String, Count> e) -> e.getValue().out())
                .thenComparing(e -> e.getValue().added())
                .thenComparing(Map.Entry::getKey))
        .orElseThrow()
        .getKey();
  }

  /** Whether the database is out. */
  boolean out() {
    return counts.values().stream().anyMatch(Count::out);
  }

  /** After a call by this writer that takes the database out. */
  DrainCalls takeOut(String writer) {
    Map<String, Count> after = allRemoved();
    Count own = after.getOrDefault(writer, new Count(0, 0));
    after.put(writer, new Count(Math.max(own.added, own.removed) + 1, own.removed));
    return new DrainCalls(after);
  }

  /** After a call that puts it back, by a pooler that knows this much. */
  DrainCalls putBack() {
    return new DrainCalls(allRemoved());
  }

  private Map<String, Count> allRemoved() {
    var after = new TreeMap<String, Count>();
    counts.forEach((writer, count) -> after.put(writer, count.seen()));
    return after;
  }

  /** After this writer's own elements were taken back: its call was answered with a no. */
  DrainCalls withdraw(String writer) {
    if (!counts.containsKey(writer)) {
      return this;
    }
    var after = new TreeMap<>(counts);
    after.computeIfPresent(writer, (key, count) -> count.seen());
    return new DrainCalls(after);
  }

  /** After a mark by an earlier release, whose calls are known by their versions alone. */
  DrainCalls afterEarlierRelease(Store.Entry mark) {
    var after = new TreeMap<>(counts);
    if (mark.value() != null) {
      after.merge(EARLIER + mark.node(), new Count(mark.counter(), 0), Count::join);
    } else {
      after.replaceAll(
          (writer, count) ->
              writer.startsWith(EARLIER) && count.added < mark.counter() ? count.seen() : count);
    }
    return new DrainCalls(after);
  }

  /** What both know. */
  DrainCalls join(DrainCalls other) {
    var after = new TreeMap<>(counts);
    other.counts.forEach((writer, count) -> after.merge(writer, count, Count::join));
    return new DrainCalls(after);
  }

  /** A line for each writer: its last element, up to which they are removed, its name. */
  String text() {
    var text = new StringBuilder();
    counts.forEach(
        (writer, count) ->
            text.append(count.added)
                .append(' ')
                .append(count.removed)
                .append(' ')
                .append(writer)
                .append('\n'));
    return text.toString();
  }

  /** Reads what {@link #text} has written; null is no call. */
  static DrainCalls parse(String text) throws Store.Refused {
    var counts = new TreeMap<String, Count>();
    for (String line : text == null ? new String[0] : text.split("\n")) {
      String[] parts = line.split(" ", 3);
      if (parts.length < 3
          || !parts[0].matches("[0-9]{1,16}")
          || !parts[1].matches("[0-9]{1,16}")
          || counts.size() > WRITERS_MOST) {
        throw new Store.Refused("no calls about a database");
      }
      counts.put(parts[2], new Count(Long.parseLong(parts[0]), Long.parseLong(parts[1])));
    }
    return new DrainCalls(counts);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof DrainCalls calls && counts.equals(calls.counts);
  }

  @Override
  public int hashCode() {
    return counts.hashCode();
  }

  @Override
  public String toString() {
    return counts.toString();
  }
}
