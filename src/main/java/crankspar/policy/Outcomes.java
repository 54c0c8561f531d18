package crankspar.policy;

/** Updates a member's health, load, position and role from the outcomes of attempts. */
abstract class Outcomes extends Reads {
  /**
   * Consecutive reset or failed connections after which a member counts as lost; a single one is
   * more likely a fault of that connection.
   */
  static final int MAX_CONNECTION_FAILURES = 3;

  /**
   * Retry tokens earned per successful answer, for repeats of requests that may have run; saved up
   * to {@link #MAX_TOKENS}.
   */
  static final double RETRY_RATIO = 0.1;

  Outcomes(Settings settings, Actions actions) {
    super(settings, actions);
  }

  abstract void markSilent(MemberState db);

  /** Updates the member's state from the outcome of one attempt. */
  void evaluate(MemberState db, Attempt a, Outcome o) {
    RequestClass kind = a.request.requestClass;
    if (isAnswer(o.status())) {
      recordAnswer(db, a, o);
    }
    if (o.status() == Status.TIMEOUT || o.status() == Status.CANCELLED) {
      recordNoAnswer(db, kind, o);
    }
    switch (o.status()) {
      case OK -> {
        retryTokens = Math.min(MAX_TOKENS, retryTokens + RETRY_RATIO);
        db.backoff = INITIAL_BACKOFF_MS;
        a.request.group.timeouts = 0;
        db.errorRate *= 1 - sampleWeight(db);
        db.trialInterval = db.failing() ? db.trialInterval : INITIAL_TRIAL_MS * fleetScale;
        recordLatency(db, o.elapsed(), kind.targetLatency());
        earnFromAnswer(db, kind, o.elapsed());
      }
      case ERROR -> {
        db.errorRate += Math.max(2 * MIN_SAMPLE_WEIGHT, sampleWeight(db)) * (1 - db.errorRate);
        db.lastMeasured = now;
      }
      case RESET -> { // more likely a fault of the connection than of its member
        db.connectionFailures++;
        db.errorRate += MIN_SAMPLE_WEIGHT / 2 * (1 - db.errorRate);
      }
      case FULL -> {
        reduceLimit(db);
        reduceShare(db, a.request.group);
        db.backoffUntil = now + db.backoff * (0.5 + random.nextDouble());
        db.backoff = Math.min(MAX_BACKOFF_MS * fleetScale, 2 * db.backoff);
      }
      case TIMEOUT, CANCELLED -> {
        if (o.status() == Status.TIMEOUT) {
          reduceShare(db, a.request.group);
        }
        if (o.elapsed() > db.latencyRatio * kind.targetLatency()) {
          recordLatency(
              db,
              o.elapsed(),
              kind.targetLatency()); // a lower bound: the answer would have come later still
        }
      }
      case CONNECT_FAILED -> {
        if (++db.connectionFailures >= MAX_CONNECTION_FAILURES
            || !loadUnknown && now - db.lastSeen() > UNHEARD_MS) {
          markLost(db);
          markSilent(db);
        } else {
          db.backoffUntil =
              Math.max(db.backoffUntil, now + INITIAL_BACKOFF_MS * (0.5 + random.nextDouble()));
        }
      }
      case MISS -> continueSearch(a.request, db);
      default -> {}
    }
  }

  private static boolean isAnswer(Status status) {
    return status == Status.OK
        || status == Status.MISS
        || status == Status.FULL
        || status == Status.ERROR;
  }

  private void recordAnswer(MemberState db, Attempt a, Outcome o) {
    boolean committed =
        o.status() == Status.OK && a.request.requestClass.freshness() == Freshness.WRITE;
    notePosition(db, committed ? o.position() - 1 : o.position(), now);
    noteRole(db, o.role(), now);
    noteLatency(db, o.elapsed());
    markAlive(db);
    db.connectionFailures = 0;
    db.lastHeard = now;
    if (o.status() != Status.FULL) { // a rejection without execution is no proof of health
      db.silent = false;
      db.overdue = 0;
    }
    if (committed) {
      rememberCommit(a.request.request.session(), o.position());
    }
  }

  private void recordNoAnswer(MemberState db, RequestClass kind, Outcome o) {
    if (!loadUnknown) {
      db.abandonedUntil.add(
          now
              + db.latencyRatio
                  * kind.targetLatency()); // it may still run and compete with later requests
    }
    if (now - db.lastHeard > o.elapsed()) {
      db.overdue +=
          Math.min(
              OVERDUE_LIMIT / 2,
              o.elapsed() / Math.max(TICK_MS, db.latencyRatio * kind.targetLatency()));
    }
  }
}
