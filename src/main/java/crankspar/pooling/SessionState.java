package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a client expects to find again, whichever connection its next transaction lands on: options,
 * prepared statements of both kinds, and the position that its next read must see. Options and pins
 * follow transactions and savepoints as PostgreSQL has them do; prepared statements do not. An idle
 * client's state is a few references to shared values.
 */
final class SessionState {
  private final SessionOptions options;
  private Map<String, Prepared> prepared = Map.of();
  private PMap<String, SqlPrepared> sqlPrepared = HashTreePMap.empty();
  private int bytes;
  private Prepared unnamed;

  /** The parameters that the client was told of. */
  private PMap<String, String> told = HashTreePMap.empty();

  private double mark = Double.NaN;

  SessionState(PMap<String, String> base) {
    options = new SessionOptions(base);
  }

  /** The state of a client that starts with these parameters; what is no option is left out. */
  static SessionState of(Map<String, String> startup) {
    PMap<String, String> base = HashTreePMap.empty();
    for (Map.Entry<String, String> e : startup.entrySet()) {
      String name = e.getKey().toLowerCase(Locale.ROOT);
      if (name.equals("options")) {
        for (Map.Entry<String, String> o : arguments(e.getValue()).entrySet()) {
          base = base.plus(o.getKey(), Sql.literal(o.getValue()));
        }
      } else if (!name.equals("user")
          && !name.equals("database")
          && !name.equals("replication")
          && !name.startsWith("_pq_.")) {
        base = base.plus(name, Sql.literal(e.getValue()));
      }
    }
    return new SessionState(base);
  }

  /**
   * {@code -c name=value} and {@code --name=value}, with a backslash before a space that belongs to
   * a value.
   */
  private static Map<String, String> arguments(String text) {
    var all = new LinkedHashMap<String, String>();
    String[] words = text.strip().split("(?<!\\\\)\\s+");
    for (int i = 0; i < words.length; i++) {
      String word = words[i].replace("\\ ", " ").replace("\\\\", "\\");
      String pair =
          word.equals("-c") && i + 1 < words.length
              ? words[++i].replace("\\ ", " ")
              : word.startsWith("--")
                  ? word.substring(2)
                  : word.startsWith("-c") ? word.substring(2) : "";
      int at = pair.indexOf('=');
      if (at > 0) {
        all.put(
            pair.substring(0, at).replace('-', '_').toLowerCase(Locale.ROOT),
            pair.substring(at + 1));
      }
    }
    return all;
  }

  /** Those of the session, by name as SQL text. */
  PMap<String, String> options() {
    return options.session();
  }

  /** With what is local to a transaction, and how they come about. */
  SessionOptions sessionOptions() {
    return options;
  }

  /** Statements of SQL's PREPARE by name. */
  PMap<String, SqlPrepared> sqlPrepared() {
    return sqlPrepared;
  }

  Pins pins() {
    return options.pins();
  }

  PMap<String, String> told() {
    return told;
  }

  void told(PMap<String, String> parameters) {
    told = parameters;
  }

  double mark() {
    return mark;
  }

  /** Its newest commit: never back. */
  void committedAt(double position) {
    mark = Double.isNaN(mark) ? position : Math.max(mark, position);
  }

  /** Whether its transactions only read unless they say otherwise. */
  boolean readsByDefault() {
    String value = options().get("default_transaction_read_only");
    return value != null && value.toLowerCase(Locale.ROOT).matches("'?(on|true|yes|1)'?");
  }

  // ---- Statements of the protocol's.
  Prepared prepared(String name) {
    return name.isEmpty() ? unnamed : prepared.get(name);
  }

  int statements() {
    return prepared.size() + sqlPrepared.size();
  }

  /** Bytes of all that is prepared. */
  int bytes() {
    return bytes;
  }

  Map<String, Prepared> all() {
    return prepared;
  }

  void prepare(String name, Prepared statement) {
    if (name.isEmpty()) {
      unnamed = statement;
      return;
    }
    if (prepared.isEmpty()) {
      prepared = new LinkedHashMap<>(4);
    }
    Prepared before = prepared.put(name, statement);
    bytes += statement.bytes() - (before == null ? 0 : before.bytes());
  }

  /** Forgets it; returns what it was, or null. */
  Prepared close(String name) {
    if (name.isEmpty()) {
      Prepared was = unnamed;
      unnamed = null;
      return was;
    }
    Prepared was = prepared.isEmpty() ? null : prepared.remove(name);
    bytes -= was == null ? 0 : was.bytes();
    return was;
  }

  /** What a statement does to its session: an EXECUTE does what is prepared under its name. */
  Statement effect(Statement s) {
    SqlPrepared executed = s.kind() == Sql.Kind.EXECUTE ? sqlPrepared.get(s.name()) : null;
    return executed == null || executed.effect() == null ? s : executed.effect();
  }

  /** The same for several. */
  List<Statement> effects(List<Statement> statements) {
    return sqlPrepared.isEmpty() ? statements : statements.stream().map(this::effect).toList();
  }

  // ---- What happens, in the order in which the server says so.
  /** A statement has been done; the tag tells a COMMIT that was none. */
  void done(Statement s, String tag) {
    switch (s.kind()) {
      case PREPARE -> {
        var statement = SqlPrepared.of(s, options.statementOptions());
        bytes += statement.bytes();
        sqlPrepared = sqlPrepared.plus(s.name(), statement);
      }
      case DEALLOCATE -> deallocate(s.name());
      case DEALLOCATE_ALL -> forgetStatements();
      case DISCARD_ALL -> {
        options.done(s, tag);
        forgetStatements();
      }
      default -> options.done(s, tag);
    }
  }

  private void deallocate(String name) {
    SqlPrepared statement = sqlPrepared.get(name);
    if (statement != null) {
      bytes -= statement.bytes();
      sqlPrepared = sqlPrepared.minus(name);
    } else {
      close(name);
    }
  }

  private void forgetStatements() {
    prepared = Map.of();
    unnamed = null;
    sqlPrepared = HashTreePMap.empty();
    bytes = 0;
  }

  void failed() {
    options.failed();
  }

  void ready(char status) {
    options.ready(status);
  }

  /** The connection is lost, and the transaction with it: what it changed is as before. */
  void lost() {
    options.lost();
  }
}
