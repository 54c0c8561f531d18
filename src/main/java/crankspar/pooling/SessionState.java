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
  private int preparedBytes;
  private Prepared unnamed;

  /** The parameters that the client was told of. */
  private PMap<String, String> reportedParameters = HashTreePMap.empty();

  private double lastCommitPosition = Double.NaN;

  SessionState(PMap<String, String> base) {
    options = new SessionOptions(base);
  }

  /** The state of a client that starts with these parameters; what is no option is left out. */
  static SessionState of(Map<String, String> startup) {
    PMap<String, String> base = HashTreePMap.empty();
    for (Map.Entry<String, String> e : startup.entrySet()) {
      String name = e.getKey().toLowerCase(Locale.ROOT);
      if (name.equals("options")) {
        for (Map.Entry<String, String> o : commandLineOptions(e.getValue()).entrySet()) {
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
  private static Map<String, String> commandLineOptions(String text) {
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

  PMap<String, String> reportedParameters() {
    return reportedParameters;
  }

  void reportedParameters(PMap<String, String> parameters) {
    reportedParameters = parameters;
  }

  double lastCommitPosition() {
    return lastCommitPosition;
  }

  /** Its newest commit: never back. */
  void committedAt(double position) {
    lastCommitPosition =
        Double.isNaN(lastCommitPosition) ? position : Math.max(lastCommitPosition, position);
  }

  /** Whether its transactions only read unless they say otherwise. */
  boolean readOnlyByDefault() {
    String value = options().get("default_transaction_read_only");
    return value != null && value.toLowerCase(Locale.ROOT).matches("'?(on|true|yes|1)'?");
  }

  // ---- Statements of the protocol's.
  Prepared prepared(String name) {
    return name.isEmpty() ? unnamed : prepared.get(name);
  }

  int statementCount() {
    return prepared.size() + sqlPrepared.size();
  }

  /** Bytes of all that is prepared. */
  int preparedBytes() {
    return preparedBytes;
  }

  Map<String, Prepared> preparedByName() {
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
    preparedBytes += statement.memoryBytes() - (before == null ? 0 : before.memoryBytes());
  }

  /** Forgets it; returns what it was, or null. */
  Prepared close(String name) {
    if (name.isEmpty()) {
      Prepared was = unnamed;
      unnamed = null;
      return was;
    }
    Prepared was = prepared.isEmpty() ? null : prepared.remove(name);
    preparedBytes -= was == null ? 0 : was.memoryBytes();
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
  void apply(Statement s, String tag) {
    switch (s.kind()) {
      case PREPARE -> {
        var statement = SqlPrepared.of(s, options.statementOptions());
        preparedBytes += statement.memoryBytes();
        sqlPrepared = sqlPrepared.plus(s.name(), statement);
      }
      case DEALLOCATE -> deallocate(s.name());
      case DEALLOCATE_ALL -> clearStatements();
      case DISCARD_ALL -> {
        options.apply(s, tag);
        clearStatements();
      }
      default -> options.apply(s, tag);
    }
  }

  private void deallocate(String name) {
    SqlPrepared statement = sqlPrepared.get(name);
    if (statement != null) {
      preparedBytes -= statement.memoryBytes();
      sqlPrepared = sqlPrepared.minus(name);
    } else {
      close(name);
    }
  }

  private void clearStatements() {
    prepared = Map.of();
    unnamed = null;
    sqlPrepared = HashTreePMap.empty();
    preparedBytes = 0;
  }

  void statementFailed() {
    options.statementFailed();
  }

  void ready(char status) {
    options.ready(status);
  }

  /** The connection is lost, and the transaction with it: what it changed is as before. */
  void connectionLost() {
    options.connectionLost();
  }
}
