package crankspar.pooling;

import static crankspar.pooling.SqlToken.containsSequence;
import static crankspar.pooling.SqlToken.wordAt;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.ArrayList;
import java.util.List;
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
  static Statement setConfig(List<SqlToken> t, String text) {
    var calls = new ArrayList<Statement>(1);
    for (int i = 0; i + 1 < t.size(); i++) {
      if (t.get(i).is("set_config") && t.get(i + 1).kind() == '(') {
        calls.add(setConfigCall(t, i, text));
      }
    }
    if (calls.size() == 1) {
      return calls.get(0);
    }
    boolean allLocal =
        calls.stream()
            .allMatch(c -> c.kind() == Kind.SET_LOCAL || c.kind() == Kind.SET_LOCAL_UNKNOWN);
    return Sql.of(allLocal ? Kind.SET_LOCAL_UNKNOWN : Kind.SET_UNKNOWN, text);
  }

  private static Statement setConfigCall(List<SqlToken> t, int at, String text) {
    boolean literals =
        t.size() >= at + 8
            && t.get(at + 2).kind() == 's'
            && t.get(at + 4).kind() == 's'
            && t.get(at + 3).kind() == ','
            && t.get(at + 5).kind() == ','
            && t.get(at + 7).kind() == ')';
    String local = wordAt(t, at + 6);
    if (!literals || !local.equals("true") && !local.equals("false")) {
      return Sql.of(Kind.SET_UNKNOWN, text);
    }
    String name = t.get(at + 2).text();
    if (!name.matches(PLAIN_NAME)) {
      return Sql.of(local.equals("true") ? Kind.SET_LOCAL_UNKNOWN : Kind.SET_UNKNOWN, text);
    }
    Kind kind = local.equals("true") ? Kind.SET_LOCAL : Kind.SET;
    String bare = name.substring(1, name.length() - 1).toLowerCase(Locale.ROOT);
    return new Statement(kind, text, bare, t.get(at + 4).text(), false);
  }

  static Statement reset(List<SqlToken> t, String text) {
    String name = wordAt(t, 1);
    if (name.equals("all")) {
      return Sql.of(Kind.RESET_ALL, text);
    }
    return Sql.of(
        Kind.RESET,
        text,
        name.equals("time")
            ? "timezone"
            : name.equals("session") ? "session_authorization" : qualifiedName(t, 1));
  }

  /** Returns a name with all its parts: a custom option has two. */
  private static String qualifiedName(List<SqlToken> t, int at) {
    String name = wordAt(t, at);
    while (at + 2 < t.size() && t.get(at + 1).kind() == '.') {
      name += "." + wordAt(t, at + 2);
      at += 2;
    }
    return name;
  }

  static Statement set(List<SqlToken> t, String text) {
    int at = 1;
    if (wordAt(t, at).equals("local")) {
      return toLocal(assignment(t, at + 1, text), text);
    }
    if (wordAt(t, at).equals("session") && wordAt(t, at + 1).equals("characteristics")) {
      return sessionCharacteristics(t, text);
    }
    if (wordAt(t, at).equals("session") && !wordAt(t, at + 1).equals("authorization")) {
      at++;
    }
    return assignment(t, at, text);
  }

  /** Converts a SET to its SET LOCAL form, in which DEFAULT is a value like any other. */
  private static Statement toLocal(Statement set, String text) {
    return switch (set.kind()) {
      case SET -> new Statement(Kind.SET_LOCAL, text, set.name(), set.value(), false);
      case RESET -> new Statement(Kind.SET_LOCAL, text, set.name(), DEFAULT, false);
      case SET_LOCAL -> set;
      default -> Sql.of(Kind.SET_LOCAL_UNKNOWN, text);
    };
  }

  /** Parses the assignment after SET, SET SESSION or SET LOCAL. */
  private static Statement assignment(List<SqlToken> t, int at, String text) {
    String first = wordAt(t, at);
    int base = t.get(0).from();
    return switch (first) {
      case "transaction", "constraints" -> Sql.of(Kind.SET_LOCAL, text);
      case "session" -> option(text, "session_authorization", textFrom(t, at + 2, text, base));
      case "time" -> option(text, "timezone", textFrom(t, at + 2, text, base));
      case "names" -> option(text, "client_encoding", textFrom(t, at + 1, text, base));
      case "schema" -> option(text, "search_path", textFrom(t, at + 1, text, base));
      case "role" -> option(text, "role", textFrom(t, at + 1, text, base));
      default -> {
        String name = qualifiedName(t, at);
        int i = at + 1;
        while (i < t.size() && t.get(i).kind() != '=' && !t.get(i).is("to")) {
          i++;
        }
        yield option(text, name, i + 1 < t.size() ? textFrom(t, i + 1, text, base) : "");
      }
    };
  }

  private static String textFrom(List<SqlToken> t, int from, String text, int base) {
    return from < t.size() ? text.substring(t.get(from).from() - base) : "";
  }

  private static Statement option(String text, String name, String value) {
    String bare = value.strip().toLowerCase(Locale.ROOT);
    if (bare.equals("default")
        || bare.equals("local") && name.equals("timezone")
        || bare.equals("none") && name.equals("role")) {
      return Sql.of(Kind.RESET, text, name);
    }
    return bare.isEmpty()
        ? Sql.of(Kind.SET_UNKNOWN, text)
        : new Statement(Kind.SET, text, name, value.strip(), false);
  }

  /**
   * {@code SET SESSION CHARACTERISTICS AS TRANSACTION ...}: defaults for subsequent transactions.
   */
  private static Statement sessionCharacteristics(List<SqlToken> t, String text) {
    boolean only = containsSequence(t, "read", "only");
    boolean level = containsSequence(t, "isolation");
    if ((only || containsSequence(t, "read", "write"))
        && !level
        && !containsSequence(t, "deferrable")) {
      return new Statement(
          Kind.SET, text, "default_transaction_read_only", only ? "'on'" : "'off'", false);
    }
    if (level
        && !only
        && !containsSequence(t, "read", "write")
        && !containsSequence(t, "deferrable")) {
      String name =
          containsSequence(t, "serializable")
              ? "serializable"
              : containsSequence(t, "repeatable", "read")
                  ? "repeatable read"
                  : containsSequence(t, "uncommitted") ? "read uncommitted" : "read committed";
      return new Statement(
          Kind.SET, text, "default_transaction_isolation", Sql.literal(name), false);
    }
    return Sql.of(Kind.SET_UNKNOWN, text);
  }
}
