package crankspar.lab;

import crankspar.pooling.Frame;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs as much SQL as the stand-in needs to answer drivers: transactions, settings, prepared
 * statements, cursors, channels, COPY and {@link MiniSelect}. {@link SqlText} reads the statements.
 */
final class MiniSql {
  static final Frame EMPTY = Frame.body().as('I');

  private MiniSql() {}

  /** What a statement will give, without running it. */
  static SqlResult shape(PgBackend b, String sql) throws PgFailed {
    String bare = SqlText.bare(sql);
    String word = SqlText.first(bare);
    boolean returning =
        word.matches("INSERT|UPDATE|DELETE")
            && bare.toUpperCase(Locale.ROOT).contains(" RETURNING ");
    return word.matches("SELECT|SHOW") || returning
        ? run(b, sql, java.util.Collections.nCopies(SqlText.parameters(sql), "0"))
        : SqlResult.of(word);
  }

  private static final Pattern SET =
      Pattern.compile(
          "(?is)SET\\s+(SESSION\\s+|LOCAL\\s+)?([A-Za-z_.]+)\\s*(?:=|\\s+TO\\s+)\\s*(.*)");

  static SqlResult run(PgBackend b, String sql, List<String> parameters) throws PgFailed {
    String bare = SqlText.withoutEnd(SqlText.bare(sql));
    String upper = bare.toUpperCase(Locale.ROOT);
    String[] words = bare.split("\\s+");
    if (upper.contains("RAISE(")) {
      Matcher m = Pattern.compile("(?i)raise\\('([0-9A-Z]{5})'\\)").matcher(bare);
      throw new PgFailed(m.find() ? m.group(1) : "P0001", "raised");
    }
    switch (SqlText.first(bare)) {
      case "BEGIN", "START" -> {
        b.transaction.begin(upper.contains("READ ONLY"));
        return SqlResult.of("BEGIN");
      }
      case "COMMIT", "END" -> {
        return SqlResult.of(b.transaction.finish(true));
      }
      case "ABORT" -> {
        return SqlResult.of(b.transaction.finish(false));
      }
      case "ROLLBACK" -> {
        if (!upper.matches("(?s)ROLLBACK\\s+(WORK\\s+|TRANSACTION\\s+)?TO\\s.*")) {
          return SqlResult.of(b.transaction.finish(false));
        }
        if (!b.settings.rollbackTo(words[words.length - 1])) {
          throw new PgFailed("3B001", "no such savepoint");
        }
        b.transaction.rolledBackToSavepoint();
        return SqlResult.of("ROLLBACK");
      }
      case "SAVEPOINT" -> {
        if (!b.transaction.inBlock()) {
          throw new PgFailed("25P01", "SAVEPOINT can only be used in transaction blocks");
        }
        b.settings.savepoint(words[1]);
        return SqlResult.of("SAVEPOINT");
      }
      case "RELEASE" -> {
        if (!b.settings.release(words[words.length - 1])) {
          throw new PgFailed("3B001", "no such savepoint");
        }
        return SqlResult.of("RELEASE");
      }
      case "SET" -> {
        set(b, bare, upper);
        return SqlResult.of("SET");
      }
      case "RESET" -> {
        if (upper.equals("RESET ALL")) {
          b.settings.resetAll();
        } else {
          b.settings.reset(name(words[1].equalsIgnoreCase("time") ? "timezone" : words[1]));
        }
        return SqlResult.of("RESET");
      }
      case "SHOW" -> {
        if (upper.equals("SHOW LOAD")) {
          b.server.probes.probed(b.server.loop.now());
        }
        String value =
            upper.equals("SHOW LOAD")
                ? "x0="
                    + String.format(Locale.ROOT, "%.3f", b.server.position() / 1000)
                    + ",x1="
                    + (b.server.primary ? 1 : 0)
                : upper.equals("SHOW TRANSACTION ISOLATION LEVEL")
                    ? "read committed"
                    : b.settings.get(name(upper.equals("SHOW TIME ZONE") ? "timezone" : words[1]));
        return SqlResult.rows(
            List.of(words[1].toLowerCase(Locale.ROOT)),
            new int[] {SqlResult.TEXT},
            1,
            i -> List.of(value),
            "SHOW");
      }
      case "DISCARD" -> {
        if (b.transaction.inBlock()) {
          throw new PgFailed("25001", "DISCARD ALL cannot run inside a transaction block");
        }
        if (upper.equals("DISCARD ALL")) {
          b.settings.resetAll();
          b.statements.deallocate(null);
          b.server.unlisten(b, null);
          b.transaction.closeCursor(null);
        }
        return SqlResult.of("DISCARD ALL");
      }
      case "PREPARE" -> {
        Matcher m =
            Pattern.compile("(?is)PREPARE\\s+([\"\\w]+)\\s*(?:\\([^)]*\\))?\\s+AS\\s+(.*)")
                .matcher(bare);
        if (!m.matches()) {
          throw new PgFailed("42601", "syntax error in PREPARE");
        }
        b.statements.prepareSql(m.group(1).replace("\"", ""), m.group(2));
        return SqlResult.of("PREPARE");
      }
      case "EXECUTE" -> {
        Matcher m = Pattern.compile("(?is)EXECUTE\\s+([\"\\w]+)\\s*(?:\\((.*)\\))?").matcher(bare);
        m.matches();
        String text = b.statements.sql(m.group(1).replace("\"", ""));
        var values = new ArrayList<String>();
        for (String v : m.group(2) == null ? new String[0] : m.group(2).split(",")) {
          values.add(v.strip().replaceAll("^'|'$", ""));
        }
        return run(b, text, values);
      }
      case "DEALLOCATE" -> {
        String name = words[words.length - 1].replace("\"", "");
        b.statements.deallocate(name.equalsIgnoreCase("ALL") ? null : name);
        return SqlResult.of("DEALLOCATE");
      }
      case "LISTEN" -> {
        b.server.listen(b, words[1]);
        return SqlResult.of("LISTEN");
      }
      case "UNLISTEN" -> {
        b.server.unlisten(b, words[1].equals("*") ? null : words[1]);
        return SqlResult.of("UNLISTEN");
      }
      case "NOTIFY" -> {
        b.server.notify(
            b.connection,
            words[1].replace(",", ""),
            words.length > 2 ? words[2].replace("'", "") : "");
        return SqlResult.of("NOTIFY");
      }
      case "DECLARE" -> {
        b.transaction.declare(
            words[1], upper, run(b, bare.substring(upper.indexOf(" FOR ") + 5), List.of()));
        return SqlResult.of("DECLARE CURSOR");
      }
      case "FETCH" -> {
        String count =
            words.length > 2 && words[1].matches("[0-9]+")
                ? words[1]
                : words.length > 3 ? words[2] : "1";
        return b.transaction.fetch(
            words[words.length - 1], count.matches("[0-9]+") ? Integer.parseInt(count) : 1 << 20);
      }
      case "CLOSE" -> {
        b.transaction.closeCursor(words[1].equalsIgnoreCase("ALL") ? null : words[1]);
        return SqlResult.of("CLOSE CURSOR");
      }
      case "COPY" -> {
        if (upper.contains("FROM STDIN")) {
          return new SqlResult(null, null, 0, null, words[1], "in");
        }
        Matcher m = Pattern.compile("(?is)COPY\\s*\\((.*)\\)\\s*TO\\s+STDOUT.*").matcher(bare);
        SqlResult all =
            run(b, m.matches() ? m.group(1) : "SELECT g FROM generate_series(1,3)", parameters);
        return new SqlResult(all.columns(), all.types(), all.count(), all.rows(), "COPY", "out");
      }
      case "INSERT", "UPDATE", "DELETE" -> {
        int at = upper.indexOf(" RETURNING ");
        String tag =
            SqlText.first(bare).equals("INSERT") ? "INSERT 0 1" : SqlText.first(bare) + " 1";
        if (at < 0) {
          return SqlResult.of(tag);
        }
        SqlResult r = MiniSelect.select(b, "SELECT " + bare.substring(at + 11), parameters);
        return new SqlResult(r.columns(), r.types(), r.count(), r.rows(), tag, null);
      }
      case "SELECT" -> {
        return MiniSelect.select(b, bare, parameters);
      }
      case "" -> {
        return SqlResult.of("");
      }
      default -> {
        if (!SqlText.first(bare)
            .matches("CREATE|DROP|ALTER|TRUNCATE|LOAD|ANALYZE|VACUUM|LOCK|GRANT|REVOKE")) {
          throw new PgFailed("42601", "syntax error at or near \"" + words[0] + "\"");
        }
        return SqlResult.of(
            words.length > 1
                ? SqlText.first(bare) + " " + words[1].toUpperCase(Locale.ROOT)
                : SqlText.first(bare));
      }
    }
  }

  static String name(String given) throws PgFailed {
    String name = Settings.name(given);
    if (name == null) {
      throw new PgFailed("42704", "unrecognized configuration parameter \"" + given + "\"");
    }
    return name;
  }

  private static void set(PgBackend b, String bare, String upper) throws PgFailed {
    if (upper.startsWith("SET TRANSACTION") || upper.startsWith("SET CONSTRAINTS")) {
      return;
    }
    if (upper.startsWith("SET SESSION CHARACTERISTICS")) {
      if (upper.contains("READ ONLY") || upper.contains("READ WRITE")) {
        b.settings.set(
            "default_transaction_read_only", upper.contains("READ ONLY") ? "on" : "off", false);
      }
      Matcher level =
          Pattern.compile("ISOLATION LEVEL ([A-Z ]+?)(?:,|$| READ (?:ONLY|WRITE))").matcher(upper);
      if (level.find()) {
        b.settings.set(
            "default_transaction_isolation", level.group(1).toLowerCase(Locale.ROOT), false);
      }
      return;
    }
    Matcher zone =
        Pattern.compile("(?is)SET\\s+(SESSION\\s+|LOCAL\\s+)?TIME\\s+ZONE\\s+(.*)").matcher(bare);
    Matcher m = zone.matches() ? zone : SET.matcher(bare);
    if (!m.matches()) {
      throw new PgFailed("42601", "syntax error in SET");
    }
    boolean local = m.group(1) != null && m.group(1).strip().equalsIgnoreCase("LOCAL");
    String name = name(zone.matches() ? "timezone" : m.group(2));
    String value = m.group(zone.matches() ? 2 : 3).strip();
    if (value.equalsIgnoreCase("DEFAULT")) {
      b.settings.reset(name);
      return;
    }
    if (value.toUpperCase(Locale.ROOT).contains("NO SUCH")) {
      throw new PgFailed("22023", "invalid value for parameter \"" + name + "\"");
    }
    b.settings.set(name, value.replaceAll("^E?'(.*)'$", "$1").replace("''", "'"), local);
  }
}
