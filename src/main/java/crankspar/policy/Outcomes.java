package crankspar.policy;

/** What the outcome of an attempt says of its member: health, load, position and role. */
abstract class Outcomes extends Reads {
  /**
   * Broken or failed connections in a row that make a member lost: one says more of a connection.
   */
  static final int STRIKES = 3;

  /** Second sends of work that may have run: this many for each answer, saved up to EXTRA_MOST. */
  static final double EXTRA = 0.1;

  Outcomes(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void fallSilent(Db db);

  /** What an outcome says of its member. */
  void judge(Db db, Attempt a, Outcome o) {
    RequestClass kind = a.work.kind;
    if (isAnswer(o.status())) {
      heard(db, a, o);
    }
    if (o.status() == Status.TIMEOUT || o.status() == Status.CANCELLED) {
      unanswered(db, kind, o);
    }
    switch (o.status()) {
      case OK -> {
        extra = Math.min(EXTRA_MOST, extra + EXTRA);
        db.shutGap = PAUSE;
        a.work.group.unanswered = 0;
        db.errors *= 1 - weight(db);
        db.trialGap = db.erring() ? db.trialGap : TRIAL_FIRST * scale;
        measure(db, o.elapsed(), kind.targetLatency());
      }
      case ERROR -> {
        db.errors += Math.max(2 * FRESH_WEIGHT, weight(db)) * (1 - db.errors);
        db.measured = now;
      }
      case RESET -> { // this says more of a connection than of its member
        db.strikes++;
        db.errors += FRESH_WEIGHT / 2 * (1 - db.errors);
      }
      case FULL -> {
        cut(db);
        lower(db, a.work.group);
        db.shutUntil = now + db.shutGap * (0.5 + random.nextDouble());
        db.shutGap = Math.min(WAIT_MOST * scale, 2 * db.shutGap);
      }
      case TIMEOUT, CANCELLED -> {
        if (o.status() == Status.TIMEOUT) {
          lower(db, a.work.group);
        }
        if (o.elapsed() > db.strain * kind.targetLatency()) {
          measure(
              db, o.elapsed(), kind.targetLatency()); // at least: it would have come later still
        }
      }
      case CONNECT_FAILED -> {
        if (++db.strikes >= STRIKES || !sparse && now - db.seen() > UNHEARD) {
          db.lost = true;
          fallSilent(db);
        } else {
          db.shutUntil = Math.max(db.shutUntil, now + PAUSE * (0.5 + random.nextDouble()));
        }
      }
      case MISS -> searchOn(a.work, db);
      default -> {}
    }
  }

  private static boolean isAnswer(Status status) {
    return status == Status.OK
        || status == Status.MISS
        || status == Status.FULL
        || status == Status.ERROR;
  }

  private void heard(Db db, Attempt a, Outcome o) {
    boolean committed = o.status() == Status.OK && a.work.kind.freshness() == Freshness.WRITE;
    notePosition(db, committed ? o.position() - 1 : o.position(), now);
    noteRole(db, o.role(), now);
    noteLatency(db, o.elapsed());
    back(db);
    db.strikes = 0;
    db.heard = now;
    if (o.status() != Status.FULL) { // what is turned away unseen proves nothing
      db.silent = false;
      db.owed = 0;
    }
    if (committed) {
      remember(a.work.request.session(), o.position());
    }
  }

  private void unanswered(Db db, RequestClass kind, Outcome o) {
    if (!sparse) {
      db.ghosts.add(
          now + db.strain * kind.targetLatency()); // it may run on, and crowd what comes after it
    }
    if (now - db.heard > o.elapsed()) {
      db.owed += Math.min(OWED / 2, o.elapsed() / Math.max(TICK, db.strain * kind.targetLatency()));
    }
  }
}
