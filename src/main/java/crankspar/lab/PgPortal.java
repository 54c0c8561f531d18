package crankspar.lab;

import java.util.List;

/** A statement with its parameters, and how far its rows have been given. */
final class PgPortal {
  final String sql;
  final List<String> parameters;
  SqlResult result;
  int at;

  PgPortal(String sql, List<String> parameters) {
    this.sql = sql;
    this.parameters = parameters;
  }
}
