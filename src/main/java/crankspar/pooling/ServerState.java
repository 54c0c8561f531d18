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

/** What is in force on one server connection, as far as it was set through here. */
final class ServerState {
  private static final int UNFIT_MOST = 64;

  private final TransactionalValue<PMap<String, String>> options =
      new TransactionalValue<>(HashTreePMap.empty());

  /** Statements by name, the least recently used first. */
  private final LinkedHashMap<String, Prepared> statements = new LinkedHashMap<>(16, 0.75f, true);

  private PMap<String, SqlPrepared> sqlPrepared = HashTreePMap.empty();
  private Prepared unnamed;

  /**
   * Statements that must be closed before they are prepared anew: the server may still have them.
   */
  private final Set<Prepared> unfit = new HashSet<>();

  private PMap<String, String> reported = HashTreePMap.empty();

  PMap<String, String> options() {
    return options.current();
  }

  PMap<String, SqlPrepared> sqlPrepared() {
    return sqlPrepared;
  }

  /** The parameters that the server reported last. */
  PMap<String, String> reported() {
    return reported;
  }

  Prepared unnamed() {
    return unnamed;
  }

  void unnamed(Prepared statement) {
    unnamed = statement;
  }

  int statements() {
    return statements.size();
  }

  void report(String name, String value) {
    if (!value.equals(reported.get(name))) {
      reported = reported.plus(name, value);
    }
  }

  /** Whether the statement is there; it counts as used now. */
  boolean has(Prepared statement) {
    return statements.get(statement.name()) != null;
  }

  void add(Prepared statement) {
    statements.put(statement.name(), statement);
  }

  void remove(Prepared statement) {
    statements.remove(statement.name());
  }

  /** It failed as lost or stale: it counts as absent, and is closed before it is prepared anew. */
  void drop(Prepared statement) {
    if (statement.equals(unnamed)) {
      unnamed = null;
    }
    if (statements.remove(statement.name()) != null || unfit.size() < UNFIT_MOST) {
      unfit.add(statement);
    }
  }

  /** Whether it was dropped, said once. */
  boolean unfit(Prepared statement) {
    return unfit.remove(statement);
  }

  /** The least recently used ones beyond a bound. */
  List<Prepared> beyond(int most) {
    var all = new ArrayList<Prepared>();
    var eldest = statements.values().iterator();
    for (int n = statements.size(); n > most && eldest.hasNext(); n--) {
      all.add(eldest.next());
    }
    return all;
  }

  /**
   * A statement has been done here, under these options; RESET goes back to what this connection
   * began with, which is nothing set.
   */
  void done(Statement s, String tag, StatementOptions under) {
    PMap<String, String> now = options.current();
    switch (s.kind()) {
      case SET -> options.set(now.plus(s.name(), s.value()));
      case RESET -> options.set(now.minus(s.name()));
      case RESET_ALL -> options.set(HashTreePMap.empty());
      case DISCARD_ALL -> {
        options.replace(HashTreePMap.empty());
        forgetStatements();
      }
      case PREPARE -> sqlPrepared = sqlPrepared.plus(s.name(), SqlPrepared.of(s, under));
      case DEALLOCATE -> {
        sqlPrepared = sqlPrepared.minus(s.name());
        statements.remove(s.name());
      }
      case DEALLOCATE_ALL -> forgetStatements();
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

  private void forgetStatements() {
    statements.clear();
    unfit.clear();
    sqlPrepared = HashTreePMap.empty();
    unnamed = null;
  }

  void failed() {
    options.statementFailed();
  }

  void ready(char status) {
    options.ready(status);
  }

  /** What was brought here by a carry, in one go. */
  void carried(PMap<String, String> asIt, PMap<String, SqlPrepared> prepared) {
    options.replace(asIt);
    sqlPrepared = prepared;
  }

  Map<String, Prepared> all() {
    return statements;
  }
}
