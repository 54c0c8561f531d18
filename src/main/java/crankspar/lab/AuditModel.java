package crankspar.lab;

import crankspar.audit.Digest;
import crankspar.audit.Gossip;
import crankspar.audit.Standing;
import crankspar.audit.StandingSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/**
 * Stragglers among up to hundreds of poolers in a deterministic model: the daemon's own {@link
 * Standing}, {@link Gossip} and {@link Digest}, a discovery that tells changes and says something
 * every 2 s, datagrams that are lost, late and out of order, and clocks that are apart. A broken
 * promise names its seed.
 */
public final class AuditModel extends Timeline {
  /**
   * The fleet of one play and what its network does.
   *
   * @param loss share of datagrams; delays (ms) are the brief's between poolers; clocks are apart
   *     by up to {@code apart} ms
   */
  public record World(
      long seed,
      int poolers,
      double loss,
      double delayLeast,
      double delayMost,
      double apart,
      double share) {
    public static World of(long seed, int poolers, double loss) {
      return new World(seed, poolers, loss, 1.4, 29, 10_000, StandingSettings.SHARE);
    }
  }

  private static final double BEAT = 2000;
  private static final double TICK = 100;
  private static final double ASKED = 40;

  /** One pooler. */
  private final class Node {
    final int me;
    final double offset;
    final int life = random.nextInt(1 << 16);
    final Gossip gossip;
    Standing standing;
    long revision;
    int content;
    TreeSet<Integer> drains = new TreeSet<>();
    final TreeSet<Integer> byPeers = new TreeSet<>();
    boolean hears = true, told = true, fenced, down, lies;
    int count;

    Node(int me) {
      this.me = me;
      offset = between(-world.apart(), world.apart());
      gossip = new Gossip(me, world.poolers());
      standing =
          new Standing(
              new StandingSettings(me, world.poolers(), StandingSettings.LEASE, world.share()),
              clock());
    }

    double clock() {
      return now + offset + 1e9;
    }

    boolean avoids(int key) {
      return fenced || drains.contains(key) || byPeers.contains(key);
    }

    void step(Standing.Event e) {
      for (Standing.Effect f : standing.step(clock(), e)) {
        if (f instanceof Standing.Effect.Ask) {
          calls++;
          after(ASKED, this::heard);
        } else if (f instanceof Standing.Effect.Fence x) {
          fenced = x.on();
          fences += x.on() ? 1 : 0;
          mostOut = Math.max(mostOut, (int) Arrays.stream(nodes).filter(n -> n.fenced).count());
        } else if (f instanceof Standing.Effect.Drained d) {
          if (d.on()) {
            byPeers.add(d.key());
          } else {
            byPeers.remove(d.key());
          }
        } else if (f instanceof Standing.Effect.Changed) {
          tell(gossip.news(clock(), p -> standing.sees(p, clock())));
        }
      }
    }

    void heard() {
      if (!hears || down || discoveryDown) {
        return;
      }
      boolean news = revision != discoveryRevision;
      revision = discoveryRevision;
      content = discoveryContent;
      drains = new TreeSet<>(discoveryDrains);
      step(new Standing.Event.Heard(revision, content));
      if (news) {
        tell(gossip.news(clock(), p -> standing.sees(p, clock())));
      }
    }

    void tell(List<Integer> whom) {
      if (down || whom.isEmpty()) {
        return;
      }
      Digest d =
          new Digest(
              me,
              life,
              ++count & 0xffff,
              (int) (long) clock(),
              standing.state(),
              standing.wants(),
              lies ? revision + 1000 : revision,
              lies ? 666 : content,
              lies ? 0 : (int) Math.min(Digest.NEVER, clock() - standing.confirmed(clock())),
              new ArrayList<>(lies ? List.of(7) : drains.descendingSet()));
      byte[] bytes = d.encode();
      for (int to : whom) {
        sent++;
        if (random.nextDouble() >= world.loss() && reach(me, to)) {
          after(between(world.delayLeast(), world.delayMost()), () -> nodes[to].told(bytes));
        }
      }
    }

    void told(byte[] bytes) {
      if (!down && told) {
        try {
          step(new Standing.Event.Told(Digest.decode(bytes)));
        } catch (Digest.Malformed e) {
          throw new Broken("seed " + world.seed() + ": " + e.getMessage());
        }
      }
    }
  }

  private final World world;
  private final Node[] nodes;
  private long discoveryRevision = 1;
  private int discoveryContent = 1;
  private final TreeSet<Integer> discoveryDrains = new TreeSet<>();
  private boolean discoveryDown, halves;
  private long sent, calls, fences;
  private int mostOut;

  public AuditModel(World world) {
    super(world.seed());
    this.world = world;
    nodes = new Node[world.poolers()];
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = new Node(i);
      Node n = nodes[i];
      n.heard();
      after(between(0, BEAT), () -> beat(n));
      after(between(0, TICK), () -> tick(n));
      after(between(0, Gossip.PERIOD), () -> round(n));
    }
  }

  private void beat(Node n) {
    n.heard();
    after(BEAT, () -> beat(n));
  }

  private void tick(Node n) {
    if (!n.down) {
      n.step(new Standing.Event.Tick());
    }
    after(TICK, () -> tick(n));
  }

  private void round(Node n) {
    n.tell(n.gossip.round(p -> n.standing.sees(p, n.clock())));
    after(Gossip.PERIOD, () -> round(n));
  }

  private boolean reach(int from, int to) {
    return nodes[from].told && (!halves || from % 2 == to % 2);
  }

  public AuditModel run(double ms) {
    pass(ms);
    return this;
  }

  // ---- What goes wrong.
  /**
   * Discovery lists this database as draining; every pooler that hears discovery hears of it within
   * 50 ms.
   */
  public AuditModel drain(int key) {
    discoveryDrains.add(key);
    discoveryRevision++;
    discoveryContent = discoveryDrains.hashCode() * 31 + (int) discoveryRevision;
    for (Node n : nodes) {
      after(between(1, 50), n::heard);
    }
    return this;
  }

  /** It counts from one anew with the same members: another service in its place. */
  public AuditModel renumber() {
    discoveryRevision = 1;
    discoveryContent++;
    for (Node n : nodes) {
      after(between(1, 50), n::heard);
    }
    return this;
  }

  public AuditModel cutFromDiscovery(int pooler, boolean cut) {
    nodes[pooler].hears = !cut;
    return this;
  }

  public AuditModel cutFromPeers(int pooler, boolean cut) {
    nodes[pooler].told = !cut;
    return this;
  }

  public AuditModel discoveryDown(boolean on) {
    discoveryDown = on;
    return this;
  }

  /** Odd and even numbers do not hear each other. */
  public AuditModel halves(boolean on) {
    halves = on;
    return this;
  }

  /** From now on it tells a list from the future, and that the database 7 drains. */
  public AuditModel lies(int pooler) {
    nodes[pooler].lies = true;
    return this;
  }

  public AuditModel down(int pooler, boolean on) {
    nodes[pooler].down = on;
    return this;
  }

  // ---- What is seen.
  public Standing.State state(int pooler) {
    return nodes[pooler].standing.state();
  }

  public boolean fenced(int pooler) {
    return nodes[pooler].fenced;
  }

  public boolean avoids(int pooler, int key) {
    return nodes[pooler].avoids(key);
  }

  public boolean unconfirmed(int pooler) {
    return nodes[pooler].standing.unconfirmed(nodes[pooler].clock());
  }

  public int out() {
    return (int) Arrays.stream(nodes).filter(n -> n.fenced).count();
  }

  public int mostOut() {
    return mostOut;
  }

  public long fences() {
    return fences;
  }

  public long calls() {
    return calls;
  }

  public boolean allCurrent() {
    return Arrays.stream(nodes)
        .filter(n -> !n.down)
        .allMatch(
            n -> n.standing.state() == Standing.State.CURRENT && n.revision == discoveryRevision);
  }

  /**
   * Runs until every living pooler keeps work from this database, and tells how long that took
   * (ms); over the bound it is broken.
   */
  public double untilAvoided(int key, double most) {
    double begin = now;
    while (!Arrays.stream(nodes).allMatch(n -> n.down || n.avoids(key))) {
      pass(1);
      if (now - begin > most) {
        throw new Broken(
            "seed " + world.seed() + ": after " + most + " ms some pooler still sends to " + key);
      }
    }
    return now - begin;
  }

  /** Datagrams a second that one pooler sends, since the start. */
  public double messagesPerSecond() {
    return sent / (now / 1000) / nodes.length;
  }

  /**
   * One line: how long a drain takes until every pooler acts on it, one of them without discovery
   * and brought up by peers, how long after the last such fault all are current, and what it costs.
   */
  public static String figures(World world) {
    var m = new AuditModel(world).run(3000);
    var acts = new double[20];
    var current = new double[acts.length];
    for (int i = 0; i < acts.length; i++) {
      int who = i % world.poolers();
      m.cutFromDiscovery(who, true).run(500);
      m.drain(100 + i);
      acts[i] = m.untilAvoided(100 + i, StandingSettings.LEASE);
      m.cutFromDiscovery(who, false);
      double begin = m.now();
      while (!m.allCurrent()) {
        m.run(10);
        if (m.now() - begin > 20_000) {
          throw new Broken(
              "seed " + world.seed() + ": not all are current 20 s after the last fault");
        }
      }
      current[i] = m.now() - begin;
      m.run(2000);
    }
    Arrays.sort(acts);
    Arrays.sort(current);
    return String.format(
        java.util.Locale.ROOT,
        "{\"poolers\": %d, \"loss\": %.2f, \"acts_p50_ms\": %.0f, \"acts_longest_ms\": %.0f, "
            + "\"current_p50_ms\": %.0f, \"current_longest_ms\": %.0f, \"messages_per_second\": %.1f, \"calls\": %d, \"fences\": %d}",
        world.poolers(),
        world.loss(),
        acts[acts.length / 2],
        acts[acts.length - 1],
        current[current.length / 2],
        current[current.length - 1],
        m.messagesPerSecond(),
        m.calls(),
        m.fences());
  }
}
