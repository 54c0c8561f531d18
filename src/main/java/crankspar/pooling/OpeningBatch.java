package crankspar.pooling;

import java.util.List;

/**
 * The first messages of a transaction, up to the one that ends a batch, submitted to the core as
 * one request. Until part of the reply has been sent to the client they may be resent unchanged to
 * another member.
 */
final class OpeningBatch {
  final Client client;
  final List<Frame> frames;

  /** Whether the batch is complete: it ends with a Sync, a simple query or a function call. */
  final boolean whole;

  final Route.RoutingDecision way;

  /** Whether it only begins a block; the server's role is checked before the reply is sent. */
  final boolean onlyBegin;

  /** The pooling mode: whether the connection is released at the end of a transaction. */
  final Setup.Mode mode;

  private final long bytes;

  /** The server connection that has the batch, or had it last. */
  Server server;

  /** What is known of the transaction if its connection was lost. */
  Progress.Outcome outcome = Progress.Outcome.RETRYABLE;

  /**
   * The server error that ended an attempt, or null; sent to the client if no later attempt
   * succeeds.
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
    bytes = frames.stream().mapToLong(Frame::size).sum();
  }

  /** Bytes of its messages, which are held until the request has its answer. */
  long bytes() {
    return bytes;
  }

  /** Whether a server connection has it now. */
  boolean atServer() {
    return server != null && server.opening() == this;
  }

  /** Whether it has no messages: such a batch only learns the parameters that servers report. */
  boolean isEmpty() {
    return frames.isEmpty();
  }

  /** The error for a refused request; {@code retryIn}: when to retry (ms), or 0 if unknown. */
  Frame refusal(double retryIn, String why) {
    if (serverError != null && retryIn == 0) {
      return serverError;
    }
    String detail = retryIn > 0 ? Long.toString(Math.round(retryIn)) : null;
    return Frame.error("ERROR", "53300", why, detail);
  }

  /** The error sent to the client when its request failed. */
  Frame failure(boolean mayHaveRun, String why) {
    boolean unknown = mayHaveRun && outcome == Progress.Outcome.UNKNOWN;
    return unknown || serverError == null
        ? LostConnection.error("ERROR", outcome, why)
        : serverError;
  }
}
