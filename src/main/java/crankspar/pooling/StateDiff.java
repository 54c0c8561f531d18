package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.PMap;

/**
 * The fewest messages that bring a server connection to a client's state. Options and SQL-level
 * statements take one simple query of several statements, and none at all where nothing differs; a
 * statement of the protocol's takes one Parse where it is used and not there.
 */
final class StateDiff {
  /**
   * Before one of the client's messages: what is closed, and whether its statement is prepared
   * first.
   */
  record PrepareSteps(List<Prepared> close, boolean parse) {
    static final PrepareSteps NONE = new PrepareSteps(List.of(), false);
  }

  private StateDiff() {}

  /**
   * The query that makes a connection's options and SQL-level statements the client's, or null
   * where they are. A role is set last: under another one the rest might not be allowed.
   */
  static String restoreQuery(ServerState server, SessionState client) {
    if (server.options() == client.options() && server.sqlPrepared() == client.sqlPrepared()) {
      return null;
    }
    var sql = new ArrayList<String>(optionChanges(server.options(), client.options()));
    for (Map.Entry<String, SqlPrepared> e : new TreeMap<>(server.sqlPrepared()).entrySet()) {
      if (!e.getValue().equals(client.sqlPrepared().get(e.getKey()))) {
        sql.add("DEALLOCATE " + Sql.identifier(e.getKey()));
      }
    }
    for (Map.Entry<String, SqlPrepared> e : new TreeMap<>(client.sqlPrepared()).entrySet()) {
      if (!e.getValue().equals(server.sqlPrepared().get(e.getKey()))) {
        sql.addAll(prepareUnderOptions(e.getValue(), client.options()));
      }
    }
    return sql.isEmpty() ? null : String.join("; ", sql);
  }

  /** A PREPARE under the options that it was first done under, and those in force after it. */
  private static List<String> prepareUnderOptions(
      SqlPrepared statement, PMap<String, String> inForce) {
    PMap<String, String> under = statement.options().values();
    PMap<String, String> currentOptions = StatementOptions.of(inForce).values();
    var sql = new ArrayList<String>(optionChanges(currentOptions, under));
    sql.add(statement.text());
    sql.addAll(optionChanges(under, currentOptions));
    return sql;
  }

  /** The statements that make these options those, the role last. */
  static List<String> optionChanges(PMap<String, String> from, PMap<String, String> to) {
    if (from == to) {
      return List.of();
    }
    var sql = new ArrayList<String>();
    for (String name : new TreeMap<>(from).keySet()) {
      if (!to.containsKey(name)) {
        sql.add("RESET " + name(name));
      }
    }
    String role = null;
    for (Map.Entry<String, String> e : new TreeMap<>(to).entrySet()) {
      if (e.getValue().equals(from.get(e.getKey()))) {
        continue;
      }
      if (e.getKey().equals("role")) {
        role = set(e.getKey(), e.getValue());
      } else {
        sql.add(set(e.getKey(), e.getValue()));
      }
    }
    if (role != null) {
      sql.add(role);
    }
    return sql;
  }

  private static String set(String name, String value) {
    return "SET " + assignment(name, value);
  }

  /** The same up to the transaction's end. */
  static String setLocal(String name, String value) {
    return "SET LOCAL " + assignment(name, value);
  }

  /** {@code SET TIME ZONE} also takes an interval, which {@code SET timezone TO} does not. */
  private static String assignment(String name, String value) {
    return name.equals("timezone") ? "TIME ZONE " + value : name(name) + " TO " + value;
  }

  private static String name(String option) {
    return option.matches("[a-z_][a-z0-9_]*(\\.[a-z_][a-z0-9_]*)*")
        ? option
        : Sql.identifier(option);
  }

  /**
   * How far a connection is from a client: messages that it would take, so that the nearest idle
   * one is used.
   */
  static int distance(ServerState server, SessionState client) {
    if (server.options() == client.options() && server.sqlPrepared() == client.sqlPrepared()) {
      return 0;
    }
    return (server.options().equals(client.options()) ? 0 : 1)
        + (server.sqlPrepared().equals(client.sqlPrepared()) ? 0 : 1);
  }

  /**
   * What a named statement needs before it is used on a connection that may hold {@code most}. The
   * ones that have been unused for longest make room.
   */
  static PrepareSteps prepareSteps(ServerState server, Prepared statement, int most) {
    return server.has(statement)
        ? PrepareSteps.NONE
        : new PrepareSteps(new ArrayList<>(server.leastRecentlyUsed(Math.max(0, most - 1))), true);
  }
}
