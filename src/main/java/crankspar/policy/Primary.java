package crankspar.policy;

import java.util.ArrayList;

/** Who is primary: the newest note wins, before any note the list, else members are asked. */
abstract class Primary extends Limits {
  Primary(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void rescue(Attempt a, boolean newPrimary); // what is out at a member moves on

  void noteRole(Db db, Role role, double at) {
    if (role == Role.UNKNOWN || at < db.roleAt) {
      return;
    }
    Group g = groups.get(db.entry.group());
    db.role = role;
    db.roleAt = at;
    db.wasPrimary = role == Role.PRIMARY;
    if (role == Role.PRIMARY && at >= g.primaryAt) {
      if (g.primary != null && g.primary != db) {
        new ArrayList<>(g.primary.out).forEach(a -> rescue(a, true));
      }
      g.primary = db;
      g.primaryAt = at;
      g.roundGap = PAUSE;
      g.asked = 0;
    } else if (role == Role.REPLICA && g.primary == db) {
      g.primary = null;
      g.next = g.members.indexOf(db) + 1;
      g.asked = 0;
    }
  }

  /** The member to hold for primary, or null while that is open. */
  Db believed(Group g) {
    if (g.primary != null) {
      return g.primary.usable ? g.primary : null;
    }
    return g.members.stream()
        .filter(m -> m.usable && m.entry.listedPrimary() && m.role == Role.UNKNOWN)
        .findFirst()
        .orElse(null);
  }

  /**
   * Where a write or fresh read goes; a search has one request out at a time, the others wait
   * unsent.
   */
  Db choosePrimary(Work w) {
    Group g = w.group;
    Db p = believed(g);
    if (p != null && !p.silent) {
      return room(p, w, false) ? p : null;
    }
    if (p != null && trialDue(p, w)) {
      return p;
    }
    boolean risky =
        strict && w.kind.freshness() != Freshness.WRITE; // a guess might answer from old data
    if (risky
        || g.scout != null
        || now < g.roundAt
        || w.tries + 2 > settings.limits().maxAttempts()) {
      return null;
    }
    for (int i = 0; i < g.members.size(); i++) {
      Db db = g.members.get((g.next + i) % g.members.size());
      if (db.usable && db != p && (!db.silent || trialDue(db, w)) && room(db, w, false)) {
        return db;
      }
    }
    return null;
  }

  /** A searcher missed: on to the next in id order, and a wait once a full round has missed. */
  void searchOn(Work w, Db missed) {
    Group g = w.group;
    boolean known = g.primary != null && g.primary != missed && !g.primary.silent;
    if (w.kind.freshness() != Freshness.WRITE || known) {
      return;
    }
    g.next = g.members.indexOf(missed) + 1;
    if (++g.asked >= g.members.stream().filter(m -> m.usable && !m.silent).count()) {
      g.asked = 0;
      g.roundAt = now + g.roundGap * (0.75 + random.nextDouble() / 2);
      g.roundGap = Math.min(2 * g.roundGap, WAIT_MOST);
    }
  }
}
