package crankspar.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A small replicated map of versioned values: configuration, the last known members, the operator's
 * drain marks. The last writer wins, by (counter, node), so that all nodes come to hold the same
 * whatever the order in which they hear; calls about databases are joined instead ({@link
 * EntryResolution}). It is eventually consistent. It lives on the loop.
 */
public final class Store {
  /** A value is removed by writing a null, which is kept so that the removal travels too. */
  public record Entry(String key, String value, long counter, String node) {
    boolean newerThan(Entry other) {
      return other == null
          || counter > other.counter
          || counter == other.counter && node.compareTo(other.node) > 0;
    }
  }

  /** One page of changes and where the next begins. */
  public record Page(List<Entry> entries, long next, boolean more) {}

  /** A write that the store does not take. */
  public static final class Refused extends Exception {
    Refused(String message) {
      super(message);
    }
  }

  static final int KEY_MOST = 200;
  static final int VALUE_MOST = 64 * 1024;
  static final int ENTRIES_MOST = 4096;
  static final int BYTES_MOST = 4 << 20;

  /** A counter that no node reaches by counting: one beyond it is no version. */
  static final long COUNTER_MOST = 1L << 53;

  private final String node;
  private final String writer;
  private final Map<String, Entry> entries = new TreeMap<>();

  /** The local order of changes: a peer asks for what came after a place in it. */
  private final TreeMap<Long, String> order = new TreeMap<>();

  private final Map<String, Long> places = new TreeMap<>();
  private final List<Consumer<Entry>> listeners = new ArrayList<>();
  private long place;
  private long counter;
  private long bytes;

  public Store(String node) {
    this(node, node);
  }

  /**
   * Two processes of one node, while one replaces the other, sign their versions apart: else some
   * would tie.
   */
  public Store(String node, String writer) {
    this.node = node;
    this.writer = writer;
  }

  public String node() {
    return node;
  }

  /** Who signs this process's versions. */
  String writer() {
    return writer;
  }

  public String get(String key) {
    Entry e = entries.get(key);
    return e == null ? null : e.value();
  }

  public Collection<Entry> all() {
    return entries.values();
  }

  /** Entries whose keys begin so, in their order, removed ones left out. */
  public Map<String, String> under(String prefix) {
    var found = new TreeMap<String, String>();
    entries.forEach(
        (k, e) -> {
          if (k.startsWith(prefix) && e.value() != null) {
            found.put(k.substring(prefix.length()), e.value());
          }
        });
    return found;
  }

  /** Whether operators' calls about a database are kept under this key. */
  public static boolean isDrainCall(String key) {
    return key.startsWith(DrainCalls.KEY);
  }

  /** Called with each entry that is new here, whoever wrote it. */
  public void onChange(Consumer<Entry> listener) {
    listeners.add(listener);
  }

  /**
   * A write of this node's own; one that changes nothing makes no new version. A write of a drain's
   * mark is an operator's call.
   */
  public void put(String key, String value) throws Refused {
    checkWritable(key);
    acceptAll(resolution().changed(new Change(key, value)));
  }

  /**
   * Calls about a database are made by writing its mark: what is kept of them follows from that.
   */
  private static void checkWritable(String key) throws Refused {
    if (isDrainCall(key)) {
      throw new Refused("follows from calls, write " + DrainCalls.MARK + "ID: " + key);
    }
  }

  private EntryResolution resolution() {
    return new EntryResolution(node, writer, entries::get, counter);
  }

  /** Whether a write of this node's own would be taken now. */
  void check(Change change) throws Refused {
    checkWritable(change.key());
    added(new Entry(change.key(), change.value(), counter + 1, writer));
  }

  /** By how many bytes the store would grow with an entry that it can take. */
  private long added(Entry e) throws Refused {
    if (e.key().isEmpty()
        || e.key().length() > KEY_MOST
        || e.node().isEmpty()
        || e.node().length() > KEY_MOST
        || e.counter() < 1
        || e.counter() > COUNTER_MOST) {
      throw new Refused("no key or no version: " + e.key());
    }
    Entry old = entries.get(e.key());
    long size = size(e) - (old == null ? 0 : size(old));
    if (e.value() != null && e.value().length() > VALUE_MOST
        || bytes + size > BYTES_MOST
        || old == null && entries.size() >= ENTRIES_MOST) {
      throw new Refused("no room for " + e.key());
    }
    return size;
  }

  /**
   * Takes an entry, from here or a peer, if it tells more than what is held.
   *
   * @return whether anything has changed
   */
  public boolean take(Entry e) throws Refused {
    List<Entry> results = resolution().heard(e);
    if (results.isEmpty()) {
      return false;
    }
    added(e);
    acceptAll(results);
    return true;
  }

  /** All of them or, where there is no room for one, none. */
  private void acceptAll(List<Entry> results) throws Refused {
    long more = 0;
    long newKeys = results.stream().filter(e -> !entries.containsKey(e.key())).count();
    for (Entry e : results) {
      more += added(e);
    }
    if (bytes + more > BYTES_MOST || entries.size() + newKeys > ENTRIES_MOST) {
      throw new Refused("no room for " + results.get(0).key());
    }
    for (Entry e : results) {
      accept(e, added(e));
    }
  }

  private void accept(Entry e, long growth) {
    bytes += growth;
    counter = Math.max(counter, e.counter());
    entries.put(e.key(), e);
    Long before = places.put(e.key(), ++place);
    if (before != null) {
      order.remove(before);
    }
    order.put(place, e.key());
    listeners.forEach(l -> l.accept(e));
  }

  private static long size(Entry e) {
    return 64 + 2L * (e.key().length() + (e.value() == null ? 0 : e.value().length()));
  }

  /** Changes after a place in this node's order. */
  public Page since(long after, int limit) {
    var page = new ArrayList<Entry>();
    long next = after;
    for (Map.Entry<Long, String> e : order.tailMap(after, false).entrySet()) {
      if (page.size() == limit) {
        return new Page(page, next, true);
      }
      page.add(entries.get(e.getValue()));
      next = e.getKey();
    }
    return new Page(page, next, false);
  }

  /** What a snapshot held: old news lose to newer as always. */
  public void load(Collection<Entry> saved) throws IOException {
    for (Entry e : saved) {
      try {
        take(e);
      } catch (Refused refused) {
        throw new IOException(refused.getMessage());
      }
    }
  }
}
