package crankspar.policy;

import java.util.ArrayList;
import java.util.Comparator;

/**
 * Which replica is known to be fresh enough for a read, and how that is found out. Where one
 * instance of many sees too little traffic to know any replica's position, a read asks one for it,
 * and waits for the answer.
 */
abstract class Positions extends Primary {
  /** A member unheard for this long (ms) is probed where only its zone's distance is wanted. */
  static final double UNHEARD_FAR = 5000;

  /** Share of its aim that a read waits for a replica to tell its position. */
  static final double ASK_SHARE = 0.3;

  /** A replica is asked again for its position after so long (ms). */
  static final double ASK_AGAIN = 100;

  Positions(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void pump(Group g); // sends what can be sent

  void notePosition(Db db, double position, double at) {
    if (Double.isNaN(position)) {
      return;
    }
    if (db.position > Double.NEGATIVE_INFINITY && at > db.heard && position >= db.position) {
      double pace = Math.min(1, (position - db.position) / (at - db.heard));
      db.pace += FRESH_WEIGHT * (pace - db.pace);
    }
    reached(db, position);
  }

  /**
   * A position is a time of the wall clock, which may have stepped since this process started: none
   * can be later than now. Bounds are held against the databases' clock, which is ahead by that
   * much at least.
   */
  void reached(Db db, double position) {
    Group g = groups.get(db.entry.group());
    g.ahead = Math.max(g.ahead, position - now);
    db.position = Math.max(db.position, position);
  }

  /** What was told before may be by another clock, and would look fresher than it is. */
  @Override
  public void onDatabaseClock(double at, double ahead) {
    now = at;
    dbs.values().forEach(db -> db.position = Double.NEGATIVE_INFINITY);
    groups.values().forEach(g -> g.ahead = 0);
  }

  /**
   * The gate. Bounds age with the clock, session marks do not. Where replicas check reads, a
   * position may be thought on at the pace seen: a wrong guess is a miss.
   */
  boolean passes(Db db, Work w) {
    double need = need(w);
    double thoughtOn = strict ? 0 : db.pace * Math.max(0, now - db.heard);
    return need == Double.NEGATIVE_INFINITY
        || db.position + thoughtOn >= need
        || !strict && w.kind.freshness() == Freshness.BOUNDED && now - db.heard > UNHEARD;
  }

  double need(Work w) {
    boolean bounded = w.kind.freshness() == Freshness.BOUNDED;
    return bounded ? Math.max(now + w.group.ahead - w.kind.stalenessBound(), w.need) : w.need;
  }

  /**
   * Members long unheard are probed, oldest first: for the zone's distance, sooner for their
   * position.
   */
  void probeUnheard() {
    double quiet =
        settings.reports() == Reports.IN_PROBES && !asksForPositions() ? UNHEARD : UNHEARD_FAR;
    dbs.values().stream()
        .filter(db -> now - Math.max(db.heard, db.probed) > quiet)
        .sorted(Comparator.comparingDouble(db -> db.probed))
        .toList()
        .forEach(this::probe);
  }

  /**
   * Own answers are too rare to tell positions, nobody else tells them, and a read may not go
   * without.
   */
  boolean asksForPositions() {
    return sparse && strict && settings.limits().probes() && settings.reports() != Reports.NONE;
  }

  /**
   * Whether a read that no known replica may answer waits for one to tell its position. Guards
   * against a primary that has to serve all reads of its group: no replica is behind, none is known
   * not to be.
   */
  boolean awaitsPosition(Work w) {
    if (!asksForPositions() || need(w) == Double.NEGATIVE_INFINITY) {
      return false;
    }
    w.askUntil = w.askUntil == 0 ? now + ASK_SHARE * w.kind.targetLatency() : w.askUntil;
    if (now >= w.askUntil) {
      return false;
    }
    Group g = w.group;
    if (g.positionOf == null || now - g.positionSince > UNHEARD) {
      ask(g, unheard(w));
    }
    return g.positionOf != null;
  }

  /**
   * One of a group at a time is asked, none where {@code db} is null; all its reads share the
   * answer.
   */
  private void ask(Group g, Db db) {
    g.positionOf = neededProbes >= 1 ? db : null;
    if (g.positionOf != null) {
      neededProbes--;
      g.positionSince = now;
      db.probed = now;
      actions.probe(db.id);
    }
  }

  /** A near replica that was not asked a moment ago and may have this read, by chance; or null. */
  private Db unheard(Work w) {
    var near = new ArrayList<Db>();
    for (String zone : zoneOrder) {
      for (Db db : w.group.members) {
        if (db.entry.zone().equals(zone) && mayBeAsked(db, w)) {
          near.add(db);
        }
      }
      if (near.size() >= 2) {
        break;
      }
    }
    return near.isEmpty() ? null : near.get(random.nextInt(near.size()));
  }

  private boolean mayBeAsked(Db db, Work w) {
    boolean replica = db.usable && db != w.group.primary && !w.avoid.contains(db);
    boolean well = !db.silent && !db.erring() && room(db, w, false);
    return replica && well && now - db.probed > ASK_AGAIN;
  }
}
