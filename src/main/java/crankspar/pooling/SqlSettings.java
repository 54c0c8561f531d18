package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.Locale;

/** Parses statements that change settings: SET, RESET and {@code set_config}. */
final class SqlSettings {
  /** The value that restores the default of the session. */
  static final String DEFAULT = "DEFAULT";

  /** A literal setting name without escapes or quotes to interpret. */
  private static final String PLAIN_NAME = "'[A-Za-z_][A-Za-z0-9_.]*'";

  private SqlSettings() {}

  /**
   * Classifies a call such as {@code set_config('name', 'value', false)}: with two literals it is a
   * SET or a SET LOCAL. Several calls that are all local are known to end with the transaction; the
   * effect of anything else is unknown.
   */
  static Statement setConfig(SqlTokens t, int first) {
    Statement only = null;
    int calls = 0;
    boolean allLocal = true;
    for (int i = first; i + 1 < t.size(); i++) {
      if (t.is(i, "set_config") && t.isKind(i + 1, '(')) {
        calls++;
        only = setConfigCall(t, i);
        allLocal &= only.kind() == Kind.SET_LOCAL || only.kind() == Kind.SET_LOCAL_UNKNOWN;
      }
    }
    if (calls == 1) {
      return only;
    }
    return Sql.of(allLocal ? Kind.SET_LOCAL_UNKNOWN : Kind.SET_UNKNOWN);
  }

  private static Statement setConfigCall(SqlTokens t, int at) {
    boolean literals =
        t.isKind(at + 2, 's')
            && t.isKind(at + 4, 's')
            && t.isKind(at + 3, ',')
            && t.isKind(at + 5, ',')
            && t.isKind(at + 7, ')');
    boolean local = t.is(at + 6, "true");
    if (!literals || !local && !t.is(at + 6, "false")) {
      return Sql.of(Kind.SET_UNKNOWN);
    }
    String name = t.text(at + 2);
    if (!name.matches(PLAIN_NAME)) {
      return Sql.of(local ? Kind.SET_LOCAL_UNKNOWN : Kind.SET_UNKNOWN);
    }
    String bare = name.substring(1, name.length() - 1).toLowerCase(Locale.ROOT);
    return new Statement(local ? Kind.SET_LOCAL : Kind.SET, "", bare, t.text(at + 4), false);
  }

  static Statement reset(SqlTokens t, int first) {
    int at = first + 1;
    String name = t.wordAt(at);
    if (name.equals("all")) {
      return Sql.of(Kind.RESET_ALL);
    }
    return Sql.of(
        Kind.RESET,
        name.equals("time")
            ? "timezone"
            : name.equals("session") ? "session_authorization" : qualifiedName(t, at));
  }

  /** Returns a name with all its parts: a custom option has two. */
  private static String qualifiedName(SqlTokens t, int first) {
    var name = new StringBuilder(t.wordAt(first));
    for (int at = first; at + 2 < t.size() && t.isKind(at + 1, '.'); at += 2) {
      name.append('.').append(t.wordAt(at + 2));
    }
    return name.toString();
  }

  static Statement set(SqlTokens t, int first) {
    int at = first + 1;
    if (t.is(at, "local")) {
      return toLocal(assignment(t, at + 1));
    }
    if (t.is(at, "session") && t.is(at + 1, "characteristics")) {
      return sessionCharacteristics(t);
    }
    if (t.is(at, "session") && !t.is(at + 1, "authorization")) {
      at++;
    }
    return assignment(t, at);
  }

  /** Converts a SET to its SET LOCAL form, in which DEFAULT is a value like any other. */
  private static Statement toLocal(Statement set) {
    return switch (set.kind()) {
      case SET -> new Statement(Kind.SET_LOCAL, "", set.name(), set.value(), false);
      case RESET -> new Statement(Kind.SET_LOCAL, "", set.name(), DEFAULT, false);
      case SET_LOCAL -> set;
      default -> Sql.of(Kind.SET_LOCAL_UNKNOWN);
    };
  }

  /** Parses the assignment after SET, SET SESSION or SET LOCAL. */
  private static Statement assignment(SqlTokens t, int at) {
    return switch (t.wordAt(at)) {
      case "transaction", "constraints" -> Sql.of(Kind.SET_LOCAL);
      case "session" -> option("session_authorization", t.textFrom(at + 2));
      case "time" -> option("timezone", t.textFrom(at + 2));
      case "names" -> option("client_encoding", t.textFrom(at + 1));
      case "schema" -> option("search_path", t.textFrom(at + 1));
      case "role" -> option("role", t.textFrom(at + 1));
      default -> {
        int i = at + 1;
        while (i < t.size() && !t.isKind(i, '=') && !t.is(i, "to")) {
          i++;
        }
        yield option(qualifiedName(t, at), t.textFrom(i + 1));
      }
    };
  }

  private static Statement option(String name, String value) {
    String bare = value.strip().toLowerCase(Locale.ROOT);
    if (bare.equals("default")
        || bare.equals("local") && name.equals("timezone")
        || bare.equals("none") && name.equals("role")) {
      return Sql.of(Kind.RESET, name);
    }
    return bare.isEmpty()
        ? Sql.of(Kind.SET_UNKNOWN)
        : new Statement(Kind.SET, "", name, value.strip(), false);
  }

  /**
   * {@code SET SESSION CHARACTERISTICS AS TRANSACTION ...}: defaults for subsequent transactions.
   */
  private static Statement sessionCharacteristics(SqlTokens t) {
    boolean only = t.containsSequence("read", "only");
    boolean level = t.containsSequence("isolation");
    boolean deferrable = t.containsSequence("deferrable");
    boolean write = t.containsSequence("read", "write");
    if ((only || write) && !level && !deferrable) {
      return new Statement(
          Kind.SET, "", "default_transaction_read_only", only ? "'on'" : "'off'", false);
    }
    if (level && !only && !write && !deferrable) {
      return new Statement(
          Kind.SET, "", "default_transaction_isolation", Sql.literal(isolationLevel(t)), false);
    }
    return Sql.of(Kind.SET_UNKNOWN);
  }

  private static String isolationLevel(SqlTokens t) {
    return t.containsSequence("serializable")
        ? "serializable"
        : t.containsSequence("repeatable", "read")
            ? "repeatable read"
            : t.containsSequence("uncommitted") ? "read uncommitted" : "read committed";
  }
}
