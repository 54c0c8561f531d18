package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Session state that is restored on whichever server connection runs the client's next transaction:
 * options, prepared statements (of the extended protocol and of SQL PREPARE) and the replication
 * position that its next read must reach. Options and pins follow transactions and savepoints as in
 * PostgreSQL; prepared statements do not. The state of an idle client is a few references to shared
 * values.
 */
final class SessionState {
  private final SessionOptions options;
  private Map<String, Prepared> prepared = Map.of();
  private PMap<String, SqlPrepared> sqlPrepared = HashTreePMap.empty();
  private int preparedBytes;
  private Prepared unnamed;

  /** The simple query that is being served, or null. */
  private ParsedQuery query;

  /** Server parameters last reported to the client by ParameterStatus. */
  private PMap<String, String> reportedParameters = HashTreePMap.empty();

  private double lastCommitPosition = Double.NaN;

  SessionState(PMap<String, String> base) {
    options = new SessionOptions(base);
  }

  /**
   * Returns the state of a client with these startup parameters; those that are not options are
   * ignored.
   */
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
   * Parses the startup parameter {@code options}: {@code -c name=value} and {@code --name=value},
   * where a backslash escapes a space within a value.
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

  /** Returns the options set for the session, by name, with values as SQL text. */
  PMap<String, String> options() {
    return options.session();
  }

  /** Returns all option state, including values local to the current transaction. */
  SessionOptions sessionOptions() {
    return options;
  }

  /** Returns the statements created by SQL PREPARE, by name. */
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

  /** Returns the position of the newest commit, or NaN before the first one. */
  double lastCommitPosition() {
    return lastCommitPosition;
  }

  /** Records the position of a commit; the last commit position never decreases. */
  void committedAt(double position) {
    lastCommitPosition =
        Double.isNaN(lastCommitPosition) ? position : Math.max(lastCommitPosition, position);
  }

  /** Whether transactions are read-only by default ({@code default_transaction_read_only}). */
  boolean readOnlyByDefault() {
    String value = options().get("default_transaction_read_only");
    return value != null && value.toLowerCase(Locale.ROOT).matches("'?(on|true|yes|1)'?");
  }

  // ---- Prepared statements of the extended protocol.
  Prepared prepared(String name) {
    return name.isEmpty() ? unnamed : prepared.get(name);
  }

  /** Returns the number of named statements of both kinds. */
  int statementCount() {
    return prepared.size() + sqlPrepared.size();
  }

  /** Returns the estimated size in bytes of all named prepared statements. */
  int preparedBytes() {
    return preparedBytes;
  }

  /** Returns the estimated bytes of memory that the session's state takes. */
  long memoryBytes() {
    return options.memoryBytes()
        + preparedBytes
        + (unnamed == null ? 0 : unnamed.memoryBytes())
        + (query == null ? 0 : query.memoryBytes());
  }

  /** Returns the statements of a simple query, which is parsed once until its request ends. */
  ParsedQuery parsed(Frame frame) throws Frame.Malformed {
    if (query == null || query.frame() != frame) {
      query = ParsedQuery.of(frame);
    }
    return query;
  }

  /** Forgets the simple query parsed last. */
  void queryEnded() {
    query = null;
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
    preparedBytes += statement.memoryBytes();
    preparedBytes += before == null ? name.length() : -before.memoryBytes();
  }

  /** Removes a statement and returns it, or null if there was none. */
  Prepared close(String name) {
    if (name.isEmpty()) {
      Prepared was = unnamed;
      unnamed = null;
      return was;
    }
    Prepared was = prepared.isEmpty() ? null : prepared.remove(name);
    preparedBytes -= was == null ? 0 : name.length() + was.memoryBytes();
    return was;
  }

  /**
   * Returns the statement whose effect on the session applies: for an EXECUTE of a prepared
   * statement that changes the session, that statement.
   */
  Statement effect(Statement s) {
    SqlPrepared executed = s.kind() == Sql.Kind.EXECUTE ? sqlPrepared.get(s.name()) : null;
    return executed == null || executed.effect() == null ? s : executed.effect();
  }

  /** Applies {@link #effect} to each statement. */
  List<Statement> effects(List<Statement> statements) {
    return sqlPrepared.isEmpty() ? statements : statements.stream().map(this::effect).toList();
  }

  // ---- Events, in the order in which the server reports them.
  /**
   * Applies a completed statement; the command tag shows whether a COMMIT was in fact a rollback.
   */
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
    queryEnded();
    options.ready(status);
  }

  /** Rolls back the changes of the current transaction, which ended with its server connection. */
  void connectionLost() {
    options.connectionLost();
  }
}
