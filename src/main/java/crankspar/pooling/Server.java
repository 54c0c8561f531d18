package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.SocketConnection;
import java.nio.ByteBuffer;

/**
 * One connection to a server, in one state at a time. It serves one client's transaction after
 * another, each a {@link Lease}; what a client leaves behind is rolled back and cleaned, or the
 * connection is closed, before anybody else has it. Its end is told exactly once.
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
  private final ConnectionReset cleaning = new ConnectionReset();
  private final FrameDecoder decoder = new FrameDecoder(false);
  private final Backpressure clientBacklog;
  private SocketConnection socket;
  private Connection out;
  private ConnectionState state = ConnectionState.LOGIN;
  private double stateSince;

  /** Its client's use of it, or null. */
  private Lease lease;

  private Frame stateError;

  /** It takes no further transaction. */
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

  /** What is in force on it, as far as it was set through here. */
  ServerState sessionState() {
    return sessionState;
  }

  /** What the server told of itself. */
  ReportedStatus reportedStatus() {
    return reportedStatus;
  }

  /** Its client's use of it, or null. */
  Lease lease() {
    return lease;
  }

  /** What it serves, or null. */
  OpeningBatch opening() {
    return lease == null ? null : lease.opening();
  }

  /** What it learnt at its start. */
  ServerLogin login() {
    return login;
  }

  double stateSince() {
    return stateSince;
  }

  boolean isClosing() {
    return closing;
  }

  /** Whether this lease has it, and it is in that client's state. */
  boolean isActive(Lease asking) {
    return state == ConnectionState.ACTIVE && lease == asking;
  }

  /** Whether the server is read: not while what it gives has nowhere to go. */
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

  /** Its driver, from the moment it is dialled. */
  void setSocket(SocketConnection stream) {
    this.socket = stream;
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
    out.write(ServerLogin.startup(key));
  }

  // ---- A client's transaction.
  /**
   * It has this one now; it begins as soon as the connection is welcomed and in the client's state,
   * within so long (ms).
   */
  void assign(OpeningBatch opening, double timeout, Ports.AttemptListener<Answer> listener) {
    lease = new Lease(this, opening, pool.now() + timeout, listener);
    opening.server = this;
    if (state == ConnectionState.IDLE) {
      applyClientState();
    }
  }

  private void applyClientState() {
    OpeningBatch opening = lease.opening();
    String sql =
        opening.isEmpty() ? null : StateDiff.restoreQuery(sessionState, opening.client.session());
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

  /** A simple query of its own; it does away with the unnamed statement, as any does. */
  private void sendQuery(String sql) {
    sessionState.setUnnamed(null);
    out.write(Frame.query(sql).wire());
  }

  /** Writes for its client, who is held back while too much waits. */
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

  // ---- From the server.
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
      close("malformed: " + e.getMessage());
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
      case 'E' -> close("ended by the server: " + f.fields().get('M'));
      default -> throw new Frame.Malformed("message type " + f.type() + " that nothing asked for");
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
      } else { // its client hears why, as though it had said so itself
        pool.count("pooling_carries_failed", 1);
        lease.restoreFailed(stateError);
      }
    }
  }

  // ---- Its release.
  /** The transaction is over, and the connection may go to another client. */
  void finish(AttemptEnd<Answer> how) {
    Lease ended = lease;
    ReleaseAction.Condition condition =
        ended.releaseCondition(false, mustClose(), cleaning.pendingCancels());
    endLease();
    release(condition);
    ended.reportEnd(how);
  }

  private void endLease() {
    lease = null;
    out.reading(true); // a slow client's answer is in its own queue by now
  }

  private boolean mustClose() {
    return closing || cleaning.cancelInDoubt();
  }

  private void releaseClean() {
    release(ReleaseAction.Condition.clean(mustClose(), cleaning.pendingCancels()));
  }

  /** The only way to become free; also taken once it has been cleaned. */
  private void release(ReleaseAction.Condition condition) {
    switch (ReleaseAction.forCondition(condition)) {
      case CLOSE -> close("not fit for another client: " + condition);
      case RESET_SESSION -> reset(true);
      case ROLL_BACK -> reset(false);
      case AWAIT_CANCEL -> transitionTo(ConnectionState.TESTED);
      case REUSE -> {
        transitionTo(ConnectionState.IDLE);
        pool.idle(this);
      }
    }
  }

  private void reset(boolean resetSession) {
    transitionTo(ConnectionState.TESTED);
    pool.count("pooling_cleaned", 1);
    for (Sql.Statement query : cleaning.begin(resetSession)) {
      sendQuery(query.text());
      sessionState.onCompleted(query, query.text(), StatementOptions.NONE);
    }
  }

  private void onResetMessage(Frame f) throws Frame.Malformed {
    switch (cleaning.onMessage(f)) {
      case CLEAN -> releaseClean();
      case FAILED -> close("it does not come clean");
      case IN_PROGRESS -> {}
    }
  }

  // ---- Cancels.
  /** A cancel for its present client is on its way. */
  void cancelSent() {
    cleaning.cancelSent();
  }

  /** That cancel has passed; {@code sure} where the server itself ended its connection. */
  void cancelFinished(boolean confirmed) {
    cleaning.cancelFinished(confirmed);
    if (state == ConnectionState.TESTED && cleaning.tryBeginEmptyQuery()) {
      if (cleaning.cancelInDoubt()) {
        close("a cancel may still come");
      } else {
        sendQuery("");
      }
    }
  }

  // ---- Ends.
  /** It takes no further transaction: idle ones close now, others at the end of what they have. */
  void retire() {
    closing = true;
    switch (state) {
      case IDLE, LOGIN, CARRYING, TESTED -> close("its member drains or has left");
      case ACTIVE -> {
        if (lease.betweenTransactions()) {
          lease.opening().client.fatal("57P01", "the server of this session drains");
        }
      }
      case CLOSED -> {}
    }
  }

  /** How far its attempt had come. */
  private AttemptProgress reach() {
    return lease == null ? AttemptProgress.NOT_CONNECTED : lease.reach(state);
  }

  /** The core gives it up, or the client has gone: what is quiet is cleaned, all else is closed. */
  @Override
  public AttemptProgress abandon() {
    AttemptProgress reach = reach();
    if (state == ConnectionState.CLOSED || lease == null) {
      return reach;
    }
    lease.abandon();
    if (state == ConnectionState.ACTIVE && lease.bound()) {
      ReleaseAction.Condition condition =
          lease.releaseCondition(true, mustClose(), cleaning.pendingCancels());
      if (ReleaseAction.forCondition(condition) != ReleaseAction.CLOSE) {
        endLease();
        release(condition);
        return reach;
      }
    }
    close("given up");
    return reach;
  }

  /** Closes it, for this reason. */
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
