package crankspar.gossip;

import crankspar.Router;
import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides what of the databases' positions and roles is told to the other poolers, and what of
 * theirs is believed. Told is what nobody has told yet: a role that changed, a position newer by a
 * step than the newest that went round; and where own requests are in flight, so that all know how
 * busy a database is, each with few requests of its own. What the {@link GossipBudget} does not pay
 * for waits, and a newer position takes its place.
 *
 * <p>State is bounded by the own list and the number of poolers: an entry for each database, a
 * number for each of both.
 */
public final class GossipService {
  /**
   * A position is told once it is newer by this share of the tightest bound on a read's age, ...
   */
  private static final double STEP = 0.1;

  /** ... or, where few bytes are saved up, than that of any replica of its group, by this share. */
  private static final double SCARCE_STEP = 0.33;

  /** ... and messages go out this often, as a share of that bound. */
  private static final double PERIOD = 0.15;

  /** Where no class has a bound (ms). */
  private static final double BOUND = 300;

  /**
   * A primary stands at the present: its place is told again after this long (ms), for those that
   * started since.
   */
  private static final double PRIMARY_STEP = 1000;

  /** ... or, where few bytes are saved up, after about as long as the list is late. */
  private static final double SCARCE_PRIMARY_STEP = 4000;

  /** How far ahead of this clock a sender's may be, and how late a message may come (ms). */
  private static final double AHEAD_MOST = 100;

  private static final double LATE_MOST = 5000;

  /**
   * A pooler that was not heard for so many periods has nothing in flight any more, or nobody hears
   * it.
   */
  private static final double SILENT_PERIODS = 10;

  /**
   * Requests in flight are known while this share of the peers has been heard in the last UNHEARD
   * ms: bounds for all of them are then off by a factor of two at the most, and each tells several
   * times a second under any load that matters.
   */
  private static final double HEARD_SHARE = 0.5;

  private static final double UNHEARD = 5000;

  /** One group of the own list: the newest position told of any of its replicas. */
  private static final class Group {
    double freshest = Double.NEGATIVE_INFINITY;
  }

  /** One database of the own list. */
  private static final class Known {
    final String id;
    final Group group;
    boolean twins; // another id has the same key: neither is told or believed
    Role role = Role.UNKNOWN;
    double position = Double.NEGATIVE_INFINITY;
    Role toldRole = Role.UNKNOWN; // by anyone
    double told = Double.NEGATIVE_INFINITY;
    int own; // own requests in flight
    int others; // all peers' as last told
    boolean changed; // that number is news to the module

    /** What the list says of its role is no news. */
    Known(Member m, Group group) {
      id = m.id();
      toldRole = m.listedPrimary() ? Role.PRIMARY : Role.REPLICA;
      this.group = group;
    }

    void told(double position, Role role) {
      told = position;
      toldRole = role;
      group.freshest = role == Role.PRIMARY ? group.freshest : Math.max(group.freshest, position);
    }

    double news() {
      return position - told;
    }
  }

  /** What one peer said it had in flight, and when by its clock. */
  private record Loads(long base, double heard, List<GossipMessage.Load> loads) {}

  private final Map<Integer, Known> known = new HashMap<>();
  private final Map<Integer, Group> groups = new HashMap<>();
  private final Map<Integer, Loads> peers = new TreeMap<>();

  /** When each peer was last heard, whatever it told. */
  private final Map<Integer, Double> words = new TreeMap<>();

  private boolean loadsKnown;
  private final int me;
  private boolean idle = true; // told to have nothing in flight
  private final GossipBudget budget;
  private final int receivers;
  private final boolean tellsLoads;
  private final double bound;
  private final double period;
  private long told, heard;
  private final Map<String, Long> dropped = new HashMap<>();

  public GossipService(Router.Settings settings) {
    receivers = Math.max(1, settings.instanceCount() - 1);
    me = settings.instanceIndex();
    budget = new GossipBudget(settings.prices().peer(), receivers);
    bound =
        settings.classes().stream()
            .filter(c -> c.freshness() == Router.Freshness.BOUNDED)
            .mapToDouble(Router.RequestClass::stalenessBound)
            .min()
            .orElse(BOUND);
    period = PERIOD * bound;
    tellsLoads = budget.paysForLoads();
  }

  /** How long what was learned waits for company (ms). */
  public double period() {
    return period;
  }

  /** A request came: it earns what telling may cost. */
  public void request() {
    budget.request();
  }

  /** The own list: only what it names is told or believed. */
  public void members(ListKind kind, List<Member> members) {
    Set<String> full = new HashSet<>();
    for (Member m : members) {
      int key = GossipMessage.key(m.id());
      Known k = known.get(key);
      if (m.health() == Health.GONE) {
        if (k != null && k.id.equals(m.id())) {
          known.remove(key);
        }
        continue;
      }
      full.add(m.id());
      if (k == null) {
        known.put(key, new Known(m, groups.computeIfAbsent(m.group(), g -> new Group())));
      } else if (!k.id.equals(m.id())) {
        k.twins = true;
      }
    }
    if (kind != ListKind.CHANGES) {
      known.values().removeIf(k -> !full.contains(k.id));
      groups.keySet().retainAll(members.stream().map(Member::group).toList());
    }
  }

  /** First-hand: an answer's note or a probe's report. */
  public void learned(String id, Role role, double position) {
    Known k = known.get(GossipMessage.key(id));
    if (k == null || !k.id.equals(id) || Double.isNaN(position) || position < k.position) {
      return;
    }
    k.position = position;
    k.role = role == Role.UNKNOWN ? k.role : role;
  }

  /** One of the own requests is on its way there, or has ended. */
  public void inFlight(String id, int change) {
    Known k = known.get(GossipMessage.key(id));
    if (k != null && k.id.equals(id)) {
      k.own = Math.max(0, k.own + change);
    }
  }

  /** Whether anything is worth telling. */
  public boolean due() {
    return !idle || known.values().stream().anyMatch(k -> tellsLoads && k.own > 0 || worth(k));
  }

  /**
   * Where bytes are scarce, a position is worth them if it makes its group's freshest replica
   * fresher by a third of the bound: a read needs one that is fresh, and all poolers together tell
   * a group's one in time where they could not tell each.
   */
  private boolean worth(Known k) {
    if (k.twins || k.role == Role.UNKNOWN || k.position <= k.told) {
      return false;
    }
    boolean scarce = budget.scarce();
    return k.role != k.toldRole
        || (k.role == Role.PRIMARY
            ? k.news() >= (scarce ? SCARCE_PRIMARY_STEP : PRIMARY_STEP)
            : scarce
                ? k.position - k.group.freshest >= SCARCE_STEP * bound
                : k.news() >= STEP * bound);
  }

  /** The next message for all, or null: changed roles first, then what is newest to the others. */
  public byte[] next(double now) {
    int room = (int) Math.min(GossipMessage.MOST, budget.saved()) - GossipMessage.HEAD;
    if (room < GossipMessage.COUNT + GossipMessage.LOAD) {
      return null;
    }
    List<Known> out =
        known.values().stream()
            .filter(this::worth)
            .sorted(
                Comparator.comparing((Known k) -> k.role == k.toldRole)
                    .thenComparing(k -> k.role == Role.PRIMARY)
                    .thenComparing(k -> -k.news()))
            .limit(room / GossipMessage.FACT)
            .toList();
    List<GossipMessage.Load> loads =
        known.values().stream()
            .filter(k -> tellsLoads && k.own > 0 && !k.twins)
            .sorted(Comparator.comparing((Known k) -> -k.own))
            .limit(
                Math.max(0, room - GossipMessage.COUNT - out.size() * GossipMessage.FACT)
                    / GossipMessage.LOAD)
            .map(k -> new GossipMessage.Load(GossipMessage.key(k.id), k.own))
            .toList();
    if (out.isEmpty() && loads.isEmpty() && idle) {
      return null;
    }
    var facts = new ArrayList<GossipMessage.Fact>(out.size());
    for (Known k : out) {
      facts.add(new GossipMessage.Fact(GossipMessage.key(k.id), k.role, k.position));
      k.told(k.position, k.role);
    }
    told += facts.size();
    idle = loads.isEmpty();
    byte[] bytes = new GossipMessage(me, (long) now, facts, loads).encode();
    budget.spend(bytes.length);
    return bytes;
  }

  /**
   * What a peer told, as far as it can be believed: never of a database that the own list has not
   * named.
   */
  public List<Router.PeerReport> heard(double now, byte[] bytes) {
    GossipMessage b;
    try {
      b = GossipMessage.decode(bytes, now);
    } catch (GossipMessage.Malformed e) {
      return drop(e.getMessage());
    }
    if (b.base() > now + AHEAD_MOST || b.base() < now - LATE_MOST) {
      return drop(b.base() > now ? "ahead" : "late");
    }
    var news = new ArrayList<Known>(b.facts().size());
    for (GossipMessage.Fact f : b.facts()) {
      Known k = known.get(f.key());
      if (k == null || k.twins) {
        drop("unlisted");
        continue;
      }
      if (f.position() > k.told) {
        k.told(f.position(), f.role());
        news.add(k);
        heard++;
      }
    }
    Loads last = peers.get(b.from());
    if (b.from() != me && b.from() <= receivers && (last == null || last.base() < b.base())) {
      words.put(b.from(), now);
      count(last, -1);
      peers.put(b.from(), new Loads(b.base(), now, b.loads()));
      count(peers.get(b.from()), 1);
    }
    return told(now, news, Math.min(now, (double) b.base()));
  }

  /**
   * What peers that fell silent had in flight is forgotten; the same as {@link #heard}, with
   * nothing heard.
   */
  public List<Router.PeerReport> look(double now) {
    return told(now, List.of(), now);
  }

  /**
   * The news of one message, and the loads that changed; all of them with loads that are known, or
   * none.
   */
  private List<Router.PeerReport> told(double now, List<Known> news, double at) {
    forgetSilent(now);
    var all = new ArrayList<Router.PeerReport>(news.size());
    for (Known k : news) {
      all.add(new Router.PeerReport(k.id, k.toldRole, k.told, at, loadsKnown ? k.others : -1));
    }
    for (Known k : known.values()) {
      if (k.changed) {
        k.changed = false;
        all.add(
            new Router.PeerReport(
                k.id,
                Role.UNKNOWN,
                Double.NEGATIVE_INFINITY,
                Double.NEGATIVE_INFINITY,
                loadsKnown ? k.others : -1));
      }
    }
    return all;
  }

  /**
   * Guards against a pooler cut off from its peers: it kept bounds meant for all poolers' requests,
   * and saw its own alone.
   */
  private void forgetSilent(double now) {
    words.values().removeIf(at -> now - at > UNHEARD);
    boolean enough = tellsLoads && words.size() >= HEARD_SHARE * receivers;
    if (enough != loadsKnown) {
      loadsKnown = enough;
      known.values().forEach(k -> k.changed = true);
    }
    peers
        .values()
        .removeIf(
            p -> {
              boolean silent = now - p.heard() > SILENT_PERIODS * period;
              if (silent) {
                count(p, -1);
              }
              return silent;
            });
  }

  private void count(Loads of, int sign) {
    for (GossipMessage.Load l : of == null ? List.<GossipMessage.Load>of() : of.loads()) {
      Known k = known.get(l.key());
      if (k != null && !k.twins) {
        k.others = Math.max(0, k.others + sign * l.count());
        k.changed |= loadsKnown;
      }
    }
  }

  private List<Router.PeerReport> drop(String why) {
    dropped.merge(why, 1L, Long::sum);
    return List.of();
  }

  /** Facts told and heard, and what was dropped by why, since the start. */
  public Map<String, Long> counts() {
    var all = new TreeMap<String, Long>();
    all.put("hearsay_told", told);
    all.put("hearsay_heard", heard);
    dropped.forEach((why, n) -> all.put("hearsay_dropped_" + why, n));
    return all;
  }
}
