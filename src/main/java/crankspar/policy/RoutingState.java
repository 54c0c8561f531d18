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

/**
 * State of one instance: members, groups, requests, timers and the current time. Makes no routing
 * decision.
 */
abstract class RoutingState implements Router {
  /**
   * A replica that has sent nothing for this long (ms) is probed, or tried again with a read that
   * needs no position.
   */
  static final double UNHEARD_MS = 1000;

  /**
   * Mean latency, as a share of the class's target latency, above which the in-flight limit of a
   * member is reduced.
   */
  static final double OVERLOAD_RATIO = 0.3;

  /**
   * Initial limit on a member's requests in flight from all instances; {@link #MIN_LIMIT} is the
   * minimum (its cores).
   */
  static final double INITIAL_LIMIT = 8;

  static final double MIN_LIMIT = 6;

  /**
   * Delay (ms) before the first trial request to a silent or failing member; the delay grows with
   * each trial up to {@link #MAX_BACKOFF_MS}.
   */
  static final double INITIAL_TRIAL_MS = 200;

  static final double MAX_BACKOFF_MS = 1000; // upper bound of every exponential backoff (ms)

  /** A member whose error rate is above this share gets trial reads only. */
  static final double MAX_ERROR_RATE = 0.4;

  /**
   * Initial backoff (ms) after a full round of misses in the search for a primary, or after a
   * member rejected a request as full.
   */
  static final double INITIAL_BACKOFF_MS = 50;

  static final double MAX_TOKENS = 10; // capacity of the retry and probe token buckets

  /**
   * Discovery is queried again after the initial delay (ms), which doubles up to a quarter of the
   * permitted gap between queries and to {@link #MAX_WATCH_RETRY_MS} at most: its data counts as
   * known to this instance 6 s after discovery became reachable.
   */
  static final double INITIAL_WATCH_RETRY_MS = 500, MAX_WATCH_RETRY_MS = 1200;

  /** One database as this instance sees it; all times are in ms on the proxy's clock. */
  static final class MemberState {
    final String id;
    Member entry;
    boolean listed; // by the latest list from discovery
    boolean
        usable; // may get requests: not draining, and not removed unless removals are not binding
    boolean drained; // listed as draining, and not listed as running since then
    Role role = Role.UNKNOWN; // from the newest report
    double roleAt = Double.NEGATIVE_INFINITY;
    boolean wasPrimary; // by a report or the list, with no later report to the contrary
    double position = Double.NEGATIVE_INFINITY;
    double lastHeard = Double.NEGATIVE_INFINITY;
    int peerInFlight; // peers' requests in flight, as they reported them
    double lastPeerReport =
        Double.NEGATIVE_INFINITY; // when a peer last sent newer data about this member
    double replayRate = 1; // replayed log time (ms) per ms
    double lastProbed = Double.NEGATIVE_INFINITY;
    final List<Attempt> attempts = new ArrayList<>();
    double limit;
    double limitCutAt = Double.NEGATIVE_INFINITY;
    double latencyRatio = OVERLOAD_RATIO / 2; // mean latency as a share of the target latency
    double lastMeasured, errorRate;
    boolean silent;
    double
        backoffUntil; // the member rejected a request as full without running it: backoff, doubled
    // each time
    double backoff = INITIAL_BACKOFF_MS;
    double share =
        1; // with unknown load: share of own requests that is admitted; a primary keeps half for
    // spilled reads
    double overdue; // mean answer times that passed on attempts that ended without an answer
    int connectionFailures; // connections reset or failed since the last answer
    boolean lost; // this instance saw an outage: the member may come back cold
    double coldSince = Double.NEGATIVE_INFINITY;
    final ReportedStarts reportedStarts = new ReportedStarts();
    double nextTrialAt, trialInterval;
    boolean cold; // in slow start, as last noted
    final SlowStartBudget slowStart;
    double refilledAt; // when tokens were last earned over time
    boolean firstRequestSeen; // since the start
    final PriorityQueue<Double> abandonedUntil =
        new PriorityQueue<>(); // until when each abandoned request may still be running

    MemberState(String id, SlowStartBudget slowStart) {
      this.id = id;
      this.slowStart = slowStart;
    }

    boolean failing() {
      return errorRate > MAX_ERROR_RATE;
    }

    int inFlight() {
      return attempts.size() + peerInFlight;
    }

    double lastSeen() {
      return Math.max(lastHeard, lastPeerReport);
    }
  }

  /** One group: its members in id order, its queue and the member taken for primary. */
  static final class Group {
    final List<MemberState> members = new ArrayList<>();

    /**
     * Writes first, then newest first: under sustained overload some requests are served in time,
     * where oldest first would serve all of them late.
     */
    final TreeSet<RoutedRequest> queue =
        new TreeSet<>(
            Comparator.comparingInt((RoutedRequest w) -> w.priority)
                .thenComparingLong(w -> -w.order));

    MemberState primary;
    double primaryAt = Double.NEGATIVE_INFINITY;
    int searchIndex, searchMisses, timeouts;
    double searchResumeAt, searchBackoff = INITIAL_BACKOFF_MS;
    Attempt searchAttempt;
    MemberState positionProbe; // the replica being probed for its position, for reads that wait
    double positionProbeAt;
    double clockAhead; // the most that a position was ahead of the proxy's clock, which never steps
  }

  final class Attempt {
    final RoutedRequest request;
    final MemberState db;
    final int number;
    final double sentAt = now;
    boolean trial,
        abandoned,
        cancelled; // abandoned: a second copy was allowed, or it was cancelled

    Attempt(RoutedRequest work, MemberState db) {
      this.request = work;
      this.db = db;
      number = work.attemptCount++;
    }
  }

  /** A request that has no final answer yet, or attempts whose outcomes are still due. */
  final class RoutedRequest {
    final Request request;
    final RequestClass requestClass;
    final Group group;
    final long order = counter++;
    final double admissionDraw =
        random.nextDouble(); // the request is admitted where this is below the member's share
    final int priority;
    final double deadline; // no answer is useful after this time
    final double minPosition; // the position that a read must see
    int attemptCount;
    final List<Attempt> attempts = new ArrayList<>();
    final HashSet<MemberState> excluded = new HashSet<>();
    boolean mayHaveRun;
    double mayHaveRunSince =
        Double.POSITIVE_INFINITY; // send time of the first attempt that may have run
    double retryAt;
    double positionWaitUntil; // it may wait for a replica's position until this time
    boolean done;

    /** Timers that hold this request; taken back when it is done. */
    final List<Long> ownTimers = new ArrayList<>(2);

    RoutedRequest(Request request) {
      this.request = request;
      requestClass = settings.classes().get(request.requestClass());
      group = groups.computeIfAbsent(request.group(), k -> new Group());
      minPosition = initialMinPosition(request, requestClass);
      priority = requestClass.freshness() == Freshness.WRITE ? 0 : 1;
      deadline =
          now
              - settings.batchInterval()
              + (requestClass.lateValueShare() > 0
                  ? request.ttl()
                  : Math.min(requestClass.targetLatency(), request.ttl()));
    }

    boolean primaryOnly() {
      return requestClass.freshness() == Freshness.WRITE
          || requestClass.freshness() == Freshness.FRESH;
    }
  }

  final Settings settings;
  final Actions actions;
  final Random random;
  double minLimit; // lower bound of a member's limit on known requests in flight
  boolean loadUnknown; // too many instances to infer load from own requests, and peers report none
  final boolean largeFleet; // too many instances to send trials at the same time
  final double
      fleetScale; // delays are multiplied by this, so that trials of all instances together stay as
  // rare
  final double tightestBound; // the smallest staleness bound of a read (ms)
  final boolean
      answersStale; // replicas answer stale reads: only the position check here keeps the freshness
  // guarantee
  final TreeMap<String, MemberState> memberStates = new TreeMap<>();
  final TreeMap<Integer, Group> groups = new TreeMap<>();
  final Map<String, RoutedRequest> requests = new HashMap<>();
  final LinkedHashMap<String, Double> sessionMarks = new LinkedHashMap<>();
  double newestEvictedMark = Double.NEGATIVE_INFINITY;
  final Map<Long, Runnable> timers = new HashMap<>();
  Map<String, Double> minLatencies = new HashMap<>(), previousMinLatencies = new HashMap<>();
  List<String> zoneOrder;
  int period;
  long counter;
  double now;
  double retryTokens = MAX_TOKENS,
      probeTokens = MAX_TOKENS; // saved tokens for repeated sends and for probes
  double positionProbeTokens = MAX_TOKENS; // tokens for probes that reads wait for
  double stallEnd =
      Double.NEGATIVE_INFINITY; // end of the last process stall: silence before it is no evidence
  boolean ticking;
  boolean hasFullList; // discovery has sent its whole list to this process
  double watchRetryDelay = INITIAL_WATCH_RETRY_MS;

  RoutingState(Settings settings, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    random = new Random(settings.seed());
    answersStale = settings.laggingRead() == LaggingRead.ANSWERS;
    tightestBound =
        settings.classes().stream()
            .filter(c -> c.freshness() == Freshness.BOUNDED)
            .mapToDouble(RequestClass::stalenessBound)
            .min()
            .orElse(UNHEARD_MS);
    largeFleet = loadUnknown = settings.instanceCount() > MIN_LIMIT;
    minLimit = Math.max(1, MIN_LIMIT / settings.instanceCount());
    fleetScale = Math.max(1, settings.instanceCount() / MIN_LIMIT);
    zoneOrder = new ArrayList<>(settings.zones());
  }

  /** Returns the key under which the task waits in {@link #timers}. */
  long schedule(double delay, Runnable task) {
    long cookie = counter++;
    timers.put(cookie, task);
    actions.setTimer(Math.max(0, delay), cookie);
    return cookie;
  }

  abstract double initialMinPosition(
      Request r, RequestClass kind); // the position that a read must see

  abstract SlowStartBudget newBudget();

  /** Begins a member's slow start. */
  abstract void markCold(MemberState db, double since);

  /**
   * Applies an entry of a member list. A start that was not reported before is new since the last
   * list and counts from now: the wall clock that stamps it may have stepped. Only in the list to
   * start from and in discovery's first whole list starts are taken by the clock.
   */
  void updateMember(ListKind kind, Member m) {
    MemberState db = memberStates.get(m.id());
    if (db == null && m.health() == Health.GONE) {
      return;
    }
    if (db == null) {
      db = new MemberState(m.id(), newBudget());
      db.limit = initialLimit();
      db.slowStart.reset(now, random.nextDouble());
      db.trialInterval = INITIAL_TRIAL_MS * fleetScale;
      memberStates.put(m.id(), db);
    } else if (db.entry.group() != m.group()) {
      groups.get(db.entry.group()).members.remove(db);
    }
    db.entry = m;
    db.drained = m.health() == Health.DRAINING || db.drained && m.health() == Health.GONE;
    db.listed = m.health() != Health.GONE;
    db.usable = m.health() == Health.RUNNING || settings.guarantees().softRemoval() && !db.drained;
    Group g = groups.computeIfAbsent(m.group(), k -> new Group());
    if (!g.members.contains(db)) {
      g.members.add(db);
      g.members.sort(Comparator.comparing(x -> x.id));
    }
    if (m.lastStart() > 0 && db.reportedStarts.add(m.lastStart())) {
      boolean first = kind == ListKind.OLD_COPY || kind == ListKind.FULL && !hasFullList;
      markCold(db, first ? Math.min(m.lastStart(), now) : now);
    }
    if (m.listedPrimary() && db.role != Role.REPLICA) {
      db.wasPrimary = true;
    }
  }

  /**
   * Removes a member that left for good. Without this, a day of replacements would give new members
   * an ever smaller share of their group's arrivals, and the tables would only grow.
   */
  void removeIfGone(MemberState db) {
    if (db.listed || db.usable || !db.attempts.isEmpty()) {
      return;
    }
    Group g = groups.get(db.entry.group());
    memberStates.remove(db.id);
    g.members.remove(db);
    g.primary = g.primary == db ? null : g.primary;
    if (g.members.isEmpty() && g.queue.isEmpty()) {
      groups.remove(db.entry.group());
    }
  }

  double initialLimit() {
    return Math.max(
        minLimit,
        loadUnknown || !largeFleet ? INITIAL_LIMIT / settings.instanceCount() : INITIAL_LIMIT);
  }
}
