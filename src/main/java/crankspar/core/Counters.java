package crankspar.core;

import java.util.Map;
import java.util.TreeMap;

/** Counters by name, read on demand and at exit. Confined to the event loop thread. */
public final class Counters {
  /** Names beyond this many are counted together: some are made of what a database sends. */
  static final int NAMES_MOST = 1024;

  static final String FURTHER_NAMES = "further_names";

  private final Map<String, long[]> counts = new TreeMap<>();

  public void add(String name) {
    add(name, 1);
  }

  public void add(String name, long n) {
    boolean room = counts.size() < NAMES_MOST || counts.containsKey(name);
    counts.computeIfAbsent(room ? name : FURTHER_NAMES, k -> new long[1])[0] += n;
  }

  public long get(String name) {
    long[] at = counts.get(name);
    return at == null ? 0 : at[0];
  }

  /** Returns a copy, sorted by name. */
  public Map<String, Long> all() {
    var copy = new TreeMap<String, Long>();
    counts.forEach((k, v) -> copy.put(k, v[0]));
    return copy;
  }

  @Override
  public String toString() {
    var text = new StringBuilder();
    counts.forEach(
        (k, v) -> text.append(text.isEmpty() ? "" : " ").append(k).append('=').append(v[0]));
    return text.toString();
  }
}
