package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The session state of one server connection, as far as it was set through the pooler. */
final class ServerState {
  /** Bounds the stale marks that are kept for statements not known to be prepared here. */
  private static final int MAX_STALE = 64;

  private final TransactionalValue<PMap<String, String>> options =
      new TransactionalValue<>(HashTreePMap.empty());

  /** Bytes of the statements that one connection keeps; the one prepared last always fits. */
  static final int MAX_STATEMENT_BYTES = FrameDecoder.MAX_BUFFERED_LENGTH;

  /** Prepared statements by name, the least recently used first. */
  private final LinkedHashMap<String, Prepared> statements = new LinkedHashMap<>(16, 0.75f, true);

  private PMap<String, SqlPrepared> sqlPrepared = HashTreePMap.empty();
  private Prepared unnamed;

  private long statementBytes;
  private long revision;

  /**
   * Names of statements that must be closed before they are prepared again, as the server may still
   * hold them.
   */
  private final Set<String> stale = new HashSet<>();

  private PMap<String, String> reported = HashTreePMap.empty();

  PMap<String, String> options() {
    return options.current();
  }

  PMap<String, SqlPrepared> sqlPrepared() {
    return sqlPrepared;
  }

  /** The parameters that the server reported last, by name. */
  PMap<String, String> reported() {
    return reported;
  }

  Prepared unnamed() {
    return unnamed;
  }

  void setUnnamed(Prepared statement) {
    unnamed = statement;
  }

  int statementCount() {
    return statements.size();
  }

  void setReported(String name, String value) {
    if (!value.equals(reported.get(name))) {
      reported = reported.plus(name, value);
    }
  }

  /** Whether the statement is prepared here; marks it as the most recently used. */
  boolean has(Prepared statement) {
    return statements.get(statement.name()) != null;
  }

  /** Changes with each change of the prepared statements. */
  long revision() {
    return revision;
  }

  void add(Prepared statement) {
    remove(statement.name());
    statements.put(statement.name(), statement);
    statementBytes += statement.memoryBytes();
    revision++;
  }

  void remove(Prepared statement) {
    remove(statement.name());
  }

  /** Returns whether there was one. */
  private boolean remove(String name) {
    Prepared removed = statements.remove(name);
    if (removed != null) {
      statementBytes -= removed.memoryBytes();
      revision++;
    }
    return removed != null;
  }

  /**
   * The statement failed as missing or outdated: treats it as absent, to be closed before it is
   * prepared again.
   */
  void markStale(Prepared statement) {
    if (statement.equals(unnamed)) {
      unnamed = null;
    }
    if (remove(statement.name()) || stale.size() < MAX_STALE) {
      stale.add(statement.name());
    }
  }

  /** Returns whether the statement was marked stale, and clears the mark. */
  boolean takeStale(Prepared statement) {
    return stale.remove(statement.name());
  }

  /** The least recently used statements that are too many, or too large, beside so many bytes. */
  List<Prepared> leastRecentlyUsed(int limit, long moreBytes) {
    var excess = new ArrayList<Prepared>();
    long bytes = statementBytes + moreBytes;
    var eldest = statements.values().iterator();
    for (int n = statements.size();
        eldest.hasNext() && (n > limit || bytes > MAX_STATEMENT_BYTES);
        n--) {
      Prepared next = eldest.next();
      bytes -= next.memoryBytes();
      excess.add(next);
    }
    return excess;
  }

  /**
   * Records the effect of a statement that completed under these options. RESET returns to the
   * options at login; as the pooler sets none there, it removes the entry.
   */
  void onCompleted(Statement s, String tag, StatementOptions under) {
    PMap<String, String> current = options.current();
    switch (s.kind()) {
      case SET -> options.set(current.plus(s.name(), s.value()));
      case RESET -> options.set(current.minus(s.name()));
      case RESET_ALL -> options.set(SessionOptions.afterResetAll(current, HashTreePMap.empty()));
      case DISCARD_ALL -> {
        options.replace(HashTreePMap.empty());
        clearStatements();
      }
      case PREPARE -> sqlPrepared = sqlPrepared.plus(s.name(), SqlPrepared.of(s, under));
      case DEALLOCATE -> {
        sqlPrepared = sqlPrepared.minus(s.name());
        remove(s.name());
      }
      case DEALLOCATE_ALL -> clearStatements();
      case COMMIT, ROLLBACK -> {
        if (tag.equals("COMMIT")) {
          options.commit();
        } else {
          options.rollback();
        }
      }
      case SAVEPOINT -> options.savepoint(s.name());
      case RELEASE -> options.release(s.name());
      case ROLLBACK_TO -> options.rollbackTo(s.name());
      default -> {}
    }
  }

  private void clearStatements() {
    statements.clear();
    statementBytes = 0;
    revision++;
    stale.clear();
    sqlPrepared = HashTreePMap.empty();
    unnamed = null;
  }

  void onError() {
    options.statementFailed();
  }

  void onReady(char status) {
    options.ready(status);
  }

  /** Replaces options and SQL-level statements after a client's state was applied. */
  void replaceSession(PMap<String, String> newOptions, PMap<String, SqlPrepared> newPrepared) {
    options.replace(newOptions);
    sqlPrepared = newPrepared;
  }

  Map<String, Prepared> statementsByName() {
    return statements;
  }
}
