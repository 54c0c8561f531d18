package crankspar.core;

import crankspar.Router.Role;

/**
 * Estimates how far the databases' clock is ahead of this process's clock, which read its Unix time
 * once, at the start, from a wall clock that may have been behind. Databases report positions by
 * their own clock; the module receives times by the local clock.
 *
 * <p>A position ahead of the local clock is either noise or a sign that the local clock is behind.
 * The latter is assumed if primaries, which unlike replicas never lag, all report it from the start
 * and by the same amount. From then on all positions are converted from the databases' clock.
 * Before the first primary has reported its time no replica's position is trusted: a replica that
 * lags by as much as the local clock is behind would look fresh. This class does no I/O; times are
 * in ms.
 */
final class DatabaseClock {
  /** Maximum difference (ms) between two clocks, including rounding. */
  static final double MAX_SKEW_MS = 100;

  /** Number of consecutive reports from primaries that must agree, either way. */
  static final int REQUIRED_IN_A_ROW = 8;

  /**
   * Maximum spread (ms) between those reports, caused by network latency from the databases and by
   * stalls of this process.
   */
  static final double MAX_SPREAD_MS = 200;

  /**
   * Maximum latency (ms) from a database. The unknown part of it makes data look older, never
   * fresher.
   */
  static final double MAX_LATENCY_MS = 50;

  /** What a reported position implies about the clocks. */
  enum Verdict {
    PLAUSIBLE,
    /**
     * A primary's time lies ahead of the local clock: a replica's data may be older than it looks.
     */
    UNPROVEN,
    IMPLAUSIBLE,
    /** Plausible, and from now on the databases' clock counts as ahead of the local clock. */
    FOUND_AHEAD
  }

  private double aheadMs;
  private boolean settled;
  private int aheadInARow;
  private int plausibleInARow;
  private double minLead;
  private double maxLead;

  Verdict observe(double now, Role role, double position) {
    double lead = position - now - aheadMs;
    if (position > 0 && lead < MAX_SKEW_MS) {
      onPlausible(role);
      return aheadInARow == 0 ? Verdict.PLAUSIBLE : Verdict.UNPROVEN;
    }
    boolean open = !settled && role == Role.PRIMARY && position > 0;
    return open ? onAhead(lead) : Verdict.IMPLAUSIBLE;
  }

  private void onPlausible(Role role) {
    if (role == Role.PRIMARY) {
      aheadInARow = 0;
      plausibleInARow++;
      settled |= plausibleInARow >= REQUIRED_IN_A_ROW;
    }
  }

  private Verdict onAhead(double lead) {
    plausibleInARow = 0;
    minLead = aheadInARow == 0 ? lead : Math.min(minLead, lead);
    maxLead = aheadInARow == 0 ? lead : Math.max(maxLead, lead);
    aheadInARow++;
    if (maxLead - minLead > MAX_SPREAD_MS) {
      aheadInARow = 1;
      minLead = lead;
      maxLead = lead;
    }
    if (aheadInARow < REQUIRED_IN_A_ROW) {
      return Verdict.IMPLAUSIBLE;
    }
    aheadMs = maxLead + MAX_LATENCY_MS;
    settled = true;
    aheadInARow = 0;
    return Verdict.FOUND_AHEAD;
  }

  /** Converts a position to the local clock (NaN stays NaN). */
  double toLocal(double position) {
    return position - aheadMs;
  }

  /** The age of a mark (ms) as passed to the module: -1 for none, otherwise greater than 0. */
  double age(double mark, double now) {
    // A mark from the same millisecond may lie ahead of this clock; it still counts as a mark.
    return Double.isNaN(mark) ? -1 : Math.max(0.001, now - toLocal(mark));
  }

  /** How far the databases' clock is ahead of the local clock (ms). */
  double aheadMs() {
    return aheadMs;
  }
}
