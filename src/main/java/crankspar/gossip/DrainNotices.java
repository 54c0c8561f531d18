package crankspar.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which databases drain, from poolers whose watch at discovery stands to those that have none.
 * Guards against an overbooked discovery: a change counts as told 6 s after it was made, whatever
 * became of a call, and a service with more callers than it can answer turns the same ones away for
 * longer than that.
 *
 * <p>It is stepped with what happened and hands out what to do; it knows no clock, no socket and no
 * chance. Only a pooler that discovery has spoken to lately tells, all that its list names as
 * draining in one message; who comes first is heard by the others, that then need not. Only a
 * pooler to which discovery has not spoken lately acts on it: the own watch is always believed
 * before a peer. A word counts for {@link #HELD} ms, and only of what the own list names; it takes
 * a database out for so long and can do nothing else.
 */
public final class DrainNotices {
  /** The first byte of a message of theirs. */
  public static final byte FIRST = DrainNotice.VERSION;

  /**
   * Discovery says something each 2 s: after this (ms) without a word its watch is not taken to
   * stand.
   */
  static final double STANDS = 3000;

  /** What drains is told again after this (ms), for those that have started or missed it ... */
  static final double REPEAT = 1000;

  /**
   * ... by the first of the poolers, spread over this (ms) by their numbers: some datagrams cross
   * on their way.
   */
  static final double SPREAD = 400;

  /** How long (ms) a peer's word of a drain counts: three of its repeats may be lost. */
  static final double HELD = 5000;

  /** How far ahead a sender's clock may be, and how late a message may come (ms). */
  static final double AHEAD_MOST = 100;

  static final double LATE_MOST = 3000;

  public sealed interface Event {
    /** The list in force: all that it names, and those that drain by discovery's own word. */
    record Listed(Set<String> all, Set<String> draining) implements Event {}

    /** Discovery has said something: the list in force is the present one. */
    record Word() implements Event {}

    /** A peer's message, as it came. */
    record Told(byte[] message) implements Event {}

    /** Time has gone by. */
    record Look() implements Event {}
  }

  public sealed interface Effect {
    /** To all other poolers. */
    record Tell(byte[] message) implements Effect {}

    /** These drain, as peers say, and no others by their word. */
    record Drained(Set<String> ids) implements Effect {}
  }

  private final int me;
  private final double place;
  private final Map<Integer, String> listed = new HashMap<>();

  /** When a peer said last that this one drains. */
  private final Map<Integer, Double> said = new HashMap<>();

  /** Those that drain by the own list, and from when on each is to be told, or told again (ms). */
  private final Map<Integer, Double> due = new HashMap<>();

  private final Map<String, Long> counts = new TreeMap<>();
  private final List<Effect> effects = new ArrayList<>();
  private Set<String> drained = Set.of();
  private double word = Double.NEGATIVE_INFINITY;

  /** {@code me} is this pooler's number among all, below {@link GossipMessage#POOLERS_MOST}. */
  public DrainNotices(int me) {
    this.me = me;
    place = SPREAD * (Integer.remainderUnsigned((me + 1) * 0x9E3779B9, 1000) / 1000.0);
  }

  /** Messages told and heard, and what was dropped by why, since the start. */
  public Map<String, Long> counts() {
    return Map.copyOf(counts);
  }

  public List<Effect> step(double now, Event event) {
    effects.clear();
    if (event instanceof Event.Listed e) {
      listed(now, e);
    } else if (event instanceof Event.Word) {
      word = now;
    } else if (event instanceof Event.Told e) {
      told(now, e.message());
    }
    act(now);
    tell(now);
    return List.copyOf(effects);
  }

  /**
   * When it wants to be stepped with {@link Event.Look} at the latest; infinite where nothing is
   * due.
   */
  public double next(double now) {
    double next = Double.POSITIVE_INFINITY;
    if (stands(now)) {
      for (double at : due.values()) {
        next = Math.min(next, at + place);
      }
      next = said.isEmpty() ? next : Math.min(next, word + STANDS);
    }
    for (double at : said.values()) {
      next = Math.min(next, at + HELD);
    }
    return next;
  }

  private boolean stands(double now) {
    return now - word <= STANDS;
  }

  private void listed(double now, Event.Listed e) {
    listed.clear();
    e.all().forEach(id -> listed.merge(GossipMessage.key(id), id, (a, b) -> ""));
    listed.values().removeIf(String::isEmpty); // two of one key: neither is told or believed
    List<Integer> draining =
        e.draining().stream().map(GossipMessage::key).filter(listed::containsKey).toList();
    due.keySet().retainAll(draining);
    draining.forEach(k -> due.putIfAbsent(k, now));
    said.keySet().retainAll(listed.keySet());
  }

  private void told(double now, byte[] message) {
    DrainNotice n;
    try {
      n = DrainNotice.decode(message, now);
    } catch (GossipMessage.Malformed e) {
      count("drain_notices_dropped_" + e.getMessage());
      return;
    }
    if (n.from() == me || n.base() > now + AHEAD_MOST || n.base() < now - LATE_MOST) {
      count(
          "drain_notices_dropped_" + (n.from() == me ? "own" : n.base() > now ? "ahead" : "late"));
      return;
    }
    count("drain_notices_heard");
    for (int key : n.keys()) {
      if (listed.containsKey(key)) {
        said.merge(key, (double) n.base(), Math::max);
        due.computeIfPresent(key, (k, at) -> Math.max(at, now + REPEAT));
      }
    }
  }

  /** The own watch before any peer's word; without it, what was said lately. */
  private void act(double now) {
    said.values().removeIf(at -> now - at > HELD);
    var ids = new HashSet<String>();
    if (!stands(now)) {
      said.keySet().forEach(k -> ids.add(listed.get(k)));
    }
    if (!ids.equals(drained)) {
      drained = Set.copyOf(ids);
      count("drain_notices_acted_on");
      effects.add(new Effect.Drained(drained));
    }
  }

  private void tell(double now) {
    if (!stands(now) || due.values().stream().noneMatch(at -> now >= at + place)) {
      return;
    }
    // Who has waited for longest goes first, where not all have room.
    List<Integer> keys =
        due.entrySet().stream()
            .sorted(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .limit(DrainNotice.KEYS_MOST)
            .toList();
    keys.forEach(k -> due.put(k, now + REPEAT));
    count("drain_notices_told");
    effects.add(new Effect.Tell(new DrainNotice(me, (long) now, keys).encode()));
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }
}
