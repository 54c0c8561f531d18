package crankspar.policy;

/** How much a member may have: requests in flight, a cold one's budget, trials, probes. */
abstract class Limits extends Known {
  /** Zones are sorted this often (ms) by the lowest latency of the last WINDOW periods. */
  static final double PERIOD = 1000;

  /** How often (ms) lines, silences and trials are looked at when nothing else happens. */
  static final double TICK = 20;

  /**
   * Sparse: latency, as a share of the aim, that lowers a member's share; others raise it, to a
   * most.
   */
  static final double BAD = 0.8;

  static final double SHARE_DOWN = 0.7;
  static final double SHARE_UP = 0.05;
  static final double SHARE_MOST = 1.15;
  static final double MOST = 64; // of own requests in flight

  /** Weight of a new sample in a member's averages. */
  static final double FRESH_WEIGHT = 0.1;

  /**
   * A member that owes so many mean answers, none of which came, is silent (chance of error: e^-6).
   */
  static final double OWED = 6;

  /**
   * A member heard again within this long (ms) cannot have started anew meanwhile: it is no colder.
   */
  static final double RESTART = 2000;

  /**
   * Mean latency, as a share of the aim, that is assumed at the most of a member not measured for
   * long.
   */
  static final double UNCERTAIN = 0.5;

  /**
   * Reads that no replica can take may fill this share of the primary's bound; the rest is the
   * writes'.
   */
  static final double SPILL = 0.6;

  /**
   * Share of what a cold member could bear by the rule that is sent to it, and sends saved up for
   * it.
   */
  static final double COLD_SHARE = 0.4;

  static final double COLD_MOST = 1.5;

  /** Share of a request's worth that probes may cost, by their price. */
  static final double PROBE_COST = 0.005;

  /** The same for a probe that a read waits for: one a request, or as many as this share buys. */
  static final double NEEDED_PROBE_COST = 0.05;

  Limits(Settings settings, Actions actions) {
    super(settings, actions);
  }

  /**
   * Whether a member may have this one of ours too, by its bound and its cold budget. In a large
   * fleet own requests in flight say nothing: until peers tell theirs, each request draws its luck
   * once there, and a member takes the share of them that its answers' times allow.
   */
  boolean room(Db db, Work w, boolean spill) {
    if (now < db.shutUntil || cold(db) && db.credit < 1) {
      return false;
    }
    if (sparse) {
      return w.luck < (db.wasPrimary ? 2 * db.share : db.share) - (spill ? 1 : 0);
    }
    while (!db.ghosts.isEmpty() && db.ghosts.peek() <= now) {
      db.ghosts.poll();
    }
    return db.inFlight() + db.ghosts.size() < Math.max(1, db.limit * (spill ? SPILL : 1));
  }

  boolean trialDue(Db db, Work w) {
    return now >= Math.max(db.trialAt, db.shutUntil)
        && (!cold(db) || db.credit >= 1)
        && (!many || w.luck < db.share); // trials of many instances can keep a jam alive
  }

  /**
   * A warm member's even share of its group's arrivals is work that it can bear; a cold one gets
   * its part. Fractions add up: any number of instances together keep the budget, knowing no rate
   * and no size.
   */
  void earn(Group g) {
    probes =
        Math.min(EXTRA_MOST, probes + PROBE_COST / Math.max(PROBE_COST, settings.prices().probe()));
    double price = Math.max(NEEDED_PROBE_COST, settings.prices().probe());
    neededProbes = Math.min(EXTRA_MOST, neededProbes + NEEDED_PROBE_COST / price);
    Guarantees rules = settings.guarantees();
    for (Db db : g.members) {
      if (cold(db)) {
        double grown = db.lost ? 0 : Math.max(0, now - db.coldSince) / rules.rampTime();
        double able = rules.initialColdShare() + (1 - rules.initialColdShare()) * grown;
        double share = Math.min(1, COLD_SHARE * rules.fallMultiple()) * able / g.members.size();
        db.credit = Math.min(COLD_MOST, db.credit + share);
      }
    }
  }

  boolean cold(Db db) {
    return db.lost || now - db.coldSince < settings.guarantees().rampTime();
  }

  /**
   * The bound on own requests: up while answers come well within the aim, down when they do not.
   */
  void measure(Db db, double elapsed, double aim) {
    double strain = elapsed / aim;
    db.strain += weight(db) * (Math.min(strain, 2) - db.strain);
    db.measured = now;
    if (db.strain > STRAIN) {
      cut(db);
    } else if (db.inFlight() + 1 >= db.limit * 0.7) {
      db.limit = Math.min(MOST, db.limit + 1 / db.limit);
    }
    db.share = strain > BAD ? db.share * SHARE_DOWN : Math.min(SHARE_MOST, db.share + SHARE_UP);
  }

  /**
   * Each attempt in a row that its group left unanswered weighs more: one is a lost answer, many a
   * jam.
   */
  void lower(Db db, Group g) {
    db.share *= Math.pow(SHARE_DOWN, Math.min(OWED, ++g.unanswered));
  }

  /** Rare samples weigh more: no bound stays shut on old news. */
  double weight(Db db) {
    return Math.max(FRESH_WEIGHT, Math.min(0.5, (now - db.measured) / PERIOD));
  }

  /**
   * Guards against a member that is sent nothing as its last answers came late: nothing else would
   * show that it is well again. What is assumed leaves a read worth sending; one more late answer
   * does not.
   */
  void doubtOldMeasure(Db db) {
    if (now - db.measured > WAIT_MOST * scale) {
      db.strain = Math.min(db.strain, UNCERTAIN);
    }
  }

  void cut(Db db) {
    if (now - db.cutAt > TICK * 5) {
      db.cutAt = now;
      db.limit = Math.max(least, db.limit * 0.8);
    }
  }

  /**
   * A lost member gives a sign of life: unless it was seen a moment ago, it may have come back
   * cold.
   */
  void back(Db db) {
    if (db.lost && now - db.seen() > RESTART) {
      db.coldSince = now;
      db.limit = Math.min(1, db.limit);
    }
    db.lost = false;
  }

  void probe(Db db) {
    if (settings.limits().probes() && db.usable && probes >= 1) {
      probes--;
      db.probed = now;
      actions.probe(db.id);
    }
  }
}
