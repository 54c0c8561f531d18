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
  private record Effective(
      PMap<String, String> session, PMap<String, String> local, Pins pins, String unknownToken) {
    /** None but what a session begins with. */
    static Effective start(PMap<String, String> base, Pins pins) {
      return new Effective(base, HashTreePMap.empty(), pins, null);
    }

    Effective withPins(Pins changed) {
      return new Effective(session, local, changed, unknownToken);
    }

    Effective withLocal(String name, String value) {
      return new Effective(session, local.plus(name, value), pins, unknownToken);
    }

    Effective withoutLocal() {
      return local.isEmpty()
          ? this
          : new Effective(session, HashTreePMap.empty(), pins, unknownToken);
    }

    /** An option of the session's; a local value of it is over. */
    Effective withSession(PMap<String, String> changed, String name) {
      return new Effective(changed, local.minus(name), pins, unknownToken);
    }

    Effective withUnknownToken(String token) {
      return new Effective(session, local, pins, token);
    }

    PMap<String, String> all() {
      PMap<String, String> all = session.plusAll(local);
      return unknownToken == null ? all : all.plus(StatementOptions.UNKNOWN, unknownToken);
    }
  }

  private static final AtomicLong UNKNOWN_TOKENS = new AtomicLong();

  /** What the client asked for at its start, to which RESET returns. */
  private final PMap<String, String> base;

  private final TransactionalValue<Effective> effective;
  private boolean inBlock;

  /** The last answer of {@link #statementOptions} and what it was worked out from. */
  private Effective cachedFrom;

  private StatementOptions cached;

  SessionOptions(PMap<String, String> base) {
    this.base = base;
    effective =
        new TransactionalValue<>(
            Effective.start(base, Pins.NONE),
            (before, after) -> before.withPins(Pins.afterRollback(before.pins(), after.pins())));
  }

  private SessionOptions(SessionOptions other) {
    base = other.base;
    effective = other.effective.copy();
    inBlock = other.inBlock;
  }

  /** The session's, by name as SQL text; what is local to a transaction is not among them. */
  PMap<String, String> session() {
    return effective.current().session();
  }

  /** What is local to the present transaction, by name as SQL text. */
  PMap<String, String> local() {
    return effective.current().local();
  }

  Pins pins() {
    return effective.current().pins();
  }

  /** Those under which a statement that is prepared now is read. */
  StatementOptions statementOptions() {
    Effective now = effective.current();
    if (now != cachedFrom) {
      cachedFrom = now;
      cached = StatementOptions.of(now.all());
    }
    return cached;
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
  void apply(Statement s, String tag) {
    Effective now = effective.current();
    switch (s.kind()) {
      case SET -> effective.set(now.withSession(now.session().plus(s.name(), s.value()), s.name()));
      case SET_LOCAL -> {
        if (s.name() != null) {
          effective.set(setLocal(now, s));
        }
      }
      case SET_LOCAL_UNKNOWN -> effective.set(unknownUntilTransactionEnd(now));
      case SET_UNKNOWN ->
          effective.set(now.withUnknownToken(nextUnknownToken()).withPins(now.pins().apply(s)));
      case RESET -> effective.set(reset(now, s.name()));
      case RESET_ALL -> {
        Effective reset = Effective.start(base, now.pins()).withUnknownToken(now.unknownToken());
        effective.set(base.isEmpty() ? reset : unknownUntilTransactionEnd(reset));
      }
      case DISCARD_ALL -> effective.replace(Effective.start(base, now.pins().apply(s)));
      case BEGIN -> inBlock = true;
      case COMMIT, ROLLBACK -> end(tag.equals("COMMIT"));
      case SAVEPOINT -> effective.savepoint(s.name());
      case RELEASE -> effective.release(s.name());
      case ROLLBACK_TO -> effective.rollbackTo(s.name());
      default -> {
        Pins pins = now.pins().apply(s);
        if (pins != now.pins()) {
          effective.set(now.withPins(pins));
        }
      }
    }
  }

  /**
   * What is read from now on up to the transaction's end is read under settings unlike any other.
   */
  private static Effective unknownUntilTransactionEnd(Effective now) {
    return now.withLocal(StatementOptions.UNKNOWN, nextUnknownToken());
  }

  private static String nextUnknownToken() {
    return Long.toString(UNKNOWN_TOKENS.incrementAndGet());
  }

  /**
   * Up to the transaction's end the server has its own default, not what this client began with:
   * what that default is nobody here knows.
   */
  private Effective reset(Effective now, String name) {
    return base.containsKey(name)
        ? unknownUntilTransactionEnd(
            now.withSession(now.session().plus(name, base.get(name)), name))
        : now.withSession(now.session().minus(name), name);
  }

  /** Outside a block servers may warn and take it or leave it: what holds then is not known. */
  private Effective setLocal(Effective now, Statement s) {
    Effective set = now.withLocal(s.name(), s.value());
    return inBlock ? set : unknownUntilTransactionEnd(set);
  }

  private void end(boolean commit) {
    inBlock = false;
    if (commit) {
      effective.commit();
    } else {
      effective.rollback();
    }
    dropLocal();
  }

  private void dropLocal() {
    Effective now = effective.current();
    if (!now.local().isEmpty()) {
      effective.replace(now.withoutLocal());
    }
  }

  /** A statement failed: outside a block its implicit transaction is undone at the next ready. */
  void statementFailed() {
    effective.statementFailed();
  }

  /** The server is ready in this state. */
  void ready(char status) {
    inBlock = status != 'I';
    effective.ready(status);
    if (status == 'I') {
      dropLocal();
    }
  }

  /** The connection is lost, and the transaction with it; nothing pins any more. */
  void connectionLost() {
    inBlock = false;
    effective.rollback();
    effective.replace(
        effective.current().withoutLocal().withUnknownToken(null).withPins(Pins.NONE));
  }
}
