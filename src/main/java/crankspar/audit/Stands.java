package crankspar.audit;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.audit.Stand.Origin;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Numbers a pooler's stands: it is stepped with what happened and hands out the new stand, or null
 * where nothing changed. It knows no clock. The last {@link #KEPT} are kept.
 */
public final class Stands {
  /** What may change a stand. */
  public sealed interface Event {
    record Configured(String text, Origin origin) implements Event {}

    /** Discovery is heard at this address from now on. */
    record Discovery(String address, Origin origin) implements Event {}

    /** The list as it is now in force, whole. */
    record Listed(long revision, Collection<Member> members, Origin origin) implements Event {}

    /** The ids that operators have marked, and the place of the last change. */
    record Marked(long place, Collection<String> ids, Origin origin) implements Event {}

    /** A database has told that it is primary as of a position. */
    record Primary(int group, String member, double position) implements Event {}
  }

  private static final class Named {
    String member;
    double position;
  }

  static final int KEPT = 256;

  /** Groups whose primary is remembered; a site has some dozens. */
  static final int GROUPS_MOST = 4096;

  private final ArrayDeque<Stand> kept = new ArrayDeque<>();
  private final Map<Integer, Named> primaries = new HashMap<>();
  private Stand now;

  public Stands(double at, String build) {
    now = new Stand(1, at, Origin.START, build, 0, 0, "", 1, 0, 0, 0, 0, 0);
    kept.add(now);
  }

  public Stand now() {
    return now;
  }

  /** The kept ones, oldest first. */
  public List<Stand> all() {
    return List.copyOf(kept);
  }

  /** The new stand, or null where this changes none. */
  public Stand step(double at, Event event) {
    Stand s = now;
    if (event instanceof Event.Configured e) {
      int hash = e.text().hashCode();
      return hash == s.configuration()
          ? null
          : next(
              at,
              e.origin(),
              hash,
              s.generation() + 1,
              s.discovery(),
              s.epoch(),
              s.revision(),
              s.content(),
              s.marks(),
              s.marked(),
              s.primaries());
    }
    if (event instanceof Event.Discovery e) {
      return e.address().equals(s.discovery())
          ? null
          : next(
              at,
              e.origin(),
              s.configuration(),
              s.generation(),
              e.address(),
              s.epoch() + (s.discovery().isEmpty() ? 0 : 1),
              s.revision(),
              s.content(),
              s.marks(),
              s.marked(),
              s.primaries());
    }
    if (event instanceof Event.Listed e) {
      int content = content(e.members());
      // A lower number than before: discovery counts anew, or another answers in its place.
      int epoch = e.revision() < s.revision() ? s.epoch() + 1 : s.epoch();
      return e.revision() == s.revision() && content == s.content()
          ? null
          : next(
              at,
              e.origin(),
              s.configuration(),
              s.generation(),
              s.discovery(),
              epoch,
              e.revision(),
              content,
              s.marks(),
              s.marked(),
              s.primaries());
    }
    if (event instanceof Event.Marked e) {
      int marked = new TreeSet<>(e.ids()).hashCode();
      return marked == s.marked()
          ? null
          : next(
              at,
              e.origin(),
              s.configuration(),
              s.generation(),
              s.discovery(),
              s.epoch(),
              s.revision(),
              s.content(),
              e.place(),
              marked,
              s.primaries());
    }
    var e = (Event.Primary) event;
    Named known = primaries.get(e.group());
    if (holds(e.group(), e.member(), e.position())
        || known != null && !(e.position() > known.position)
        || known == null && primaries.size() >= GROUPS_MOST) {
      return null;
    }
    Named named = known == null ? new Named() : known;
    named.member = e.member();
    named.position = e.position();
    primaries.put(e.group(), named);
    return next(
        at,
        Origin.DISCOVERY,
        s.configuration(),
        s.generation(),
        s.discovery(),
        s.epoch(),
        s.revision(),
        s.content(),
        s.marks(),
        s.marked(),
        primaries().hashCode());
  }

  /**
   * Whether it is known already that this one is primary, as at nearly every answer: its position
   * is taken, and no object is made.
   */
  public boolean holds(Integer group, String member, double position) {
    Named known = primaries.get(group);
    if (known == null || !known.member.equals(member)) {
      return false;
    }
    known.position = Math.max(known.position, position);
    return true;
  }

  /** Who is primary by group, as the newest position has it. */
  public Map<Integer, String> primaries() {
    var all = new TreeMap<Integer, String>();
    primaries.forEach((g, n) -> all.put(g, n.member));
    return all;
  }

  private Stand next(
      double at,
      Origin origin,
      int configuration,
      int generation,
      String discovery,
      int epoch,
      long revision,
      int content,
      long marks,
      int marked,
      int primaries) {
    now =
        new Stand(
            now.number() + 1,
            at,
            origin,
            now.build(),
            configuration,
            generation,
            discovery,
            epoch,
            revision,
            content,
            marks,
            marked,
            primaries);
    kept.add(now);
    if (kept.size() > KEPT) {
      kept.poll();
    }
    return now;
  }

  /**
   * The same at every pooler for the same list, whatever the order and the addresses: addresses may
   * vary from one pooler to the next.
   */
  public static int content(Collection<Member> members) {
    int sum = 0;
    for (Member m : members) {
      if (m.health() != Health.GONE) {
        int h =
            31 * (31 * m.id().hashCode() + m.health().ordinal()) + Double.hashCode(m.lastStart());
        h *= 0x9E3779B9;
        sum += h ^ h >>> 15;
      }
    }
    return sum;
  }
}
