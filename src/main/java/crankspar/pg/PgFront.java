package crankspar.pg;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.core.CancelRouter;
import crankspar.core.Counters;
import crankspar.core.FinalAnswer;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.handover.SentIds;
import crankspar.net.Clients;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.net.MemoryBudget;
import crankspar.net.ServerConnectionHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/** The platform's front: PostgreSQL clients on one side, PostgreSQL servers on the other. */
public final class PgFront implements ClientDesk, Front {
  /** Connections that are heard while all places are taken, as a share of the places. */
  private static final double REFUSED = 0.02;

  private static final String SENT_BEFORE =
      "a request with this id has been sent on already, and may have run";

  /** A welcomed session, and what a cancel has to bring to name it. */
  private record Key(int secret, ClientSession session) {}

  /** Null in a rehearsal. */
  private final EventLoop loop;

  private final Router.Settings settings;
  private final Counters counters;
  private final Pooler<Statement, PgAnswer> pooler;
  private final Map<String, Integer> classes = new HashMap<>();

  /** The clients' ids of what is open, with the core's. */
  private final Map<String, String> open = new HashMap<>();

  /**
   * Ids that may not be sent again; with a shared file, those of the pooler's other process too.
   */
  private Ports.SentIds sentIds = SentIds.inMemory();

  private final Clients<ClientSession> clients;
  private final Map<Integer, Key> keys = new HashMap<>();
  private final Map<ClientSession, Integer> processes = new HashMap<>();
  private final SecureRandom secrets = new SecureRandom();
  private final CancelRouter cancels;
  private final MemoryBudget memory;
  private int lastProcess;
  private boolean leaving;

  public PgFront(
      EventLoop loop,
      Router.Settings settings,
      Counters counters,
      Pooler<Statement, PgAnswer> pooler,
      int most) {
    this.loop = loop;
    this.settings = settings;
    this.counters = counters;
    this.pooler = pooler;
    memory = loop == null ? new MemoryBudget() : loop.memory();
    cancels = new CancelRouter(loop, counters, "client_cancels", this::cancelHere);
    var refused = new RefusedSessions(loop, this, (int) Math.ceil(most * REFUSED));
    clients = new Clients<>(loop, counters, most, () -> new ClientSession(this), refused::admit);
    settings.classes().forEach(c -> classes.put(c.name(), classes.size()));
  }

  /** The server's side of this wire, for a pool. */
  public static ServerConnectionHandler<Statement, PgAnswer> dial(
      Counters counters, MemoryBudget memory) {
    return new ServerSession(counters, memory);
  }

  public static Statement probe() {
    return Statement.probe();
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return clients.listen(address);
  }

  /** A handler for a client's connection, or null when it is to be closed unread. */
  public ConnectionHandler session() {
    return clients.admit();
  }

  /**
   * Guards against what no client of ours sends: an id that is open already would let one client
   * end or spoil another's request, and a read that is no SELECT would be run again as though it
   * were harmless.
   *
   * <p>A client's time runs from when it wrote its statement, also behind others of its own. Guards
   * against clients that write many at once: one that came to its turn late was given its whole
   * time anew, and its client left before that.
   *
   * <p>Where cancels of another process are lost, what came before that is not sent: it fails, as
   * it may be one of those that were canceled.
   */
  @Override
  public void take(Statement s, double since, ClientSession session) throws Statement.Malformed {
    String id = s.id();
    Integer kind = classes.get(s.text("c"));
    if (kind == null) {
      throw new Statement.Malformed("unknown class");
    }
    Router.RequestClass c = settings.classes().get(kind);
    Freshness freshness = c.freshness();
    if (freshness != Freshness.WRITE && !s.reads()) {
      throw new Statement.Malformed("a read must be a SELECT");
    }
    boolean inSession = freshness == Freshness.SESSION || freshness == Freshness.WRITE;
    double mark = s.names().containsKey("after") ? s.number("after") : Double.NaN;
    double deadline = since + Math.min(s.number("d"), c.timeout());
    var ask =
        new Ports.ClientRequest<>(
            kind, deadline, inSession ? s.key() : null, mark, (int) s.number("cluster"), s);
    if (open.putIfAbsent(id, "") != null) {
      throw new Statement.Malformed("a request with this id is open");
    }
    boolean once = c.repeat() == Repeat.UNSAFE;
    if (once && sentIds.contains(id)) {
      open.remove(id);
      throw new Statement.Malformed(SENT_BEFORE);
    }
    pooler.submit(ask, new OpenRequest(id, since, once, session));
  }

  /** A statement that was taken, until its final answer. */
  private final class OpenRequest implements Ports.Reply<PgAnswer> {
    private final String id;
    private final double since;
    private final ClientSession session;

    /** It may not run again, and no attempt of it has been written. */
    private boolean unsent;

    private boolean noted;

    OpenRequest(String id, double since, boolean once, ClientSession session) {
      this.id = id;
      this.since = since;
      this.session = session;
      unsent = once;
    }

    @Override
    public void accepted(String request) {
      open.put(id, request);
    }

    @Override
    public boolean clientConnected() {
      cancels.deliverShared(); // asked right before a write
      if (cancels.mayHaveLost(since)) {
        pooler.cancelledByClient(open.get(id));
      }
      boolean present = session.present();
      if (present && !session.allRead()) {
        pooler.refusedByFront(open.get(id), "its client sends more than is read");
      } else if (present && unsent && open.containsKey(id)) {
        noteSent();
      }
      return present;
    }

    /** The other process of an upgrade may have sent it since it was taken here. */
    private void noteSent() {
      if (sentIds.contains(id)) {
        pooler.refusedByFront(open.get(id), SENT_BEFORE);
      } else {
        sentIds.add(id);
        unsent = false;
        noted = true;
      }
    }

    @Override
    public void answerBegan(PgAnswer answer) {
      session.began(answer);
    }

    @Override
    public void answer(FinalAnswer<PgAnswer> answer) {
      open.remove(id);
      if (noted && neverRan(answer)) {
        sentIds.remove(id);
      }
      session.answer(answer);
    }

    private static boolean neverRan(FinalAnswer<PgAnswer> answer) {
      return answer instanceof FinalAnswer.Refused
          || answer instanceof FinalAnswer.Failed<PgAnswer> failed && !failed.mayHaveRun();
    }
  }

  @Override
  public void notTaken(String sql, Ports.Audit.Answer how) {
    if (!audited()) {
      return;
    }
    try {
      Statement statement = Statement.parse(sql);
      Integer kind = classes.get(statement.text("c"));
      if (kind != null) {
        pooler.auditNotTaken(statement, kind, how);
      }
    } catch (Statement.Malformed e) {
      counters.add("client_malformed"); // it names no request that anybody could ask for
    }
  }

  @Override
  public double now() {
    return pooler.now();
  }

  @Override
  public void later(Runnable work) {
    if (loop == null) {
      work.run();
    } else {
      loop.run(work);
    }
  }

  @Override
  public boolean audited() {
    return pooler.audited();
  }

  @Override
  public MemoryBudget memory() {
    return memory;
  }

  @Override
  public void laterBehind(Runnable work) {
    if (loop == null) {
      work.run();
    } else {
      loop.runBehind(work);
    }
  }

  @Override
  public void gone(String id) {
    pooler.clientLeft(open.remove(id));
  }

  @Override
  public void cancel(String id) {
    pooler.cancelledByClient(open.get(id));
  }

  @Override
  public PgMessage.BackendKeyData key(ClientSession session) {
    int process = ++lastProcess & Integer.MAX_VALUE;
    int secret = secrets.nextInt();
    keys.put(process, new Key(secret, session));
    processes.put(session, process);
    return new PgMessage.BackendKeyData(process, secret);
  }

  @Override
  public void cancel(int process, int secret) {
    cancels.cancel(process, secret);
  }

  /**
   * Guards against guessed keys: the secret is as wide as the protocol allows, and compared whole.
   */
  private boolean cancelHere(int process, int secret) {
    Key key = keys.get(process);
    boolean known = key != null && key.secret() == secret;
    if (known) {
      key.session().cancel();
    }
    return known;
  }

  /** Shares the ids of what may have run with another process of this pooler. */
  public void shareSentIds(Ports.SentIds shared) {
    sentIds = shared;
  }

  /** To share cancels with another process of this pooler. */
  public CancelRouter cancels() {
    return cancels;
  }

  @Override
  public boolean draining() {
    return clients.draining();
  }

  @Override
  public Counters counters() {
    return counters;
  }

  @Override
  public void closing(String id, String why) {
    pooler.connectionClosing(id, why);
  }

  @Override
  public void closed(ClientSession session) {
    Integer process = processes.remove(session);
    if (process != null) {
      keys.remove(process);
    }
    clients.closed(session);
  }

  @Override
  public void stopping() {
    clients.stopping();
  }

  /** What an empty query is answered from now on: no while an operator has this pooler leave. */
  @Override
  public void reportUnavailable(boolean on) {
    leaving = on;
  }

  @Override
  public boolean leaving() {
    return leaving;
  }

  @Override
  public void drain() {
    clients.drain();
  }

  @Override
  public boolean closed() {
    return clients.closed();
  }

  @Override
  public void resume() {
    clients.resume();
  }
}
