package crankspar.policy;

import java.util.ArrayList;
import java.util.Comparator;

/**
 * Decides which replica is known to be fresh enough for a read. Where one instance of many sees too
 * little traffic to know any replica's position, a read probes one and waits for the answer.
 */
abstract class Positions extends Primary {
  /**
   * A member that has sent nothing for this long (ms) is probed where only the latency of its zone
   * is needed.
   */
  static final double UNHEARD_ZONE_MS = 5000;

  /** Share of its target latency that a read waits for a replica to report its position. */
  static final double POSITION_WAIT_SHARE = 0.3;

  /** Minimum interval (ms) between two position probes of one replica. */
  static final double REPROBE_MS = 100;

  Positions(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void dispatch(Group g); // sends every queued request that may be sent now

  void notePosition(MemberState db, double position, double at) {
    if (Double.isNaN(position)) {
      return;
    }
    if (db.position > Double.NEGATIVE_INFINITY && at > db.lastHeard && position >= db.position) {
      double pace = Math.min(1, (position - db.position) / (at - db.lastHeard));
      db.replayRate += MIN_SAMPLE_WEIGHT * (pace - db.replayRate);
    }
    updatePosition(db, position);
  }

  /**
   * Records a position and how far it is ahead of the proxy's clock. Positions are wall-clock
   * times, and the wall clock may have stepped since this process started; since no real position
   * lies in the future, the databases' clock is ahead by at least that much, and staleness bounds
   * are checked against it.
   */
  void updatePosition(MemberState db, double position) {
    Group g = groups.get(db.entry.group());
    g.clockAhead = Math.max(g.clockAhead, position - now);
    db.position = Math.max(db.position, position);
  }

  /**
   * Discards all positions: those reported before may be by another clock and would look fresher
   * than they are.
   */
  @Override
  public void onDatabaseClock(double at, double ahead) {
    now = at;
    memberStates.values().forEach(db -> db.position = Double.NEGATIVE_INFINITY);
    groups.values().forEach(g -> g.clockAhead = 0);
  }

  /**
   * Whether a replica is fresh enough for a read. A staleness bound moves with the clock, a session
   * mark does not. Where replicas check reads themselves, the position is extrapolated at the
   * observed replay rate: a wrong estimate costs one miss.
   */
  boolean freshEnough(MemberState db, RoutedRequest w) {
    double need = minPosition(w);
    double estimatedReplay = answersStale ? 0 : db.replayRate * Math.max(0, now - db.lastHeard);
    return need == Double.NEGATIVE_INFINITY
        || db.position + estimatedReplay >= need
        || !answersStale
            && w.requestClass.freshness() == Freshness.BOUNDED
            && now - db.lastHeard > UNHEARD_MS;
  }

  double minPosition(RoutedRequest w) {
    boolean bounded = w.requestClass.freshness() == Freshness.BOUNDED;
    return bounded
        ? Math.max(now + w.group.clockAhead - w.requestClass.stalenessBound(), w.minPosition)
        : w.minPosition;
  }

  /**
   * Probes members that have sent nothing for a long time, least recently probed first: for the
   * latency of their zone, and sooner where probes report positions.
   */
  void probeUnheard() {
    double quiet =
        settings.reports() == Reports.IN_PROBES && !probesForPositions()
            ? UNHEARD_MS
            : UNHEARD_ZONE_MS;
    memberStates.values().stream()
        .filter(db -> now - Math.max(db.lastHeard, db.lastProbed) > quiet)
        .sorted(Comparator.comparingDouble(db -> db.lastProbed))
        .toList()
        .forEach(this::probe);
  }

  /**
   * Whether reads probe for positions: own answers are too rare to show them, no peer reports them,
   * and replicas would answer stale reads.
   */
  boolean probesForPositions() {
    return loadUnknown
        && answersStale
        && settings.limits().probes()
        && settings.reports() != Reports.NONE;
  }

  /**
   * Whether a read that no replica is known to be fresh enough for waits for a position probe.
   * Otherwise the primary would serve all reads of its group although no replica is behind, only
   * because none is known to be current.
   */
  boolean awaitsPosition(RoutedRequest w) {
    if (!probesForPositions() || minPosition(w) == Double.NEGATIVE_INFINITY) {
      return false;
    }
    w.positionWaitUntil =
        w.positionWaitUntil == 0
            ? now + POSITION_WAIT_SHARE * w.requestClass.targetLatency()
            : w.positionWaitUntil;
    if (now >= w.positionWaitUntil) {
      return false;
    }
    Group g = w.group;
    if (g.positionProbe == null || now - g.positionProbeAt > UNHEARD_MS) {
      probePosition(g, probeCandidate(w));
    }
    return g.positionProbe != null;
  }

  /**
   * Probes one replica of a group at a time, none where {@code db} is null; all waiting reads of
   * the group share the answer.
   */
  private void probePosition(Group g, MemberState db) {
    boolean paid = db != null && positionProbeTokens >= 1 && spendOnProbe(db);
    g.positionProbe = paid ? db : null;
    if (paid) {
      positionProbeTokens--;
      g.positionProbeAt = now;
      db.lastProbed = now;
      actions.probe(db.id);
    }
  }

  /**
   * A random replica of the nearest zones that was not probed recently and may take this read, or
   * null.
   */
  private MemberState probeCandidate(RoutedRequest w) {
    var near = new ArrayList<MemberState>();
    for (String zone : zoneOrder) {
      for (MemberState db : w.group.members) {
        if (db.entry.zone().equals(zone) && mayBeProbed(db, w)) {
          near.add(db);
        }
      }
      if (near.size() >= 2) {
        break;
      }
    }
    return near.isEmpty() ? null : near.get(random.nextInt(near.size()));
  }

  private boolean mayBeProbed(MemberState db, RoutedRequest w) {
    boolean replica = db.usable && db != w.group.primary && !w.excluded.contains(db);
    boolean well = !db.silent && !db.failing() && admits(db, w, false);
    double interval = Math.max(REPROBE_MS, coldProbeInterval(db));
    return replica && well && now - db.lastProbed > interval;
  }
}
