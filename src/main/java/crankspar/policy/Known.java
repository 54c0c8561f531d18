package crankspar.policy;

import crankspar.Router;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/** What one instance knows: members, groups, requests and what the clock is. It decides nothing. */
abstract class Known implements Router {
  /**
   * A replica unheard for this long (ms) is probed, or won back by a read that needs no position.
   */
  static final double UNHEARD = 1000;

  /**
   * Latency, as a share of the class's aim, above which a member's bound on own requests shrinks.
   */
  static final double STRAIN = 0.3;

  /** A member's requests in flight from all instances: at first, and at least (its cores). */
  static final double FIRST_LIMIT = 8;

  static final double LEAST = 6;

  /** Wait before the first trial of a silent or erring member (ms), doubled to WAIT_MOST. */
  static final double TRIAL_FIRST = 200;

  static final double WAIT_MOST = 1000; // any doubled wait (ms)

  /** A member that fails this share of its requests gets no reads but trials. */
  static final double ERRING = 0.4;

  /**
   * First wait after a full round of misses in search of a primary, or after being turned away
   * (ms).
   */
  static final double PAUSE = 50;

  static final double EXTRA_MOST = 10; // of what is saved up

  /**
   * Discovery is asked again after the first wait (ms), doubled to a quarter of the time it may be
   * unasked and to the second at most: what it had counts as told 6 s after it could be reached.
   */
  static final double ASK_FIRST = 500, ASK_MOST = 1200;

  /** One database as this instance sees it. */
  static final class Db {
    final String id;
    Member entry;
    boolean listed; // by discovery's last word on it
    boolean usable; // may be sent to: neither draining nor, where that binds, gone
    boolean drained; // listed as draining, and not as running since
    Role role = Role.UNKNOWN; // by the newest note
    double roleAt = Double.NEGATIVE_INFINITY;
    boolean wasPrimary; // by a note or list, and no note since has said otherwise
    double position = Double.NEGATIVE_INFINITY;
    double heard = Double.NEGATIVE_INFINITY;
    int others; // peers' requests in flight, as told
    double told = Double.NEGATIVE_INFINITY; // when a peer last told something new of it
    double pace = 1; // log ms applied a ms
    double probed = Double.NEGATIVE_INFINITY;
    final List<Attempt> out = new ArrayList<>();
    double limit;
    double cutAt = Double.NEGATIVE_INFINITY;
    double strain = STRAIN / 2; // mean latency as a share of the aim
    double measured, errors;
    boolean silent;
    double shutUntil; // it turned one of ours away unseen: a pause, doubled each time
    double shutGap = PAUSE;
    double share = 1; // sparse: share of ours taken; a primary spares half for spills
    double owed; // means owed by attempts that ended without an answer
    int strikes; // connections broken or failed since the last answer
    boolean lost; // an outage seen first-hand: it may come back cold
    double coldSince = Double.NEGATIVE_INFINITY;
    double startTold = Double.NEGATIVE_INFINITY;
    double trialAt, trialGap;
    double credit; // sends that a cold member may have, earned by arrivals
    final PriorityQueue<Double> ghosts =
        new PriorityQueue<>(); // until when abandoned work may yet run

    Db(String id) {
      this.id = id;
    }

    boolean erring() {
      return errors > ERRING;
    }

    int inFlight() {
      return out.size() + others;
    }

    double seen() {
      return Math.max(heard, told);
    }
  }

  /** One group: its members in id order and who is held to be primary. */
  static final class Group {
    final List<Db> members = new ArrayList<>();

    /**
     * Writes first, then the newest first: under a standing surge some are served well, not all
     * late.
     */
    final TreeSet<Work> line =
        new TreeSet<>(Comparator.comparingInt((Work w) -> w.rank).thenComparingLong(w -> -w.order));

    Db primary;
    double primaryAt = Double.NEGATIVE_INFINITY;
    int next, asked, unanswered;
    double roundAt, roundGap = PAUSE;
    Attempt scout;
    Db positionOf; // the replica that is asked for its position, for reads that wait
    double positionSince;
    double ahead; // of our clock, which takes no step: the most that a position was
  }

  final class Attempt {
    final Work work;
    final Db db;
    final int number;
    final double sent = now;
    boolean trial, given, cancelled; // given up: doubled or cancelled

    Attempt(Work work, Db db) {
      this.work = work;
      this.db = db;
      number = work.tries++;
    }
  }

  /** A request that this instance owes an answer. */
  final class Work {
    final Request request;
    final RequestClass kind;
    final Group group;
    final long order = counter++;
    final double luck = random.nextDouble(); // below a member's share: it may have this one
    final int rank;
    final double end; // no answer is of use after the end
    final double need; // the position a read must see
    int tries;
    final List<Attempt> out = new ArrayList<>();
    final HashSet<Db> avoid = new HashSet<>();
    boolean mayHaveRun;
    double risk = Double.POSITIVE_INFINITY; // when the first attempt was sent that may have run
    double notBefore;
    double askUntil; // it may wait for a replica's position until then
    boolean done;

    Work(Request request) {
      this.request = request;
      kind = settings.classes().get(request.requestClass());
      group = groups.computeIfAbsent(request.group(), k -> new Group());
      need = needAtStart(request, kind);
      rank = kind.freshness() == Freshness.WRITE ? 0 : 1;
      end =
          now
              - settings.batchInterval()
              + (kind.lateValueShare() > 0
                  ? request.ttl()
                  : Math.min(kind.targetLatency(), request.ttl()));
    }

    boolean primaryOnly() {
      return kind.freshness() == Freshness.WRITE || kind.freshness() == Freshness.FRESH;
    }
  }

  final Settings settings;
  final Actions actions;
  final Random random;
  double least; // known requests in flight that a member always may have
  boolean sparse; // too many for own requests to tell load, and none told
  final boolean many; // too many for all to try at once
  final double scale; // times as long pauses keep all instances' trials as rare
  final double tightest; // the smallest bound on a read's age (ms)
  final boolean strict; // replicas answer stale reads: the gate alone keeps the rule
  final TreeMap<String, Db> dbs = new TreeMap<>();
  final TreeMap<Integer, Group> groups = new TreeMap<>();
  final Map<String, Work> works = new HashMap<>();
  final LinkedHashMap<String, Double> marks = new LinkedHashMap<>();
  double forgotten = Double.NEGATIVE_INFINITY;
  final Map<Long, Runnable> timers = new HashMap<>();
  Map<String, Double> lows = new HashMap<>(), lowsBefore = new HashMap<>();
  List<String> zoneOrder;
  int period;
  long counter;
  double now;
  double extra = EXTRA_MOST, probes = EXTRA_MOST; // second sends and probes that are saved up
  double neededProbes = EXTRA_MOST; // probes that reads may still wait for
  double awake = Double.NEGATIVE_INFINITY; // end of the last stall: silence before says nothing
  boolean ticking;
  double askGap = ASK_FIRST;

  Known(Settings settings, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    random = new Random(settings.seed());
    strict = settings.laggingRead() == LaggingRead.ANSWERS;
    tightest =
        settings.classes().stream()
            .filter(c -> c.freshness() == Freshness.BOUNDED)
            .mapToDouble(RequestClass::stalenessBound)
            .min()
            .orElse(UNHEARD);
    many = sparse = settings.instanceCount() > LEAST;
    least = Math.max(1, LEAST / settings.instanceCount());
    scale = Math.max(1, settings.instanceCount() / LEAST);
    zoneOrder = new ArrayList<>(settings.zones());
  }

  void after(double delay, Runnable what) {
    long cookie = counter++;
    timers.put(cookie, what);
    actions.setTimer(Math.max(0, delay), cookie);
  }

  abstract double needAtStart(Request r, RequestClass kind); // the position that a read must see

  void learn(Member m) {
    Db db = dbs.get(m.id());
    if (db == null && m.health() == Health.GONE) {
      return;
    }
    if (db == null) {
      db = new Db(m.id());
      db.limit = firstLimit();
      db.credit = random.nextDouble();
      db.trialGap = TRIAL_FIRST * scale;
      dbs.put(m.id(), db);
    } else if (db.entry.group() != m.group()) {
      groups.get(db.entry.group()).members.remove(db);
    }
    db.entry = m;
    db.drained = m.health() == Health.DRAINING || db.drained && m.health() == Health.GONE;
    db.listed = m.health() != Health.GONE;
    db.usable = m.health() == Health.RUNNING || settings.guarantees().softRemoval() && !db.drained;
    if (m.lastStart() > Math.max(db.startTold, Math.max(0, db.coldSince))) {
      db.startTold = m.lastStart(); // by the wall clock, which may have stepped ahead of ours
      db.coldSince = Math.min(m.lastStart(), now);
      db.credit =
          random.nextDouble(); // all instances hear of it at once, and are not to send at once
    }
    Group g = groups.computeIfAbsent(m.group(), k -> new Group());
    if (!g.members.contains(db)) {
      g.members.add(db);
      g.members.sort(Comparator.comparing(x -> x.id));
    }
    if (m.listedPrimary() && db.role != Role.REPLICA) {
      db.wasPrimary = true;
    }
  }

  /**
   * A member that left for good counts no more: else a day of replacements would leave the new ones
   * an ever smaller share of its group's arrivals, and tables that only grow.
   */
  void forget(Db db) {
    if (db.listed || db.usable || !db.out.isEmpty()) {
      return;
    }
    Group g = groups.get(db.entry.group());
    dbs.remove(db.id);
    g.members.remove(db);
    g.primary = g.primary == db ? null : g.primary;
    if (g.members.isEmpty() && g.line.isEmpty()) {
      groups.remove(db.entry.group());
    }
  }

  double firstLimit() {
    return Math.max(least, sparse || !many ? FIRST_LIMIT / settings.instanceCount() : FIRST_LIMIT);
  }
}
