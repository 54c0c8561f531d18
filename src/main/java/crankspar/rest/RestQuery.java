package crankspar.rest;

import crankspar.Router.Freshness;

/**
 * A client's call, decoded: a page of a read class, or a write with its key.
 *
 * @param oldest the age (ms) that a bounded read's data may have, else infinite
 * @param mark the position (Unix ms) that the data must have reached, or NaN
 * @param body what a write brings, else null
 */
record RestQuery(
    String kind,
    Freshness freshness,
    int group,
    String key,
    int limit,
    String after,
    double oldest,
    double mark,
    String idempotencyKey,
    byte[] body) {
  static final RestQuery LOAD =
      new RestQuery(
          "load", Freshness.ANY, 0, null, 0, "", Double.POSITIVE_INFINITY, Double.NaN, null, null);

  boolean write() {
    return freshness == Freshness.WRITE;
  }

  /** The position below which an answer to a send at this time would be too old. */
  double least(double sent) {
    double bound = Double.isInfinite(oldest) ? Double.NEGATIVE_INFINITY : sent - oldest;
    return Double.isNaN(mark) ? bound : Math.max(bound, mark);
  }
}
