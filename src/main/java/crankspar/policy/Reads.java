package crankspar.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;

/**
 * Chooses the member for a read: replicas that are fresh enough, zones in order of their lowest
 * recent latency, and the less loaded of two random candidates.
 */
abstract class Reads extends Positions {
  static final int WINDOW_PERIODS = 10;
  static final int MAX_SESSIONS = 100_000; // session marks kept; the oldest is evicted

  Reads(Settings settings, Actions actions) {
    super(settings, actions);
    sortZones();
  }

  @Override
  double initialMinPosition(Request r, RequestClass kind) {
    if (kind.freshness() == Freshness.FRESH) {
      return now;
    }
    boolean paged =
        kind.freshness() == Freshness.BOUNDED
            && r.markAge() > 0; // a later page: never older than the page before
    if (kind.freshness() != Freshness.SESSION && !paged) {
      return Double.NEGATIVE_INFINITY;
    }
    double told = r.markAge() > 0 ? now - r.markAge() : Double.NEGATIVE_INFINITY;
    boolean carried = paged || settings.sessionMarks() == SessionMarks.CARRIED;
    return carried
        ? told
        : Math.max(told, sessionMarks.getOrDefault(r.session(), newestEvictedMark));
  }

  void rememberCommit(String session, double commit) {
    if (session == null
        || settings.sessionMarks() == SessionMarks.CARRIED
        || Double.isNaN(commit)) {
      return;
    }
    double last = sessionMarks.getOrDefault(session, commit);
    sessionMarks.remove(session);
    sessionMarks.put(session, Math.max(last, commit));
    if (sessionMarks.size() > MAX_SESSIONS) {
      var oldest = sessionMarks.entrySet().iterator();
      newestEvictedMark = Math.max(newestEvictedMark, oldest.next().getValue());
      oldest.remove();
    }
  }

  void noteLatency(MemberState db, double elapsed) {
    minLatencies.merge(db.entry.zone(), elapsed, Math::min);
  }

  double zoneLatency(String zone) {
    Double low = minLatencies.getOrDefault(zone, previousMinLatencies.get(zone));
    return low != null
        ? Math.min(low, previousMinLatencies.getOrDefault(zone, low))
        : zone.equals(settings.zone()) ? 0 : Double.POSITIVE_INFINITY;
  }

  void sortZones() {
    memberStates.values().stream()
        .map(db -> db.entry.zone())
        .filter(z -> !zoneOrder.contains(z))
        .distinct()
        .toList()
        .forEach(zoneOrder::add);
    zoneOrder.sort(Comparator.comparingDouble(this::zoneLatency));
  }

  void everyPeriod() {
    sortZones();
    if (++period % (WINDOW_PERIODS / 2) == 0) {
      previousMinLatencies = minLatencies;
      minLatencies = new HashMap<>();
    }
    probeUnheard();
    memberStates.values().forEach(this::capStaleLatency);
    noteWarm();
    memberStates
        .values()
        .forEach(db -> db.share = Math.max(db.share, Math.min(1, db.share + SHARE_UP / 4)));
    schedule(PERIOD_MS, this::everyPeriod);
  }

  /**
   * Position and role are as old as the probed member's report; the position is the time of the
   * role.
   */
  @Override
  public void onProbe(double at, ProbeResult r) {
    now = at;
    MemberState db = memberStates.get(r.member());
    if (db == null) {
      return;
    }
    Group g = groups.get(db.entry.group());
    boolean awaited = g.positionProbe == db;
    g.positionProbe = awaited ? null : g.positionProbe;
    if (!r.ok()) {
      if (db.silent) {
        markLost(db);
      }
      if (awaited) {
        dispatch(g); // the next replica may be probed
      }
      return;
    }
    noteLatency(db, r.elapsed());
    if (!Double.isNaN(r.position())) {
      updatePosition(db, r.position());
      noteRole(db, r.role(), r.position());
    }
    dispatch(g);
  }

  /**
   * Applies what peers observed themselves; the list is never empty. A position stays true however
   * late it arrives, and is the time of the role reported with it.
   */
  @Override
  public void onPeerReports(double at, List<PeerReport> what) {
    now = at;
    if (loadUnknown
        == what.get(0).inFlight()
            >= 0) { // limits cover all instances' requests while peers report them
      loadUnknown = !loadUnknown;
      minLimit = loadUnknown ? Math.max(1, MIN_LIMIT / settings.instanceCount()) : MIN_LIMIT;
      memberStates.values().forEach(db -> db.limit = initialLimit());
    }
    for (PeerReport h : what) {
      MemberState db =
          memberStates.get(h.member()); // members missing from the own list are ignored
      if (db != null && h.position() < now + groups.get(db.entry.group()).clockAhead + UNHEARD_MS) {
        if (h.heardAt() > db.lastPeerReport) {
          markAlive(db);
          db.lastPeerReport = h.heardAt();
        }
        db.position = Math.max(db.position, h.position());
        noteRole(db, h.role(), h.position());
        db.peerInFlight = Math.max(0, h.inFlight());
      }
    }
    dispatchAll();
  }

  /** Over a copy: a request that ends may remove its group. */
  void dispatchAll() {
    List.copyOf(groups.values()).forEach(this::dispatch);
  }

  MemberState chooseReplica(RoutedRequest w) {
    var candidates = new ArrayList<MemberState>();
    MemberState trial = null;
    boolean roleUnknown = answersStale && currentPrimary(w.group) == null;
    for (String zone : zoneOrder) {
      for (MemberState db : w.group.members) {
        if (!db.usable
            || !db.entry.zone().equals(zone)
            || db == w.group.primary
            || w.excluded.contains(db)
            || !freshEnough(db, w)) {
          continue;
        }
        if (db.silent || db.failing()) {
          trial =
              trial == null && trialDue(db, w) && w.attempts.isEmpty() && w.attemptCount == 0
                  ? db
                  : trial;
        } else if (admits(db, w, false)) {
          if (roleUnknown && db.role == Role.UNKNOWN) {
            return db;
          }
          candidates.add(db);
        }
      }
      if (candidates.size() >= 2 && !roleUnknown) {
        break;
      }
    }
    if (trial != null || candidates.isEmpty()) {
      return trial;
    }
    MemberState one = candidates.get(random.nextInt(candidates.size()));
    MemberState two = candidates.get(random.nextInt(candidates.size()));
    int cmp = Integer.compare(two.inFlight(), one.inFlight());
    boolean strained = loadUnknown && Math.max(one.latencyRatio, two.latencyRatio) > OVERLOAD_RATIO;
    boolean tie =
        strained
            ? two.latencyRatio < one.latencyRatio
            : largeFleet && one.entry.zone().equals(two.entry.zone())
                ? random.nextBoolean()
                : candidates.indexOf(two) < candidates.indexOf(one);
    return cmp < 0 || cmp == 0 && tie ? two : one;
  }

  /**
   * Whether a read may hold up replay for longer than the tightest staleness bound. Such a read
   * goes only to the replica furthest behind, the same for all instances, so that the others stay
   * fresh; the cost is that it may wait.
   */
  boolean delaysReplay(RoutedRequest w) {
    return w.requestClass.freshness() == Freshness.ANY
        && w.requestClass.targetLatency() * OVERLOAD_RATIO > tightestBound;
  }

  MemberState furthestBehind(RoutedRequest w) {
    return w.group.members.stream()
        .filter(
            m ->
                m.usable
                    && !m.silent
                    && !m.failing()
                    && m != w.group.primary
                    && !w.excluded.contains(m)
                    && bears(m, w))
        .min(Comparator.comparingDouble(m -> m.position))
        .orElse(null);
  }

  MemberState chooseMember(RoutedRequest w) {
    if (w.primaryOnly()) {
      return choosePrimary(w);
    }
    MemberState last = delaysReplay(w) ? furthestBehind(w) : null;
    if (last != null) {
      return admits(last, w, false) ? last : null;
    }
    MemberState db = chooseReplica(w);
    MemberState p = currentPrimary(w.group);
    if (db != null
        && !(loadUnknown
            && db.latencyRatio > OVERLOAD_RATIO
            && p != null
            && p.latencyRatio < db.latencyRatio
            && !p.silent
            && !p.failing()
            && admits(p, w, true))) {
      return db;
    }
    boolean well = p != null && !p.silent && !p.failing() && p.latencyRatio <= OVERLOAD_RATIO;
    boolean spare = well && !w.excluded.contains(p) && admits(p, w, true);
    if (db == null && !spare && awaitsPosition(w)) {
      return null;
    }
    if (p == null || w.excluded.contains(p) || p.failing() && !trialDue(p, w)) {
      return null;
    }
    return p.silent ? trialDue(p, w) ? p : null : admits(p, w, true) ? p : null;
  }
}
