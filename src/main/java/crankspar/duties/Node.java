package crankspar.duties;

import crankspar.membership.Packet;
import crankspar.membership.Packet.Kind;
import crankspar.membership.Packet.Share;
import crankspar.membership.Seal;
import crankspar.membership.Swim;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One instance: membership and duties as one state machine over datagrams. Each datagram carries
 * what of both fits. The same class runs in the daemon, in the model and in the tests; time, chance
 * and the clock's seconds are arguments.
 */
public final class Node {
  /** What follows a step. */
  public sealed interface Effect {
    record Send(int to, byte[] bytes) implements Effect {}

    record Duty(Duties.Effect what) implements Effect {}
  }

  /** Why datagrams were dropped, by the names of their counters. */
  public static final class Drops {
    public long seal, malformed, list, stale, replayed, unknown;

    public long all() {
      return seal + malformed + list + stale + replayed + unknown;
    }
  }

  /**
   * At most so many are told at once, however many there are: what an instance sends does not grow
   * with their number.
   */
  private static final int FANOUT = 4;

  /** Rounds of gossip are this far apart (ms) at least. */
  private static final double ROUND = 12;

  /** A datagram whose sender's clock is further from ours (s) is from another time. */
  private static final int CLOCKS_MOST = 10;

  private static final int WINDOW = 64;

  /**
   * What a path takes (ms) while it has not been measured: rather too long, as no result may look
   * fresher than it is.
   */
  private static final double PATH = 25;

  private static final class Window {
    boolean any;
    int newest;
    long seen;

    /**
     * Whether this number is new: numbers of a restart begin where the clock is, and so are higher.
     */
    boolean fresh(int seq) {
      int ahead = seq - newest;
      if (!any || ahead > 0) {
        seen = !any || ahead >= WINDOW ? 1 : seen << ahead | 1;
        newest = seq;
        any = true;
        return true;
      }
      if (-ahead >= WINDOW || (seen >>> -ahead & 1) == 1) {
        return false;
      }
      seen |= 1L << -ahead;
      return true;
    }
  }

  private final Swim swim;
  private final Duties duties;
  private final int list;
  private final int zone;
  private final int weight;
  private Seal seal;
  private final Map<Integer, Window> windows = new HashMap<>();
  private final Drops drops = new Drops();
  private int seq;
  private long version = -1;
  private double lastRound = Double.NEGATIVE_INFINITY;
  private long sent, received;

  /**
   * {@code list} is a hash of the list of peers; {@code seq} begins at the clock's, so that a
   * restart's are higher.
   */
  public Node(Swim swim, Duties duties, Seal seal, int list, int zone, int weight, int seq) {
    this.swim = swim;
    this.duties = duties;
    this.seal = seal;
    this.list = list & 0xffff;
    this.zone = zone;
    this.weight = weight;
    this.seq = seq;
  }

  public static Node of(
      Swim.Settings swim,
      Duties.Settings duties,
      int me,
      int members,
      int incarnation,
      int zone,
      int weight,
      Seal seal,
      int list,
      int seq,
      RandomGenerator chance) {
    return new Node(
        new Swim(swim, me, members, incarnation, zone, weight, chance),
        new Duties(duties, me, zone, weight),
        seal,
        list,
        zone,
        weight,
        seq);
  }

  public Swim swim() {
    return swim;
  }

  public Duties duties() {
    return duties;
  }

  public Drops drops() {
    return drops;
  }

  public long sent() {
    return sent;
  }

  public long received() {
    return received;
  }

  /** Changed keys hold from the next datagram on. */
  public void seal(Seal seal) {
    this.seal = seal;
  }

  /** Called every few ms. */
  public List<Effect> tick(double now, int seconds) {
    var effects = new ArrayList<Effect>();
    send(swim.tick(now), now, seconds, effects);
    look();
    duties.tick(now).forEach(e -> effects.add(new Effect.Duty(e)));
    gossip(now, seconds, effects);
    return effects;
  }

  /** A probe that was asked for has ended. */
  public List<Effect> probed(
      double now, int seconds, String id, boolean ok, int role, long position, double startedAt) {
    var effects = new ArrayList<Effect>();
    duties
        .probed(now, id, ok, role, position, startedAt)
        .forEach(e -> effects.add(new Effect.Duty(e)));
    gossip(now, seconds, effects);
    return effects;
  }

  /** A datagram; what does not check out is dropped and counted. */
  public List<Effect> received(double now, int seconds, byte[] bytes, int length) {
    int n = seal.open(bytes, length);
    if (n < 0) {
      drops.seal++;
      return List.of();
    }
    Packet p;
    try {
      p = Packet.decode(bytes, n);
    } catch (Packet.Malformed e) {
      drops.malformed++;
      return List.of();
    }
    if (p.list() != list) {
      drops.list++;
    } else if (p.from() >= swim.size() || p.from() == swim.me()) {
      drops.unknown++;
    } else if (Math.abs(p.seconds() - seconds) > CLOCKS_MOST) {
      drops.stale++;
    } else if (!windows.computeIfAbsent(p.from(), k -> new Window()).fresh(p.seq())) {
      drops.replayed++;
    } else {
      received++;
      return take(now, seconds, p);
    }
    return List.of();
  }

  private List<Effect> take(double now, int seconds, Packet p) {
    var effects = new ArrayList<Effect>();
    send(swim.received(now, p), now, seconds, effects);
    look();
    double path = swim.path(p.from());
    for (Share s : p.shares()) {
      if (s.by() < swim.size()) {
        duties
            .heard(now, s, Double.isNaN(path) ? PATH : path)
            .forEach(e -> effects.add(new Effect.Duty(e)));
      }
    }
    gossip(now, seconds, effects);
    return effects;
  }

  /** Goes: all that live hear it at once, twice, as the first may be lost. */
  public List<Effect> leave(double now, int seconds) {
    var effects = new ArrayList<Effect>();
    List<Swim.Send> word = swim.leave(now);
    send(word, now, seconds, effects);
    send(word, now, seconds, effects);
    return effects;
  }

  /** The living may have changed. */
  private void look() {
    if (version != swim.version()) {
      version = swim.version();
      duties.living(
          swim.living().stream()
              .map(m -> new Duties.Living(m, swim.zone(m), swim.weight(m)))
              .toList());
    }
  }

  private void gossip(double now, int seconds, List<Effect> effects) {
    if (now - lastRound < ROUND || !duties.hasShares() && !swim.hasNews()) {
      return;
    }
    lastRound = now;
    for (int to : swim.some(FANOUT, -1)) {
      if (duties.hasShares() || swim.hasNews()) {
        send(List.of(new Swim.Send(to, Kind.GOSSIP, swim.me(), 0)), now, seconds, effects);
      }
    }
  }

  private void send(List<Swim.Send> all, double now, int seconds, List<Effect> effects) {
    for (Swim.Send s : all) {
      var news = swim.news(s.to(), 6);
      var p =
          new Packet(
              s.kind(),
              swim.me(),
              swim.incarnation(),
              ++seq,
              seconds,
              list,
              zone,
              weight,
              s.target(),
              s.call(),
              news,
              duties.shares(now, Packet.room(news.size())));
      sent++;
      effects.add(new Effect.Send(s.to(), seal.seal(p.encode())));
    }
  }
}
