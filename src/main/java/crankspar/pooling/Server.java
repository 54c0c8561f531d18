package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.Ports;
import crankspar.core.Reach;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.SocketConnection;
import java.nio.ByteBuffer;

/**
 * One connection to a server, in one state at a time. It serves one client's transaction after
 * another, each a {@link Lease}; what a client leaves behind is rolled back and cleaned, or the
 * connection is closed, before anybody else has it. Its end is told exactly once.
 */
final class Server implements ConnectionHandler, Ports.Call, IdleList.Idle {
  private final ServerPool pool;
  private final ServerKey key;
  private final String member;
  private final double openedAt;
  private final double jitter;
  private final ServerState sessionState = new ServerState();
  private final ServerLogin login = new ServerLogin();
  private final ServerNotes notes = new ServerNotes();
  private final Cleaning cleaning = new Cleaning();
  private final FrameDecoder decoder = new FrameDecoder(false);
  private final Backpressure fromClient;
  private SocketConnection stream;
  private Connection out;
  private ConnectionState state = ConnectionState.LOGIN;
  private double since;

  /** Its client's use of it, or null. */
  private Lease lease;

  private Frame carryError;

  /** It takes no further transaction. */
  private boolean closing;

  Server(ServerPool pool, ServerKey key, String member, double jitter) {
    this.pool = pool;
    this.key = key;
    this.member = member;
    this.jitter = jitter;
    openedAt = since = pool.now();
    fromClient =
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
  ServerNotes notes() {
    return notes;
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

  double since() {
    return since;
  }

  boolean isClosing() {
    return closing;
  }

  /** Whether this lease has it, and it is in that client's state. */
  boolean isActive(Lease asking) {
    return state == ConnectionState.ACTIVE && lease == asking;
  }

  /** Whether the server is read: not while what it gives has nowhere to go. */
  void reading(boolean on) {
    out.reading(on);
  }

  @Override
  public double openedAt() {
    return openedAt;
  }

  @Override
  public double idleSince() {
    return since;
  }

  @Override
  public double jitter() {
    return jitter;
  }

  private void to(ConnectionState next) {
    state = next;
    since = pool.now();
  }

  /** Its driver, from the moment it is dialled. */
  void stream(SocketConnection stream) {
    this.stream = stream;
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
  void serve(OpeningBatch opening, double within, Ports.AttemptListener<Answer> listener) {
    lease = new Lease(this, opening, pool.now() + within, listener);
    opening.server = this;
    if (state == ConnectionState.IDLE) {
      carry();
    }
  }

  private void carry() {
    OpeningBatch opening = lease.opening();
    String sql = opening.isEmpty() ? null : StateDiff.query(sessionState, opening.client.session());
    if (sql == null) {
      to(ConnectionState.ACTIVE);
      lease.start();
    } else {
      to(ConnectionState.CARRYING);
      carryError = null;
      pool.count("pooling_carries", 1);
      query(sql);
    }
  }

  /** A simple query of its own; it does away with the unnamed statement, as any does. */
  private void query(String sql) {
    sessionState.unnamed(null);
    out.write(Frame.query(sql).wire());
  }

  /** Writes for its client, who is held back while too much waits. */
  void writeForClient(byte[] bytes, Runnable written) {
    fromClient.bytesQueued(bytes.length);
    out.write(
        bytes,
        bytes.length,
        () -> {
          fromClient.bytesWritten(bytes.length);
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
        on(f);
      }
    } catch (Frame.Malformed e) {
      pool.count("pooling_server_malformed", 1);
      fail("malformed: " + e.getMessage());
    }
  }

  private void on(Frame f) throws Frame.Malformed {
    if (f.type() == 'S') {
      notes.read(f, state == ConnectionState.ACTIVE ? null : sessionState);
    }
    switch (state) {
      case LOGIN -> login(f);
      case IDLE -> idle(f);
      case CARRYING -> carrying(f);
      case ACTIVE -> lease.fromServer(f);
      case TESTED -> tested(f);
      case CLOSED -> {}
    }
  }

  private void login(Frame f) throws Frame.Malformed {
    ServerLogin.Step step = login.take(f);
    if (step instanceof ServerLogin.Step.Refused refused) {
      if (lease != null) {
        lease.opening().serverError = refused.said();
      }
      fail(refused.why());
    } else if (step instanceof ServerLogin.Step.Welcome) {
      to(ConnectionState.IDLE);
      pool.up(this);
      if (lease != null) {
        carry();
      } else {
        releaseClean();
      }
    }
  }

  private void idle(Frame f) throws Frame.Malformed {
    switch (f.type()) {
      case 'S', 'N', 'A' -> {}
      case 'E' -> fail("ended by the server: " + f.fields().get('M'));
      default -> throw new Frame.Malformed("message type " + f.type() + " that nothing asked for");
    }
  }

  private void carrying(Frame f) throws Frame.Malformed {
    if (f.type() == 'E') {
      carryError = f;
    } else if (f.type() == 'Z') {
      to(ConnectionState.ACTIVE);
      if (carryError == null) {
        SessionState client = lease.opening().client.session();
        sessionState.carried(client.options(), client.sqlPrepared());
        lease.start();
      } else { // its client hears why, as though it had said so itself
        pool.count("pooling_carries_failed", 1);
        lease.restoreFailed(carryError);
      }
    }
  }

  // ---- Its release.
  /** The transaction is over, and the connection may go to another client. */
  void finish(AttemptEnd<Answer> how) {
    Lease ended = lease;
    Release.Condition condition = ended.condition(false, unwanted(), cleaning.cancelsPending());
    detach();
    release(condition);
    ended.reportEnd(how);
  }

  private void detach() {
    lease = null;
    out.reading(true); // a slow client's answer is in its own queue by now
  }

  private boolean unwanted() {
    return closing || cleaning.doubted();
  }

  private void releaseClean() {
    release(Release.Condition.clean(unwanted(), cleaning.cancelsPending()));
  }

  /** The only way to become free; also taken once it has been cleaned. */
  private void release(Release.Condition condition) {
    switch (Release.of(condition)) {
      case CLOSE -> fail("not fit for another client: " + condition);
      case RESET_SESSION -> clean(true);
      case ROLL_BACK -> clean(false);
      case AWAIT_CANCEL -> to(ConnectionState.TESTED);
      case REUSE -> {
        to(ConnectionState.IDLE);
        pool.free(this);
      }
    }
  }

  private void clean(boolean session) {
    to(ConnectionState.TESTED);
    pool.count("pooling_cleaned", 1);
    for (Sql.Statement query : cleaning.begin(session)) {
      query(query.text());
      sessionState.done(query, query.text(), StatementOptions.NONE);
    }
  }

  private void tested(Frame f) throws Frame.Malformed {
    switch (cleaning.take(f)) {
      case CLEAN -> releaseClean();
      case FAILED -> fail("it does not come clean");
      case WAITS -> {}
    }
  }

  // ---- Cancels.
  /** A cancel for its present client is on its way. */
  void cancelSent() {
    cleaning.cancelSent();
  }

  /** That cancel has passed; {@code sure} where the server itself ended its connection. */
  void cancelPassed(boolean sure) {
    cleaning.cancelPassed(sure);
    if (state == ConnectionState.TESTED && cleaning.needsEmptyQuery()) {
      if (cleaning.doubted()) {
        fail("a cancel may still come");
      } else {
        query("");
      }
    }
  }

  // ---- Ends.
  /** It takes no further transaction: idle ones close now, others at the end of what they have. */
  void retire() {
    closing = true;
    switch (state) {
      case IDLE, LOGIN, CARRYING, TESTED -> fail("its member drains or has left");
      case ACTIVE -> {
        if (lease.betweenTransactions()) {
          lease.opening().client.fatal("57P01", "the server of this session drains");
        }
      }
      case CLOSED -> {}
    }
  }

  /** How far its attempt had come. */
  private Reach reach() {
    return lease == null ? Reach.NOT_CONNECTED : lease.reach(state);
  }

  /** The core gives it up, or the client has gone: what is quiet is cleaned, all else is closed. */
  @Override
  public Reach abandon() {
    Reach reach = reach();
    if (state == ConnectionState.CLOSED || lease == null) {
      return reach;
    }
    lease.abandon();
    if (state == ConnectionState.ACTIVE && lease.bound()) {
      Release.Condition condition = lease.condition(true, unwanted(), cleaning.cancelsPending());
      if (Release.of(condition) != Release.CLOSE) {
        detach();
        release(condition);
        return reach;
      }
    }
    fail("given up");
    return reach;
  }

  /** Closes it, for this reason. */
  void fail(String why) {
    if (state == ConnectionState.CLOSED) {
      return;
    }
    Reach reach = reach();
    Lease had = lease;
    if (had != null) {
      had.connectionLost(state == ConnectionState.ACTIVE);
    }
    lease = null;
    to(ConnectionState.CLOSED);
    if (stream != null) {
      stream.close();
    }
    pool.gone(this);
    if (had != null) {
      had.reportEnd(new AttemptEnd.Broken<>(reach, why));
    }
  }

  @Override
  public void ended(String why) {
    fail(why);
  }
}
