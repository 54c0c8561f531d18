package crankspar.duties;

import crankspar.membership.Packet.Share;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;

/**
 * Who probes which database, and when. Each database is one duty with a lease: a holder and an
 * epoch. The holder should be the first of the living by weighted rendezvous hashing, those of the
 * database's own zone before all others, and probes once a period. Everybody hears the results; who
 * has heard none for too long probes by itself and takes the lease with a higher epoch, the next in
 * order first. So a death costs no wait for its discovery, and a hand-over has no gap. Two that
 * both believe that they hold a duty do no harm: each probe, whoever made it, puts off the next
 * one, and the higher epoch wins with the first result that is heard. Times are ms; nothing here
 * knows a clock, a socket or chance.
 */
public final class Duties {
  /**
   * Times in ms.
   *
   * @param every each database is probed once in this
   * @param slack how long a result may take to everybody
   * @param step what one rank in order waits longer than another half as far down
   */
  public record Settings(double every, double slack, double step) {
    public static final Settings DEFAULT = new Settings(150, 110, 45);
  }

  /** A member of the living. */
  public record Living(int member, int zone, int weight) {}

  /** What a probe has told; {@code probedAt} is when it left, on this instance's clock. */
  public record Result(
      String id, int by, int number, double probedAt, boolean ok, int role, long position) {}

  /** What follows. */
  public sealed interface Effect {
    /** Probe it now, and say how it went with {@link Duties#probed}. */
    record Probe(String id) implements Effect {}

    /** For this instance's module. */
    record Heard(Result result) implements Effect {}
  }

  /**
   * After a lost lease this long passes before it is claimed again while its holder does its work.
   */
  private static final double YIELD = 1000;

  /** Who cannot reach a database is last in its order for so long. */
  private static final double UNREACHED = 2000;

  /** A probe that tells nothing for so long counts as failed. */
  private static final double PATIENCE = 250;

  /** After a tick that late this instance first listens for {@link Settings#slack}. */
  private static final double STALL = 150;

  private static final class Duty {
    final String id;
    final int key;
    int zone;
    int holder = -1, epoch;
    double since; // last probe, or try, by anybody
    double out = Double.NaN; // since when a probe of ours is out
    double claimAfter;
    Result last;
    int epochOfLast, left, number;
    final Map<Integer, Double> unreached = new HashMap<>(2);
    long ranked = -1;
    int rank;

    Duty(String id, double now) {
      this.id = id;
      key = key(id);
      since = now;
    }
  }

  private final Settings settings;
  private final int me;
  private final int myZone;
  private final int myWeight;
  private final Map<String, Duty> duties = new LinkedHashMap<>();
  private final Map<Integer, Duty> byKey = new HashMap<>();
  private List<Living> living = List.of();
  private long view;
  private double lastTick = Double.NaN, listenUntil;
  private long probes, takeovers, handed;

  public Duties(Settings settings, int me, int myZone, int myWeight) {
    this.settings = settings;
    this.me = me;
    this.myZone = myZone;
    this.myWeight = myWeight;
  }

  /** A database on the wire. */
  public static int key(String id) {
    return (int) LongHashFunction.xx3().hashChars(id);
  }

  public long probes() {
    return probes;
  }

  /** Leases taken because nothing was heard. */
  public long takeovers() {
    return takeovers;
  }

  /** Leases taken because this instance had come to be first in order. */
  public long handed() {
    return handed;
  }

  public int size() {
    return duties.size();
  }

  public long held() {
    return duties.values().stream().filter(d -> d.holder == me).count();
  }

  /** Who holds a duty by this instance's word, or -1. */
  public int holder(String id) {
    return duties.containsKey(id) ? duties.get(id).holder : -1;
  }

  public int epoch(String id) {
    return duties.containsKey(id) ? duties.get(id).epoch : 0;
  }

  /** The newest result known of a database, or null. */
  public Result last(String id) {
    return duties.containsKey(id) ? duties.get(id).last : null;
  }

  /** The databases there are, with their zones. */
  public void databases(double now, Map<String, Integer> zones) {
    duties
        .keySet()
        .removeIf(
            id -> {
              boolean gone = !zones.containsKey(id);
              if (gone) {
                byKey.remove(duties.get(id).key);
              }
              return gone;
            });
    zones.forEach(
        (id, zone) -> {
          Duty d = duties.computeIfAbsent(id, k -> new Duty(k, now));
          d.zone = zone;
          d.ranked = -1;
          byKey.put(d.key, d);
        });
  }

  /** Who lives, this instance among them. */
  public void living(Collection<Living> members) {
    living = List.copyOf(members);
    view++;
  }

  // ---- Order.
  /** How many of the living come before this instance for a duty. */
  private int rank(Duty d, double now) {
    boolean changed = d.unreached.values().removeIf(until -> until <= now);
    if (d.ranked != view || changed) {
      d.ranked = view;
      double mine = score(d, me, myZone, myWeight);
      int before = 0;
      for (Living l : living) {
        before += l.member() != me && score(d, l.member(), l.zone(), l.weight()) > mine ? 1 : 0;
      }
      d.rank = before;
    }
    return d.rank;
  }

  /** Weighted rendezvous hashing; nearness and reach go before chance. */
  private double score(Duty d, int member, int zone, int weight) {
    long hash = LongHashFunction.xx3(member).hashLong(d.key);
    double u = ((hash >>> 11) + 0.5) / (1L << 53);
    double chance = -Math.max(1, weight) / Math.log(u); // never over 255 / 1e-16
    double share = chance / (chance + 1); // 0 to 1, the same order
    return share + (zone == d.zone ? 2 : 0) - (d.unreached.containsKey(member) ? 4 : 0);
  }

  // ---- Time.
  public List<Effect> tick(double now) {
    if (!Double.isNaN(lastTick) && now - lastTick > STALL) {
      listenUntil = now + settings.slack(); // it stood still: what it holds may be another's by now
    }
    lastTick = now;
    var effects = new ArrayList<Effect>();
    for (Duty d : duties.values()) {
      if (!Double.isNaN(d.out) && now - d.out > PATIENCE) {
        effects.addAll(probed(now, d.id, false, 0, 0, d.out));
      }
      if (Double.isNaN(d.out) && now - d.since >= wait(d, now) && now >= listenUntil) {
        begin(d, now, effects);
      }
    }
    return effects;
  }

  private double wait(Duty d, double now) {
    int rank = rank(d, now);
    if (d.holder == me) {
      return settings.every() + (rank == 0 ? 0 : settings.slack() / 2);
    }
    if (rank == 0 && now >= d.claimAfter) {
      return settings.every();
    }
    return settings.every() + settings.slack() + settings.step() * Math.log(1 + rank) / Math.log(2);
  }

  private void begin(Duty d, double now, List<Effect> effects) {
    if (d.holder != me) {
      boolean first = rank(d, now) == 0;
      handed += first ? 1 : 0;
      takeovers += first ? 0 : 1;
      d.holder = me;
      d.epoch++;
    }
    d.out = d.since = now;
    probes++;
    effects.add(new Effect.Probe(d.id));
  }

  // ---- Results.
  /** A probe of ours has ended; {@code startedAt} is when it left. */
  public List<Effect> probed(
      double now, String id, boolean ok, int role, long position, double startedAt) {
    Duty d = duties.get(id);
    if (d == null || Double.isNaN(d.out)) {
      return List.of();
    }
    d.out = Double.NaN;
    if (!ok) {
      unreached(d, me, now);
    }
    var result = new Result(id, me, d.number = d.number + 1 & 0xff, startedAt, ok, role, position);
    keep(d, result, d.epoch);
    return List.of(new Effect.Heard(result));
  }

  /**
   * Another's result, after a path of so many ms; it is as old as it was told to be, and its path
   * older.
   */
  public List<Effect> heard(double now, Share s, double path) {
    Duty d = byKey.get(s.key());
    if (d == null || s.by() == me) {
      return List.of();
    }
    // The same probe on another way round only looks fresher, by what its paths were taken for too
    // short.
    boolean again =
        d.last != null
            && d.last.by() == s.by()
            && d.last.number() == s.number()
            && d.epochOfLast == s.epoch();
    double probedAt = now - s.age() - path;
    boolean fresher = !again && (d.last == null || probedAt > d.last.probedAt() + 1);
    if (s.epoch() > d.epoch || s.epoch() == d.epoch && s.by() > d.holder && d.holder != s.by()) {
      if (d.holder == me) {
        d.claimAfter = now + YIELD;
      }
      d.holder = s.by();
      d.epoch = s.epoch();
    }
    if (!fresher) {
      return List.of();
    }
    d.since = Math.max(d.since, probedAt);
    if (!s.ok()) {
      unreached(d, s.by(), now);
    }
    var result = new Result(d.id, s.by(), s.number(), probedAt, s.ok(), s.role(), s.position());
    keep(d, result, s.epoch());
    return s.ok() ? List.of(new Effect.Heard(result)) : List.of();
  }

  private void unreached(Duty d, int member, double now) {
    if (d.unreached.put(member, now + UNREACHED) == null) {
      d.ranked = -1;
    }
  }

  private void keep(Duty d, Result result, int epoch) {
    d.last = result;
    d.epochOfLast = epoch;
    d.left = 2 + 32 - Integer.numberOfLeadingZeros(Math.max(1, living.size()));
  }

  /** Whether results are still to be told. */
  public boolean hasShares() {
    for (Duty d : duties.values()) {
      if (d.left > 0) {
        return true;
      }
    }
    return false;
  }

  /** Results for one datagram: those that were told least, then the newest. */
  public List<Share> shares(double now, int most) {
    var due = new ArrayList<Duty>();
    for (Duty d : duties.values()) {
      if (d.left > 0) {
        due.add(d);
      }
    }
    due.sort(
        (a, b) ->
            a.left != b.left
                ? b.left - a.left
                : Double.compare(b.last.probedAt(), a.last.probedAt()));
    var all = new ArrayList<Share>(Math.min(most, due.size()));
    for (Duty d : due.subList(0, Math.min(most, due.size()))) {
      d.left--;
      all.add(
          new Share(
              d.key,
              d.last.by(),
              d.epochOfLast,
              d.last.number(),
              (int) Math.ceil(now - d.last.probedAt()),
              d.last.ok(),
              d.last.role(),
              d.last.position()));
    }
    return all;
  }

  /**
   * Its module wants to know of a database: what is known and no older than a period, or null while
   * it will come by itself.
   */
  public Result wanted(double now, String id) {
    Duty d = duties.get(id);
    return d != null && d.last != null && d.last.ok() && now - d.last.probedAt() <= settings.every()
        ? d.last
        : null;
  }

  /** Whether a database is a duty at all. */
  public boolean covers(String id) {
    return duties.containsKey(id);
  }
}
