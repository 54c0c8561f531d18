package crankspar.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The transaction of one session of the stand-in, in a block or of one statement: what ends with
 * it, and what was recorded in it. Its statements share its fate.
 */
final class PgTransaction {
  private final PgServer server;
  private final Settings settings;
  private final Map<String, PgPortal> portals = new HashMap<>();
  private final Map<String, PgPortal> cursors = new HashMap<>();
  private final List<Recording.Executed> executed = new ArrayList<>();
  private boolean failed;
  private boolean block;
  private boolean readOnly;
  private long number;

  PgTransaction(PgServer server, Settings settings) {
    this.server = server;
    this.settings = settings;
  }

  /** As ReadyForQuery tells it. */
  char status() {
    return failed ? 'E' : block ? 'T' : 'I';
  }

  boolean inBlock() {
    return block;
  }

  void fail() {
    failed = true;
  }

  void rolledBackToSavepoint() {
    failed = false;
  }

  /** After an error only what ends the transaction is taken. */
  void checkAccepts(String sql) throws PgFailed {
    if (failed && !SqlText.ends(sql)) {
      throw new PgFailed(
          "25P02",
          "current transaction is aborted, commands ignored until end of transaction block");
    }
  }

  /** Whether this statement may run here now; {@code sql} without comments. */
  void checkMayRun(String sql) throws PgFailed {
    checkAccepts(sql);
    if (!block && server.draining && !sql.isEmpty()) {
      throw new PgFailed("57P03", "the server drains");
    }
    if (SqlText.writes(sql) && (!server.primary || block && readOnly)) {
      throw new PgFailed(
          "25006", "cannot execute " + SqlText.first(sql) + " in a read-only transaction");
    }
  }

  /** Its number; it begins with its first statement. */
  long number() {
    if (number == 0) {
      number = server.nextTransaction();
    }
    return number;
  }

  void executed(Recording.Executed statement) {
    executed.add(statement);
  }

  void begin(boolean reads) {
    if (!block) {
      block = true;
      readOnly = reads || settings.get("default_transaction_read_only").equals("on");
    }
  }

  /** COMMIT or ROLLBACK; the tag tells what came of it. */
  String finish(boolean commit) {
    boolean good = commit && !failed;
    failed = false;
    end(good);
    return good ? "COMMIT" : "ROLLBACK";
  }

  /** A statement, or a batch of them, is over: outside a block it was a transaction. */
  void endOfBatch() {
    if (!block) {
      end(!failed);
      failed = false;
    }
  }

  void end(boolean commit) {
    if (commit && executed.stream().anyMatch(e -> SqlText.writes(SqlText.bare(e.sql)))) {
      server.committed();
    }
    Recording.Fate fate = commit ? Recording.Fate.COMMITTED : Recording.Fate.ROLLED_BACK;
    executed.forEach(e -> e.fate = fate);
    executed.clear();
    if (commit) {
      settings.commit();
    } else {
      settings.rollback();
    }
    block = false;
    readOnly = false;
    number = 0;
    portals.clear();
    cursors.values().removeIf(c -> !c.sql.contains("WITH HOLD"));
  }

  // ---- Portals and cursors.
  void open(String name, PgPortal portal) {
    portals.put(name, portal);
  }

  PgPortal portal(String name) throws PgFailed {
    PgPortal portal = portals.get(name);
    if (portal == null) {
      throw new PgFailed("34000", "portal \"" + name + "\" does not exist");
    }
    return portal;
  }

  void close(String portal) {
    portals.remove(portal);
  }

  void declare(String name, String sql, SqlResult result) {
    var cursor = new PgPortal(sql, List.of());
    cursor.result = result;
    cursors.put(name, cursor);
  }

  /** The next rows of a cursor. */
  SqlResult fetch(String name, int most) throws PgFailed {
    PgPortal cursor = cursors.get(name);
    if (cursor == null) {
      throw new PgFailed("34000", "cursor \"" + name + "\" does not exist");
    }
    int from = cursor.at;
    cursor.at = Math.min(cursor.result.count(), from + most);
    return cursor.result.part(from, cursor.at);
  }

  /** All of them where {@code name} is null. */
  void closeCursor(String name) {
    if (name == null) {
      cursors.clear();
    } else {
      cursors.remove(name);
    }
  }
}
