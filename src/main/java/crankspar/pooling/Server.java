package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.SocketConnection;
import java.nio.ByteBuffer;

/**
 * The state machine of one connection to a server. It serves one client transaction after another,
 * each as a {@link Lease}. Before another client uses it, what the last one left behind is rolled
 * back and reset, or the connection is closed. Its end is reported exactly once.
 */
final class Server implements ConnectionHandler, Ports.Call, IdleList.IdleConnection {
  private final ServerPool pool;
  private final ServerKey key;
  private final String member;
  private final double openedAt;
  private final double jitter;
  private final ServerState sessionState = new ServerState();
  private final ServerLogin login = new ServerLogin();
  private final ReportedStatus reportedStatus = new ReportedStatus();
  private final ResetDriver resetDriver = new ResetDriver(sessionState, this::sendQuery);
  private final ConnectionReset connectionReset = resetDriver.reset();
  private final FrameDecoder decoder = new FrameDecoder(false);
  private final Backpressure clientBacklog;
  private SocketConnection socket;
  private Connection out;
  private ConnectionState state = ConnectionState.LOGIN;
  private double stateSince;

  /** The current client's use of this connection, or null. */
  private Lease lease;

  private Frame stateError;

  /** Whether the connection accepts no further transaction. */
  private boolean closing;

  Server(ServerPool pool, ServerKey key, String member, double jitter) {
    this.pool = pool;
    this.key = key;
    this.member = member;
    this.jitter = jitter;
    openedAt = stateSince = pool.now();
    clientBacklog =
        new Backpressure(
            reading -> {
              if (lease != null) {
                lease.opening().client.serverWritable(reading);
              }
            });
  }

  ServerPool pool() {
    return pool;
  }

  ServerKey key() {
    return key;
  }

  String member() {
    return member;
  }

  ConnectionState state() {
    return state;
  }

  /** The session state on the server, as far as it was set through the pooler. */
  ServerState sessionState() {
    return sessionState;
  }

  /** Role and replication position as reported by the server. */
  ReportedStatus reportedStatus() {
    return reportedStatus;
  }

  /** The current client's use of this connection, or null. */
  Lease lease() {
    return lease;
  }

  /** The transaction request being served, or null. */
  OpeningBatch opening() {
    return lease == null ? null : lease.opening();
  }

  /** The login, with the cancel key that the server sent. */
  ServerLogin login() {
    return login;
  }

  double stateSince() {
    return stateSince;
  }

  boolean isClosing() {
    return closing;
  }

  /** Whether this lease holds the connection and the client's state is applied. */
  boolean isActive(Lease asking) {
    return state == ConnectionState.ACTIVE && lease == asking;
  }

  /** Pauses or resumes reading from the server, as backpressure from a slow client. */
  void setReading(boolean on) {
    out.reading(on);
  }

  @Override
  public double openedAt() {
    return openedAt;
  }

  @Override
  public double idleSince() {
    return stateSince;
  }

  @Override
  public double jitter() {
    return jitter;
  }

  private void transitionTo(ConnectionState next) {
    state = next;
    stateSince = pool.now();
  }

  /** Sets the socket, as soon as the connect has been started. */
  void setSocket(SocketConnection stream) {
    this.socket = stream;
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
    out.write(ServerLogin.startup(key));
  }

  // ---- Serving a client's transaction.
  /** Assigns a transaction; it must start, after login and state setup, within the timeout (ms). */
  void assign(OpeningBatch opening, double timeout, Ports.AttemptListener<Answer> listener) {
    lease = new Lease(this, opening, pool.now() + timeout, listener);
    opening.server = this;
    if (state == ConnectionState.IDLE) {
      applyClientState();
    }
  }

  private void applyClientState() {
    OpeningBatch opening = lease.opening();
    String sql = opening.isEmpty() ? null : StateDiff.query(sessionState, opening.client.session());
    if (sql == null) {
      transitionTo(ConnectionState.ACTIVE);
      lease.start();
    } else {
      transitionTo(ConnectionState.CARRYING);
      stateError = null;
      pool.count("pooling_carries", 1);
      sendQuery(sql);
    }
  }

  /** Sends a simple query of the pooler; like every simple query it drops the unnamed statement. */
  private void sendQuery(String sql) {
    sessionState.setUnnamed(null);
    out.write(Frame.query(sql).wire());
  }

  /** Writes bytes of the client, which is not read while too much is queued here. */
  void writeForClient(byte[] bytes, Runnable written) {
    clientBacklog.bytesQueued(bytes.length);
    out.write(
        bytes,
        bytes.length,
        () -> {
          clientBacklog.bytesWritten(bytes.length);
          written.run();
        });
  }

  // ---- Messages from the server.
  @Override
  public void received(ByteBuffer in) {
    decoder.feed(in);
    try {
      for (Frame f = decoder.next();
          f != null && state != ConnectionState.CLOSED;
          f = decoder.next()) {
        onMessage(f);
      }
    } catch (Frame.Malformed e) {
      pool.count("pooling_server_malformed", 1);
      close("malformed message: " + e.getMessage());
    }
  }

  private void onMessage(Frame f) throws Frame.Malformed {
    if (f.type() == 'S') {
      reportedStatus.read(f, state == ConnectionState.ACTIVE ? null : sessionState);
    }
    switch (state) {
      case LOGIN -> onLoginMessage(f);
      case IDLE -> onIdleMessage(f);
      case CARRYING -> onStateApplied(f);
      case ACTIVE -> lease.fromServer(f);
      case TESTED -> onResetMessage(f);
      case CLOSED -> {}
    }
  }

  private void onLoginMessage(Frame f) throws Frame.Malformed {
    ServerLogin.Step step = login.onMessage(f);
    if (step instanceof ServerLogin.Step.Refused refused) {
      if (lease != null) {
        lease.opening().serverError = refused.error();
      }
      close(refused.reason());
    } else if (step instanceof ServerLogin.Step.Ready) {
      transitionTo(ConnectionState.IDLE);
      pool.connected(this);
      if (lease != null) {
        applyClientState();
      } else {
        releaseClean();
      }
    }
  }

  private void onIdleMessage(Frame f) throws Frame.Malformed {
    switch (f.type()) {
      case 'S', 'N', 'A' -> {}
      case 'E' -> close("closed by the server: " + f.fields().get('M'));
      default -> throw new Frame.Malformed("unexpected message type " + f.type() + " while idle");
    }
  }

  private void onStateApplied(Frame f) throws Frame.Malformed {
    if (f.type() == 'E') {
      stateError = f;
    } else if (f.type() == 'Z') {
      transitionTo(ConnectionState.ACTIVE);
      if (stateError == null) {
        SessionState client = lease.opening().client.session();
        sessionState.replaceSession(client.options(), client.sqlPrepared());
        lease.start();
      } else { // the client gets the error as if it had sent these statements
        pool.count("pooling_carries_failed", 1);
        lease.restoreFailed(stateError);
      }
    }
  }

  // ---- Release.
  /** Ends the lease with the transaction; the connection is released for other clients. */
  void finish(AttemptEnd<Answer> how) {
    Lease ended = lease;
    ReleaseAction.Condition condition =
        ended.condition(false, mustClose(), connectionReset.unsettledCancels());
    endLease();
    release(condition);
    ended.reportEnd(how);
  }

  private void endLease() {
    lease = null;
    out.reading(true); // a slow client's answer is in the client's own queue by now
  }

  private boolean mustClose() {
    return closing || connectionReset.cancelInDoubt();
  }

  private void releaseClean() {
    release(ReleaseAction.Condition.clean(mustClose(), connectionReset.unsettledCancels()));
  }

  /** The only way for a connection to become idle after use, also after a reset. */
  private void release(ReleaseAction.Condition condition) {
    switch (ReleaseAction.forCondition(condition)) {
      case CLOSE -> close("not reusable: " + condition);
      case RESET_SESSION -> reset(true);
      case ROLL_BACK -> reset(false);
      case AWAIT_CANCEL -> {
        transitionTo(ConnectionState.TESTED);
        resetDriver.awaitCancels();
      }
      case REUSE -> {
        transitionTo(ConnectionState.IDLE);
        pool.idle(this);
      }
    }
  }

  private void reset(boolean resetSession) {
    transitionTo(ConnectionState.TESTED);
    pool.count("pooling_cleaned", 1);
    resetDriver.begin(resetSession);
  }

  private void onResetMessage(Frame f) throws Frame.Malformed {
    switch (resetDriver.onMessage(f)) {
      case CLEAN -> releaseClean();
      case FAILED -> {
        pool.count("pooling_resets_failed", 1);
        close("connection reset failed");
      }
      case CONTINUE, IN_PROGRESS -> {}
    }
  }

  // ---- Cancel requests.
  /** A cancel request for the current client was sent. */
  void cancelSent() {
    connectionReset.cancelSent();
  }

  /** A cancel request is finished; {@code confirmed} if the server closed its connection. */
  void cancelFinished(boolean confirmed) {
    boolean resetting = state == ConnectionState.TESTED;
    if (!resetDriver.cancelFinished(confirmed, resetting) && resetting) {
      close("a cancel request of unknown outcome may still arrive");
    }
  }

  // ---- Closing.
  /** Accepts no further transaction: closes now, or at the end of the one being served. */
  void retire() {
    closing = true;
    switch (state) {
      case IDLE, LOGIN, CARRYING, TESTED -> close("its member drains or was removed");
      case ACTIVE -> {
        if (lease.betweenTransactions()) {
          lease.opening().client.fatal("57P01", "the server of this session drains");
        }
      }
      case CLOSED -> {}
    }
  }

  /** How far the current attempt has come. */
  private AttemptProgress reach() {
    return lease == null ? AttemptProgress.NOT_CONNECTED : lease.reach(state);
  }

  /** The core gave up, or the client left: resets the connection if possible, else closes it. */
  @Override
  public AttemptProgress abandon() {
    AttemptProgress reach = reach();
    if (state == ConnectionState.CLOSED || lease == null) {
      return reach;
    }
    lease.abandon();
    if (state == ConnectionState.ACTIVE && lease.bound()) {
      ReleaseAction.Condition condition =
          lease.condition(true, mustClose(), connectionReset.unsettledCancels());
      if (ReleaseAction.forCondition(condition) != ReleaseAction.CLOSE) {
        endLease();
        release(condition);
        return reach;
      }
    }
    close("attempt abandoned");
    return reach;
  }

  /** Closes the connection, and reports the end of an attempt on it with this reason. */
  void close(String reason) {
    if (state == ConnectionState.CLOSED) {
      return;
    }
    AttemptProgress reach = reach();
    Lease ended = lease;
    if (ended != null) {
      ended.connectionLost(state == ConnectionState.ACTIVE);
    }
    lease = null;
    transitionTo(ConnectionState.CLOSED);
    if (socket != null) {
      socket.close();
    }
    pool.closed(this);
    if (ended != null) {
      ended.reportEnd(new AttemptEnd.Broken<>(reach, reason));
    }
  }

  @Override
  public void ended(String why) {
    close(why);
  }
}
