package crankspar.pooling;

import java.util.function.Consumer;

/** Sends the queries of a {@link ConnectionReset} and notes what each that was done has changed. */
final class ResetDriver {
  private final ConnectionReset reset = new ConnectionReset();
  private final ServerState state;
  private final Consumer<String> send;

  /** Creates a driver; {@code send} sends a simple query. */
  ResetDriver(ServerState state, Consumer<String> send) {
    this.state = state;
    this.send = send;
  }

  ConnectionReset reset() {
    return reset;
  }

  /** Starts a reset; {@code resetSession} discards the session too. */
  void begin(boolean resetSession) {
    reset.begin(resetSession);
    sendNext();
  }

  /** Starts a wait for cancel requests alone. */
  void awaitCancels() {
    reset.awaitCancels();
    sendNext();
  }

  /** Sends the next query if its turn has come. */
  private void sendNext() {
    ConnectionReset.Query next = reset.next();
    if (next != null) {
      send.accept(next.sql);
    }
  }

  /**
   * A cancel request is finished.
   *
   * @param resetting whether the connection is being reset, so that the reset may go on
   * @return false if a cancel may still arrive at an unknown time
   */
  boolean cancelFinished(boolean confirmed, boolean resetting) {
    reset.cancelFinished(confirmed);
    if (resetting && !reset.cancelInDoubt()) {
      sendNext();
    }
    return !reset.cancelInDoubt();
  }

  /** Handles a server message. */
  ConnectionReset.Outcome onMessage(Frame f) throws Frame.Malformed {
    ConnectionReset.Outcome outcome = reset.onMessage(f);
    ConnectionReset.Query done = reset.completed();
    if (done != null && done.effect() != null) {
      state.onCompleted(done.effect(), done.sql, StatementOptions.NONE);
    }
    if (outcome == ConnectionReset.Outcome.CONTINUE) {
      sendNext();
    }
    return outcome;
  }
}
