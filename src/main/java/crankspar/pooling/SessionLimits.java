package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.PMap;

/**
 * What one session may hold: kinds of pins that the configuration refuses, and bounds on options,
 * pins and prepared statements. These are held for as long as the session lasts, and compared with
 * the state of each connection that the session gets. The check comes before a statement is sent,
 * so that the pooler and the server never differ by it.
 */
final class SessionLimits {
  /** Why a statement is not sent, with its SQLSTATE. */
  record Refusal(String code, String reason) {}

  /** Options that a session may set. */
  static final int MAX_OPTIONS = 500;

  /** Length of all their names and values (characters); one message fits. */
  static final int MAX_OPTIONS_LENGTH = FrameDecoder.MAX_BUFFERED_LENGTH;

  /** Reasons for which a session may keep its connection. */
  static final int MAX_PINS = 1_000;

  /** Length of the names of all pins (characters). */
  static final int MAX_PINS_LENGTH = 64 * 1024;

  private final SessionState client;
  private final ProjectedOptions projected;
  private final Setup.Limits limits;
  private final Set<Pins.Kind> refusedKinds;

  SessionLimits(
      SessionState client,
      ProjectedOptions projected,
      Setup.Limits limits,
      Set<Pins.Kind> refusedKinds) {
    this.client = client;
    this.projected = projected;
    this.limits = limits;
    this.refusedKinds = refusedKinds;
  }

  /** Why these statements may not run in this session, or null if they may. */
  Refusal check(List<Statement> statements) {
    for (Statement s : statements) {
      Statement prepared = s.kind() == Kind.PREPARE ? SqlPrepared.effect(s) : null;
      Pins.Kind kind = Pins.kindOf(prepared == null ? s : prepared);
      if (kind != null && refusedKinds.contains(kind)) {
        return new Refusal(
            "0A000", kind + " is refused here: it would hold a connection beyond its transaction");
      }
    }
    String exceeded = exceeded(projected.current(), statements);
    return exceeded == null
        ? checkPrepares(statements)
        : new Refusal("53400", "this session would hold " + exceeded);
  }

  /** Checks the PREPAREs of a query, all of them together. */
  private Refusal checkPrepares(List<Statement> statements) {
    int prepares = 0;
    long bytes = 0;
    for (Statement s : statements) {
      if (s.kind() == Kind.PREPARE) {
        prepares++;
        bytes += SqlPrepared.of(s, projected.current().statementOptions()).memoryBytes();
      }
    }
    return prepares == 0 ? null : checkPrepared(prepares, bytes);
  }

  /** Why so many more prepared statements may not be held, or null if they may. */
  Refusal checkPrepared(int statements, long bytes) {
    boolean over =
        client.statementCount() + statements > limits.maxStatements()
            || client.preparedBytes() + bytes > limits.maxStatementBytes();
    return over
        ? new Refusal(
            "53400",
            "more than "
                + limits.maxStatements()
                + " statements or "
                + limits.maxStatementBytes()
                + " bytes of them are prepared")
        : null;
  }

  /** Returns which bound these statements would exceed in this session, or null. */
  private static String exceeded(SessionOptions session, List<Statement> statements) {
    int options = 0;
    int pins = 0;
    long length = 0;
    for (Statement s : statements) {
      options += setsOption(s) ? 1 : 0;
      pins += Pins.kindOf(s) == null ? 0 : 1;
      length += length(s.name()) + length(s.value());
    }
    if (options > 0
        && (session.optionCount() + options > MAX_OPTIONS
            || session.optionsLength() + length > MAX_OPTIONS_LENGTH)
        && optionsExceeded(session, statements)) {
      return "more than " + MAX_OPTIONS + " options or " + MAX_OPTIONS_LENGTH + " bytes of them";
    }
    if (pins > 0
        && (session.pins().held().size() + pins > MAX_PINS
            || session.pins().namesLength() + length > MAX_PINS_LENGTH)
        && pinsExceeded(session.pins(), statements)) {
      return "more than "
          + MAX_PINS
          + " channels, cursors, locks and temporary tables, or "
          + MAX_PINS_LENGTH
          + " bytes of their names";
    }
    return null;
  }

  private static boolean setsOption(Statement s) {
    return (s.kind() == Kind.SET || s.kind() == Kind.SET_LOCAL) && s.name() != null;
  }

  /** Counts an option that is set several times once. */
  private static boolean optionsExceeded(SessionOptions session, List<Statement> statements) {
    var lengths = new HashMap<String, Integer>();
    addLengths(lengths, session.session());
    addLengths(lengths, session.local());
    for (Statement s : statements) {
      if (setsOption(s)) {
        lengths.put(s.name(), length(s.name()) + length(s.value()));
      }
      if (lengths.size() > MAX_OPTIONS) {
        return true;
      }
    }
    return sum(lengths) > MAX_OPTIONS_LENGTH;
  }

  private static void addLengths(Map<String, Integer> lengths, PMap<String, String> options) {
    options.forEach((name, value) -> lengths.put(name, name.length() + value.length()));
  }

  private static boolean pinsExceeded(Pins pins, List<Statement> statements) {
    var lengths = new HashMap<String, Integer>();
    pins.held().keySet().forEach(key -> lengths.put(key, key.length()));
    for (Statement s : statements) {
      if (Pins.kindOf(s) != null) {
        String key = Pins.key(s);
        lengths.put(key, key.length());
      }
      if (lengths.size() > MAX_PINS) {
        return true;
      }
    }
    return sum(lengths) > MAX_PINS_LENGTH;
  }

  private static long sum(Map<String, Integer> lengths) {
    return lengths.values().stream().mapToLong(Integer::longValue).sum();
  }

  private static int length(String text) {
    return text == null ? 0 : text.length();
  }
}
