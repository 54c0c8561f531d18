package crankspar.pooling;

import java.util.List;

/**
 * What one request to the module stands for: a transaction's first messages, up to the one that
 * ends a batch. Until something of the answer has gone to the client they may be sent to another
 * member, as they are.
 */
final class OpeningBatch {
  final Client client;
  final List<Frame> frames;

  /** Whether the batch is whole: it ends with a Sync, a simple query or a function call. */
  final boolean whole;

  final Route.RoutingDecision way;

  /** Only a BEGIN: a server's role is looked at before its client hears that it has begun. */
  final boolean onlyBegin;

  /** Its client's mode: at the end of a transaction the connection is given back, or not. */
  final Setup.Mode mode;

  /** The connection that has it now, or had it last. */
  Server server;

  /** How far it had come where its connection broke. */
  Progress.Outcome outcome = Progress.Outcome.RETRYABLE;

  /**
   * What a server said that had it end, for its client to hear if nothing better follows; or null.
   */
  Frame serverError;

  OpeningBatch(
      Client client,
      List<Frame> frames,
      boolean whole,
      Route.RoutingDecision way,
      boolean onlyBegin,
      Setup.Mode mode) {
    this.client = client;
    this.frames = frames;
    this.whole = whole;
    this.way = way;
    this.onlyBegin = onlyBegin;
    this.mode = mode;
  }

  /** One that asks for nothing: it only learns what servers report of themselves. */
  boolean isEmpty() {
    return frames.isEmpty();
  }

  /** What its client hears where it was refused, with a time (ms) to come back at or nought. */
  Frame refusal(double retryIn, String why) {
    if (serverError != null && retryIn == 0) {
      return serverError;
    }
    String detail = retryIn > 0 ? Long.toString(Math.round(retryIn)) : null;
    return Frame.error("ERROR", "53300", why, detail);
  }

  /** What its client hears where it failed. */
  Frame failure(boolean mayHaveRun, String why) {
    boolean unknown = mayHaveRun && outcome == Progress.Outcome.UNKNOWN;
    return unknown || serverError == null
        ? LostConnection.error("ERROR", outcome, why)
        : serverError;
  }
}
