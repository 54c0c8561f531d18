package crankspar.gossip;

/**
 * The bytes that a pooler may spend on telling its peers. Its own requests earn them, at the
 * settings' price for a full message to one receiver; what is not spent is saved up to a bound.
 */
final class GossipBudget {
  /** Share of a request's worth that telling may cost. */
  private static final double COST_SHARE = 0.008;

  /** Full messages to all that may be saved up. */
  private static final double SAVED_MESSAGES = 4;

  /**
   * Requests whose bytes a start is lent: guards against a fleet that comes back at once, and whose
   * full messages nobody has earned.
   */
  private static final double LENT_REQUESTS = 16;

  /** Bytes are scarce below this share of what may be saved up: half a full message. */
  private static final double SCARCE_SHARE = 0.125;

  private static final double MOST = SAVED_MESSAGES * GossipMessage.MOST;

  private final double earned;
  private double saved;

  /** {@code price} is that of a full message to one receiver, as a share of a request's worth. */
  GossipBudget(double price, int receivers) {
    earned = price > 0 ? GossipMessage.MOST * COST_SHARE / price / receivers : GossipMessage.MOST;
    saved = Math.min(MOST, LENT_REQUESTS * earned);
  }

  /** A request came. */
  void request() {
    saved = Math.min(MOST, saved + earned);
  }

  void spend(int bytes) {
    saved -= bytes;
  }

  double saved() {
    return saved;
  }

  boolean scarce() {
    return saved < SCARCE_SHARE * MOST;
  }

  /**
   * Whether each request pays for telling one load: else what is told of load is a chance remnant,
   * and older than the request.
   */
  boolean paysForLoads() {
    return earned >= GossipMessage.LOAD;
  }
}
