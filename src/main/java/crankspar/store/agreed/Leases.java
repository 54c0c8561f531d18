package crankspar.store.agreed;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Leases by name and number: each has one holder, a term that only grows, a count of renewals and
 * the keys that go with it.
 */
final class Leases {
  static final class Lease {
    final long number;
    final String name;
    String holder;
    long term, renewals;
    double ttl;
    boolean stands;
    final TreeSet<String> keys = new TreeSet<>();

    Lease(long number, String name) {
      this.number = number;
      this.name = name;
    }
  }

  private final TreeMap<Long, Lease> all = new TreeMap<>();
  private final Map<String, Lease> byName = new HashMap<>();
  private long last;

  int size() {
    return all.size();
  }

  Collection<Lease> all() {
    return all.values();
  }

  Lease named(String name) {
    return byName.get(name);
  }

  /** The lease that stands under this number, or null. */
  Lease standing(long number) {
    Lease l = all.get(number);
    return l != null && l.stands ? l : null;
  }

  /** The same where its term is this one. */
  Lease standing(long number, long term) {
    Lease l = standing(number);
    return l != null && l.term == term ? l : null;
  }

  /**
   * Its holder, or this one where nobody holds it: with the next term. A holder that asks again,
   * after a restart, has a new term too, so that nothing that it sent before counts any more.
   */
  Lease acquire(String name, String holder, double ttl) {
    Lease l = byName.get(name);
    if (l == null) {
      l = put(new Lease(++last, name));
    }
    if (!l.stands || l.holder.equals(holder)) {
      l.stands = true;
      l.holder = holder;
      l.ttl = ttl;
      l.term++;
      l.renewals++;
    }
    return l;
  }

  /** A name is kept with its last term, so that a term is never given twice. */
  void end(Lease l) {
    l.stands = false;
    l.keys.clear();
  }

  Lease put(Lease l) {
    all.put(l.number, l);
    byName.put(l.name, l);
    last = Math.max(last, l.number);
    return l;
  }
}
