package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Options and pins of one session as they result from SET, SET LOCAL, RESET and pinning statements.
 * They follow transactions and savepoints as in PostgreSQL.
 */
final class SessionOptions {
  /**
   * The values in effect.
   *
   * @param session values as SQL text by name, valid until the session ends
   * @param local values as SQL text by name, valid until the transaction ends; they override those
   *     of the session
   * @param unknownToken unique token of session settings whose values are not known, or null; it
   *     makes them unequal to any others
   */
  private record Effective(
      PMap<String, String> session, PMap<String, String> local, Pins pins, String unknownToken) {
    /** Returns the startup values alone. */
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

    /** Returns a copy with a changed session option; a local value of the same option ends. */
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

  /** What an option or a pin takes besides its name and value (bytes). */
  private static final int ENTRY_BYTES = 160;

  /** What RESET ALL leaves as it is (PostgreSQL's GUC_NO_RESET_ALL, as far as clients set it). */
  private static final Set<String> NOT_RESET = Set.of("role", "session_authorization");

  private static final AtomicLong UNKNOWN_TOKENS = new AtomicLong();

  /** Startup options of the client, to which RESET returns. */
  private final PMap<String, String> base;

  private final TransactionalValue<Effective> effective;
  private boolean inBlock;

  /** The values from which {@link #cached} was computed. */
  private Effective cachedFrom;

  /** Last result of {@link #statementOptions}. */
  private StatementOptions cached;

  /** The values of which the lengths below are known. */
  private Effective measured;

  private long optionsLength;
  private long pinsLength;

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

  /**
   * Returns the options of the session by name, values as SQL text, without those local to a
   * transaction.
   */
  PMap<String, String> session() {
    return effective.current().session();
  }

  /** Returns the options local to the current transaction by name, values as SQL text. */
  PMap<String, String> local() {
    return effective.current().local();
  }

  Pins pins() {
    return effective.current().pins();
  }

  /** Returns the number of options that are set for the session or the transaction. */
  int optionCount() {
    return session().size() + local().size();
  }

  /** Returns the length of the names and values of all options (characters). */
  long optionsLength() {
    measure();
    return optionsLength;
  }

  /** Returns the estimated bytes of memory that options and pins take. */
  long memoryBytes() {
    measure();
    return optionsLength + pinsLength + (long) ENTRY_BYTES * (optionCount() + pins().held().size());
  }

  /** Adds the lengths up anew if something has changed. */
  private void measure() {
    Effective now = effective.current();
    if (now != measured) {
      measured = now;
      optionsLength = length(now.session()) + length(now.local());
      pinsLength = now.pins().namesLength();
    }
  }

  private static long length(PMap<String, String> options) {
    long length = 0;
    for (Map.Entry<String, String> e : options.entrySet()) {
      length += e.getKey().length() + e.getValue().length();
    }
    return length;
  }

  /** Returns the options that apply to the parsing of a statement prepared now. */
  StatementOptions statementOptions() {
    Effective now = effective.current();
    if (now != cachedFrom) {
      cachedFrom = now;
      cached = StatementOptions.of(now.all());
    }
    return cached;
  }

  /** Returns an independent copy. */
  SessionOptions copy() {
    return new SessionOptions(this);
  }

  /** Whether a statement of this kind can change options, or the transaction that they follow. */
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

  /**
   * Applies a completed statement; the command tag shows whether a COMMIT was in fact a rollback.
   */
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
        PMap<String, String> kept = afterResetAll(now.session(), base);
        Effective reset = Effective.start(kept, now.pins()).withUnknownToken(now.unknownToken());
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
   * Returns the options after RESET ALL, which leaves role and session authorization as they are.
   */
  static PMap<String, String> afterResetAll(
      PMap<String, String> before, PMap<String, String> defaults) {
    PMap<String, String> after = defaults;
    for (String name : NOT_RESET) {
      after = before.containsKey(name) ? after.plus(name, before.get(name)) : after.minus(name);
    }
    return after;
  }

  /**
   * Marks the options as unknown until the transaction's end: statements prepared until then are
   * shared with no others.
   */
  private static Effective unknownUntilTransactionEnd(Effective now) {
    return now.withLocal(StatementOptions.UNKNOWN, nextUnknownToken());
  }

  private static String nextUnknownToken() {
    return Long.toString(UNKNOWN_TOKENS.incrementAndGet());
  }

  /**
   * Applies a RESET of one option. Until the transaction ends, the server uses its own default
   * rather than the client's startup value; that default is not known here, so the options count as
   * unknown until then.
   */
  private Effective reset(Effective now, String name) {
    return base.containsKey(name)
        ? unknownUntilTransactionEnd(
            now.withSession(now.session().plus(name, base.get(name)), name))
        : now.withSession(now.session().minus(name), name);
  }

  /**
   * Applies SET LOCAL. Outside a transaction block a server may warn and either apply or ignore it,
   * so the options count as unknown until the end of the transaction.
   */
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

  /**
   * Records a failed statement: outside a block its implicit transaction is rolled back at the next
   * ReadyForQuery.
   */
  void statementFailed() {
    effective.statementFailed();
  }

  /** Handles ReadyForQuery with its transaction status. */
  void ready(char status) {
    inBlock = status != 'I';
    effective.ready(status);
    if (status == 'I') {
      dropLocal();
    }
  }

  /** Rolls back the transaction, which ended with its server connection, and removes all pins. */
  void connectionLost() {
    inBlock = false;
    effective.rollback();
    effective.replace(
        effective.current().withoutLocal().withUnknownToken(null).withPins(Pins.NONE));
  }
}
