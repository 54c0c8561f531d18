package crankspar.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;

/**
 * Where a read goes: the gate by known positions, zones by their lowest latency of late, the pick
 * of two.
 */
abstract class Reads extends Positions {
  static final int WINDOW = 10;
  static final int SESSIONS = 100_000; // remembered
  static final double COLD_LONG =
      2; // a cold one gets this many sixes of instances' part of long reads

  Reads(Settings settings, Actions actions) {
    super(settings, actions);
    sortZones();
  }

  @Override
  double needAtStart(Request r, RequestClass kind) {
    if (kind.freshness() == Freshness.FRESH) {
      return now;
    }
    boolean paged =
        kind.freshness() == Freshness.BOUNDED && r.markAge() > 0; // a later page: never back
    if (kind.freshness() != Freshness.SESSION && !paged) {
      return Double.NEGATIVE_INFINITY;
    }
    double told = r.markAge() > 0 ? now - r.markAge() : Double.NEGATIVE_INFINITY;
    boolean carried = paged || settings.sessionMarks() == SessionMarks.CARRIED;
    return carried ? told : Math.max(told, marks.getOrDefault(r.session(), forgotten));
  }

  void remember(String session, double commit) {
    if (session == null
        || settings.sessionMarks() == SessionMarks.CARRIED
        || Double.isNaN(commit)) {
      return;
    }
    double last = marks.getOrDefault(session, commit);
    marks.remove(session);
    marks.put(session, Math.max(last, commit));
    if (marks.size() > SESSIONS) {
      var oldest = marks.entrySet().iterator();
      forgotten = Math.max(forgotten, oldest.next().getValue());
      oldest.remove();
    }
  }

  void noteLatency(Db db, double elapsed) {
    lows.merge(db.entry.zone(), elapsed, Math::min);
  }

  double distance(String zone) {
    Double low = lows.getOrDefault(zone, lowsBefore.get(zone));
    return low != null
        ? Math.min(low, lowsBefore.getOrDefault(zone, low))
        : zone.equals(settings.zone()) ? 0 : Double.POSITIVE_INFINITY;
  }

  void sortZones() {
    dbs.values().stream()
        .map(db -> db.entry.zone())
        .filter(z -> !zoneOrder.contains(z))
        .distinct()
        .toList()
        .forEach(zoneOrder::add);
    zoneOrder.sort(Comparator.comparingDouble(this::distance));
  }

  void everyPeriod() {
    sortZones();
    if (++period % (WINDOW / 2) == 0) {
      lowsBefore = lows;
      lows = new HashMap<>();
    }
    probeUnheard();
    dbs.values().forEach(this::doubtOldMeasure);
    dbs.values().forEach(db -> db.share = Math.max(db.share, Math.min(1, db.share + SHARE_UP / 4)));
    after(PERIOD, this::everyPeriod);
  }

  /** A probe's position and role are as old as its report; a primary's position dates it. */
  @Override
  public void onProbe(double at, ProbeResult r) {
    now = at;
    Db db = dbs.get(r.member());
    if (db == null) {
      return;
    }
    Group g = groups.get(db.entry.group());
    boolean awaited = g.positionOf == db;
    g.positionOf = awaited ? null : g.positionOf;
    if (!r.ok()) {
      db.lost |= db.silent;
      if (awaited) {
        pump(g); // the next one may be asked
      }
      return;
    }
    noteLatency(db, r.elapsed());
    if (!Double.isNaN(r.position())) {
      reached(db, r.position());
      noteRole(db, r.role(), r.position());
    }
    pump(g);
  }

  /**
   * What peers learned first-hand, never empty: a position stays true however late, and dates its
   * role.
   */
  @Override
  public void onPeerReports(double at, List<PeerReport> what) {
    now = at;
    if (sparse == what.get(0).inFlight() >= 0) { // bounds hold for all in flight while that is told
      sparse = !sparse;
      least = sparse ? Math.max(1, LEAST / settings.instanceCount()) : LEAST;
      dbs.values().forEach(db -> db.limit = firstLimit());
    }
    for (PeerReport h : what) {
      Db db = dbs.get(h.member()); // one that the own list has not named is none of ours
      if (db != null && h.position() < now + groups.get(db.entry.group()).ahead + UNHEARD) {
        if (h.heardAt() > db.told) {
          back(db);
          db.told = h.heardAt();
        }
        db.position = Math.max(db.position, h.position());
        noteRole(db, h.role(), h.position());
        db.others = Math.max(0, h.inFlight());
      }
    }
    groups.values().forEach(this::pump);
  }

  Db chooseReplica(Work w) {
    var near = new ArrayList<Db>();
    Db due = null;
    boolean seek = strict && believed(w.group) == null;
    for (String zone : zoneOrder) {
      for (Db db : w.group.members) {
        if (!db.usable
            || !db.entry.zone().equals(zone)
            || db == w.group.primary
            || w.avoid.contains(db)
            || !passes(db, w)) {
          continue;
        }
        if (db.silent || db.erring()) {
          due = due == null && trialDue(db, w) && w.out.isEmpty() && w.tries == 0 ? db : due;
        } else if (room(db, w, false)) {
          if (seek && db.role == Role.UNKNOWN) {
            return db;
          }
          near.add(db);
        }
      }
      if (near.size() >= 2 && !seek) {
        break;
      }
    }
    if (due != null || near.isEmpty()) {
      return due;
    }
    Db one = near.get(random.nextInt(near.size()));
    Db two = near.get(random.nextInt(near.size()));
    int cmp = Integer.compare(two.inFlight(), one.inFlight());
    boolean strained = sparse && Math.max(one.strain, two.strain) > STRAIN;
    boolean tie =
        strained
            ? two.strain < one.strain
            : many && one.entry.zone().equals(two.entry.zone())
                ? random.nextBoolean()
                : near.indexOf(two) < near.indexOf(one);
    return cmp < 0 || cmp == 0 && tie ? two : one;
  }

  /**
   * A read that may hold up replay for longer than the tightest bound waits for the replica
   * furthest behind, so that the others stay fresh; all instances see the same one. Harm: it waits.
   */
  boolean stalls(Work w) {
    return w.kind.freshness() == Freshness.ANY && w.kind.targetLatency() * STRAIN > tightest;
  }

  Db furthestBehind(Work w) {
    return w.group.members.stream()
        .filter(
            m ->
                m.usable
                    && !m.silent
                    && !m.erring()
                    && m != w.group.primary
                    && !w.avoid.contains(m)
                    && (!cold(m) || w.luck * scale < COLD_LONG))
        .min(Comparator.comparingDouble(m -> m.position))
        .orElse(null);
  }

  Db choose(Work w) {
    if (w.primaryOnly()) {
      return choosePrimary(w);
    }
    Db last = stalls(w) ? furthestBehind(w) : null;
    if (last != null) {
      return room(last, w, false) ? last : null;
    }
    Db db = chooseReplica(w);
    Db p = believed(w.group);
    if (db != null
        && !(sparse
            && db.strain > STRAIN
            && p != null
            && p.strain < db.strain
            && !p.silent
            && !p.erring()
            && room(p, w, true))) {
      return db;
    }
    boolean well = p != null && !p.silent && !p.erring() && p.strain <= STRAIN;
    boolean spare = well && !w.avoid.contains(p) && room(p, w, true);
    if (db == null && !spare && awaitsPosition(w)) {
      return null;
    }
    if (p == null || w.avoid.contains(p) || p.erring() && !trialDue(p, w)) {
      return null;
    }
    return p.silent ? trialDue(p, w) ? p : null : room(p, w, true) ? p : null;
  }
}
