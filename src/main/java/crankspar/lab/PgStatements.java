package crankspar.lab;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The statements that one session of the stand-in has prepared, by the protocol and by SQL. */
final class PgStatements {
  /** One of the protocol's; {@code types} are the oids that its client gave. */
  record Prepared(String sql, int[] types) {}

  private final PgServer server;
  private final Settings settings;
  private final Map<String, Prepared> byProtocol = new LinkedHashMap<>();
  private final Map<String, String> bySql = new HashMap<>();
  private final Set<String> stale = new HashSet<>();

  PgStatements(PgServer server, Settings settings) {
    this.server = server;
    this.settings = settings;
  }

  void prepare(String name, String sql, int[] types) throws PgFailed {
    if (!name.isEmpty()) {
      checkNew(name);
    }
    server.checkTables(sql);
    server.recording.prepares.incrementAndGet();
    byProtocol.put(name, new Prepared(PgConstants.read(sql, settings), types));
    stale.remove(name);
  }

  void prepareSql(String name, String sql) throws PgFailed {
    checkNew(name);
    server.checkTables(sql);
    server.recording.prepares.incrementAndGet();
    bySql.put(name, PgConstants.read(sql, settings));
  }

  private void checkNew(String name) throws PgFailed {
    if (byProtocol.containsKey(name) || bySql.containsKey(name)) {
      throw new PgFailed("42P05", "prepared statement \"" + name + "\" already exists");
    }
  }

  /** How many the protocol's messages have prepared here. */
  int count() {
    return byProtocol.size();
  }

  Prepared get(String name) throws PgFailed {
    Prepared prepared = byProtocol.get(name);
    if (prepared == null) {
      throw unknown(name);
    }
    return prepared;
  }

  /** To be bound: fails where its plan no longer fits. */
  Prepared toBind(String name) throws PgFailed {
    Prepared prepared = get(name);
    if (stale.contains(name)) {
      throw new PgFailed("0A000", "cached plan must not change result type");
    }
    return prepared;
  }

  String sql(String name) throws PgFailed {
    String sql = bySql.get(name);
    if (sql == null) {
      throw unknown(name);
    }
    return sql;
  }

  /** All of them where {@code name} is null. */
  void deallocate(String name) throws PgFailed {
    if (name == null) {
      byProtocol.clear();
      bySql.clear();
    } else if (bySql.remove(name) == null && byProtocol.remove(name) == null) {
      throw unknown(name);
    }
  }

  /** One that is not there is closed already. */
  void close(String name) {
    byProtocol.remove(name);
    bySql.remove(name);
  }

  void closeUnnamed() {
    byProtocol.remove("");
  }

  /** Those of the protocol are forgotten, as by a restart. */
  void drop() {
    byProtocol.clear();
  }

  /** From now on each that was prepared before fails once it is bound. */
  void makeStale() {
    stale.addAll(byProtocol.keySet());
  }

  private static PgFailed unknown(String name) {
    return new PgFailed("26000", "prepared statement \"" + name + "\" does not exist");
  }
}
