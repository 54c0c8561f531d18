package crankspar.policy;

import java.util.ArrayList;

/**
 * Tracks each group's primary: the newest role report wins; before any report the list decides;
 * otherwise members are tried in turn.
 */
abstract class Primary extends LoadLimits {
  Primary(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void retryElsewhere(
      Attempt a, boolean newPrimary); // resends an attempt of a silent or replaced member elsewhere

  void noteRole(MemberState db, Role role, double at) {
    if (role == Role.UNKNOWN || at < db.roleAt) {
      return;
    }
    Group g = groups.get(db.entry.group());
    db.role = role;
    db.roleAt = at;
    db.wasPrimary = role == Role.PRIMARY;
    if (role == Role.PRIMARY && at >= g.primaryAt) {
      if (g.primary != null && g.primary != db) {
        new ArrayList<>(g.primary.attempts).forEach(a -> retryElsewhere(a, true));
      }
      g.primary = db;
      g.primaryAt = at;
      g.searchBackoff = INITIAL_BACKOFF_MS;
      g.searchMisses = 0;
    } else if (role == Role.REPLICA && g.primary == db) {
      g.primary = null;
      g.searchIndex = g.members.indexOf(db) + 1;
      g.searchMisses = 0;
    }
  }

  /** The member taken for primary, or null while none is known. */
  MemberState currentPrimary(Group g) {
    if (g.primary != null) {
      return g.primary.usable ? g.primary : null;
    }
    return g.members.stream()
        .filter(m -> m.usable && m.entry.listedPrimary() && m.role == Role.UNKNOWN)
        .findFirst()
        .orElse(null);
  }

  /**
   * Chooses the member for a write or fresh read. While the primary is searched, one request at a
   * time is sent and the others wait in the queue.
   */
  MemberState choosePrimary(RoutedRequest w) {
    Group g = w.group;
    MemberState p = currentPrimary(g);
    if (p != null && !p.silent) {
      return admits(p, w, false) ? p : null;
    }
    if (p != null && trialDue(p, w)) {
      return p;
    }
    boolean risky =
        answersStale
            && w.requestClass.freshness()
                != Freshness.WRITE; // a member that is not primary might answer from old data
    if (risky
        || g.searchAttempt != null
        || now < g.searchResumeAt
        || w.attemptCount + 2 > settings.limits().maxAttempts()) {
      return null;
    }
    for (int i = 0; i < g.members.size(); i++) {
      MemberState db = g.members.get((g.searchIndex + i) % g.members.size());
      if (db.usable && db != p && (!db.silent || trialDue(db, w)) && admits(db, w, false)) {
        return db;
      }
    }
    return null;
  }

  /**
   * Continues the search after a miss with the next member in id order; backs off after a full
   * round of misses.
   */
  void continueSearch(RoutedRequest w, MemberState missed) {
    Group g = w.group;
    boolean known = g.primary != null && g.primary != missed && !g.primary.silent;
    if (w.requestClass.freshness() != Freshness.WRITE || known) {
      return;
    }
    g.searchIndex = g.members.indexOf(missed) + 1;
    if (++g.searchMisses >= g.members.stream().filter(m -> m.usable && !m.silent).count()) {
      g.searchMisses = 0;
      g.searchResumeAt = now + g.searchBackoff * (0.75 + random.nextDouble() / 2);
      g.searchBackoff = Math.min(2 * g.searchBackoff, MAX_BACKOFF_MS);
    }
  }
}
