package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.concurrent.atomic.AtomicLong;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What SET, SET LOCAL, RESET and pins amount to in one session; they follow transactions and
 * savepoints as PostgreSQL has them do.
 */
final class SessionOptions {
  /**
   * What is in force.
   *
   * @param session by name as SQL text, up to the session's end
   * @param local the same, up to the transaction's end, before those of the session
   * @param unknown tells settings of the session's that nobody knows from any others, or null
   */
  private record InForce(
      PMap<String, String> session, PMap<String, String> local, Pins pins, String unknown) {
    /** None but what a session begins with. */
    static InForce start(PMap<String, String> base, Pins pins) {
      return new InForce(base, HashTreePMap.empty(), pins, null);
    }

    InForce withPins(Pins changed) {
      return new InForce(session, local, changed, unknown);
    }

    InForce withLocal(String name, String value) {
      return new InForce(session, local.plus(name, value), pins, unknown);
    }

    InForce withoutLocal() {
      return local.isEmpty() ? this : new InForce(session, HashTreePMap.empty(), pins, unknown);
    }

    /** An option of the session's; a local value of it is over. */
    InForce withSession(PMap<String, String> changed, String name) {
      return new InForce(changed, local.minus(name), pins, unknown);
    }

    InForce withUnknown(String token) {
      return new InForce(session, local, pins, token);
    }

    PMap<String, String> all() {
      PMap<String, String> all = session.plusAll(local);
      return unknown == null ? all : all.plus(StatementOptions.UNKNOWN, unknown);
    }
  }

  private static final AtomicLong UNKNOWN_SETTINGS = new AtomicLong();

  /** What the client asked for at its start, to which RESET returns. */
  private final PMap<String, String> base;

  private final Transactional<InForce> inForce;
  private boolean inBlock;

  /** The last answer of {@link #statementOptions} and what it was worked out from. */
  private InForce workedOutFrom;

  private StatementOptions workedOut;

  SessionOptions(PMap<String, String> base) {
    this.base = base;
    inForce =
        new Transactional<>(
            InForce.start(base, Pins.NONE),
            (before, after) -> before.withPins(Pins.undone(before.pins(), after.pins())));
  }

  private SessionOptions(SessionOptions other) {
    base = other.base;
    inForce = other.inForce.copy();
    inBlock = other.inBlock;
  }

  /** The session's, by name as SQL text; what is local to a transaction is not among them. */
  PMap<String, String> session() {
    return inForce.now().session();
  }

  /** What is local to the present transaction, by name as SQL text. */
  PMap<String, String> local() {
    return inForce.now().local();
  }

  Pins pins() {
    return inForce.now().pins();
  }

  /** Those under which a statement that is prepared now is read. */
  StatementOptions statementOptions() {
    InForce now = inForce.now();
    if (now != workedOutFrom) {
      workedOutFrom = now;
      workedOut = StatementOptions.of(now.all());
    }
    return workedOut;
  }

  /** Others that go on from here by themselves. */
  SessionOptions copy() {
    return new SessionOptions(this);
  }

  /** Whether such a statement changes anything here. */
  static boolean changedBy(Statement s) {
    return switch (s.kind()) {
      case SET,
              SET_LOCAL,
              SET_UNKNOWN,
              SET_LOCAL_UNKNOWN,
              RESET,
              RESET_ALL,
              DISCARD_ALL,
              BEGIN,
              COMMIT,
              ROLLBACK,
              SAVEPOINT,
              RELEASE,
              ROLLBACK_TO ->
          true;
      default -> false;
    };
  }

  /** A statement has been done; the tag tells a COMMIT that was none. */
  void done(Statement s, String tag) {
    InForce now = inForce.now();
    switch (s.kind()) {
      case SET ->
          inForce.change(now.withSession(now.session().plus(s.name(), s.value()), s.name()));
      case SET_LOCAL -> {
        if (s.name() != null) {
          inForce.change(setLocal(now, s));
        }
      }
      case SET_LOCAL_UNKNOWN -> inForce.change(unknownUpToTheEnd(now));
      case SET_UNKNOWN -> inForce.change(now.withUnknown(token()).withPins(now.pins().done(s)));
      case RESET -> inForce.change(reset(now, s.name()));
      case RESET_ALL -> {
        InForce reset = InForce.start(base, now.pins()).withUnknown(now.unknown());
        inForce.change(base.isEmpty() ? reset : unknownUpToTheEnd(reset));
      }
      case DISCARD_ALL -> inForce.replace(InForce.start(base, now.pins().done(s)));
      case BEGIN -> inBlock = true;
      case COMMIT, ROLLBACK -> end(tag.equals("COMMIT"));
      case SAVEPOINT -> inForce.savepoint(s.name());
      case RELEASE -> inForce.release(s.name());
      case ROLLBACK_TO -> inForce.rollbackTo(s.name());
      default -> {
        Pins pins = now.pins().done(s);
        if (pins != now.pins()) {
          inForce.change(now.withPins(pins));
        }
      }
    }
  }

  /**
   * What is read from now on up to the transaction's end is read under settings unlike any other.
   */
  private static InForce unknownUpToTheEnd(InForce now) {
    return now.withLocal(StatementOptions.UNKNOWN, token());
  }

  private static String token() {
    return Long.toString(UNKNOWN_SETTINGS.incrementAndGet());
  }

  /**
   * Up to the transaction's end the server has its own default, not what this client began with:
   * what that default is nobody here knows.
   */
  private InForce reset(InForce now, String name) {
    return base.containsKey(name)
        ? unknownUpToTheEnd(now.withSession(now.session().plus(name, base.get(name)), name))
        : now.withSession(now.session().minus(name), name);
  }

  /** Outside a block servers may warn and take it or leave it: what holds then is not known. */
  private InForce setLocal(InForce now, Statement s) {
    InForce set = now.withLocal(s.name(), s.value());
    return inBlock ? set : unknownUpToTheEnd(set);
  }

  private void end(boolean commit) {
    inBlock = false;
    if (commit) {
      inForce.commit();
    } else {
      inForce.rollback();
    }
    dropLocal();
  }

  private void dropLocal() {
    InForce now = inForce.now();
    if (!now.local().isEmpty()) {
      inForce.replace(now.withoutLocal());
    }
  }

  /** A statement failed: outside a block its implicit transaction is undone at the next ready. */
  void failed() {
    inForce.fail();
  }

  /** The server is ready in this state. */
  void ready(char status) {
    inBlock = status != 'I';
    inForce.ready(status);
    if (status == 'I') {
      dropLocal();
    }
  }

  /** The connection is lost, and the transaction with it; nothing pins any more. */
  void lost() {
    inBlock = false;
    inForce.rollback();
    inForce.replace(inForce.now().withoutLocal().withUnknown(null).withPins(Pins.NONE));
  }
}
