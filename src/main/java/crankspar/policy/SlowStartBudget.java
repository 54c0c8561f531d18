package crankspar.policy;

/**
 * The part that one instance has in the budget of a cold member, as tokens of one mean request
 * each.
 *
 * <p>What a member can do is told by no setting. What members have answered they could do, so the
 * answers of a group earn tokens, and requests that arrive or are refused earn none. All instances
 * together hear at most as many answers as the group can give; therefore their tokens together stay
 * within the budget, however many instances there are and whatever arrives. A token that is not
 * spent within {@code lifetime} ms is lost: all instances together can have saved what is earned in
 * that time, and no more.
 */
final class SlowStartBudget {
  /** Most tokens at a time; the fraction above one goes to the next token. */
  static final double MAX_TOKENS = 1.5;

  private final double lifetime;
  private double tokens;
  private double grantedAt; // since when there is a whole token
  private long granted;
  private long expired;
  private double work;

  /** A token is lost after {@code lifetime} ms. */
  SlowStartBudget(double lifetime) {
    this.lifetime = lifetime;
  }

  /** Begins anew; a random fraction keeps the instances from spending their first ones together. */
  void reset(double now, double fraction) {
    tokens = fraction;
    grantedAt = now;
    granted = 0;
    expired = 0;
    work = 0;
  }

  /** Adds what answers have earned, in tokens. */
  void earn(double now, double amount) {
    expire(now);
    boolean had = tokens >= 1;
    tokens = Math.min(MAX_TOKENS, tokens + amount);
    if (!had && tokens >= 1) {
      grantedAt = now;
      granted++;
    }
  }

  /** Whether a request may be sent now. */
  boolean hasToken(double now) {
    expire(now);
    return tokens >= 1;
  }

  /** Takes the cost of a request or a probe, which may be more than there is. */
  void spend(double now, double cost) {
    expire(now);
    tokens -= cost;
    work += cost;
  }

  private void expire(double now) {
    if (tokens >= 1 && now - grantedAt > lifetime) {
      tokens -= 1;
      expired++;
    }
  }

  double tokens() {
    return tokens;
  }

  long granted() {
    return granted;
  }

  long expired() {
    return expired;
  }

  /** What was spent, in mean requests. */
  double work() {
    return work;
  }
}
