package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.PMap;

/**
 * Computes the fewest messages that give a server connection a client's session state. Options and
 * SQL-level prepared statements take one multi-statement simple query, or none if nothing differs.
 * A protocol-level prepared statement takes one Parse, sent before its first use on a connection
 * that lacks it.
 */
final class StateDiff {
  /**
   * What precedes a client message: the statements to close, and whether its own must be parsed.
   */
  record PrepareSteps(List<Prepared> close, boolean parse) {
    static final PrepareSteps NONE = new PrepareSteps(List.of(), false);
  }

  private StateDiff() {}

  /**
   * The query that gives a connection the client's options and SQL-level statements, or null if
   * they already match. The role is set last, because another role may lack the permission for the
   * other changes.
   */
  static String query(ServerState server, SessionState client) {
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

  /** A PREPARE under the options of its first execution, which are then changed back. */
  private static List<String> prepareUnderOptions(
      SqlPrepared statement, PMap<String, String> inForce) {
    PMap<String, String> under = statement.options().values();
    PMap<String, String> currentOptions = StatementOptions.of(inForce).values();
    var sql = new ArrayList<String>(optionChanges(currentOptions, under));
    sql.add(statement.text());
    sql.addAll(optionChanges(under, currentOptions));
    return sql;
  }

  /** The SET and RESET statements that change one set of options to the other, role last. */
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

  /** A SET that lasts until the end of the transaction. */
  static String setLocal(String name, String value) {
    return "SET LOCAL " + assignment(name, value);
  }

  /** {@code SET TIME ZONE} also takes an interval, which {@code SET timezone TO} does not. */
  private static String assignment(String name, String value) {
    return name.equals("timezone") ? "TIME ZONE " + value : name(name) + " TO " + value;
  }

  private static String name(String option) {
    return isPlainName(option) ? option : Sql.identifier(option);
  }

  /**
   * Whether each part of a name is an identifier that needs no quotes. A loop: the depth of a
   * regular expression's recursion grows with the number of parts, which a client chooses.
   */
  private static boolean isPlainName(String option) {
    boolean atStart = true;
    for (int i = 0; i < option.length(); i++) {
      char c = option.charAt(i);
      boolean letter = c >= 'a' && c <= 'z' || c == '_';
      boolean digit = c >= '0' && c <= '9';
      if (!letter && (atStart || !digit && c != '.')) {
        return false;
      }
      atStart = c == '.';
    }
    return !atStart;
  }

  /**
   * The number of parts of the session state (options, SQL-level statements) in which a connection
   * differs from a client. The idle connection with the smallest distance is used.
   */
  static int distance(ServerState server, SessionState client) {
    if (server.options() == client.options() && server.sqlPrepared() == client.sqlPrepared()) {
      return 0;
    }
    return (server.options().equals(client.options()) ? 0 : 1)
        + (server.sqlPrepared().equals(client.sqlPrepared()) ? 0 : 1);
  }

  /**
   * What must be sent before a named statement is used on a connection that may hold {@code most}
   * statements. The least recently used ones are closed to make room.
   */
  static PrepareSteps prepareSteps(ServerState server, Prepared statement, int most) {
    return server.has(statement)
        ? PrepareSteps.NONE
        : new PrepareSteps(
            server.leastRecentlyUsed(Math.max(0, most - 1), statement.memoryBytes()), true);
  }
}
