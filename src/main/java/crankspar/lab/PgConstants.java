package crankspar.lab;

import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The constants of a statement that the stand-in reads when it analyses the statement, as
 * PostgreSQL does: a timestamp without a zone means what the session's time zone makes of it at
 * that moment, however long the statement lives.
 */
final class PgConstants {
  private static final String CAST = "::timestamptz";

  private static final Pattern TIMESTAMP =
      Pattern.compile("'(\\d{4}-\\d\\d-\\d\\d) (\\d\\d:\\d\\d:\\d\\d)'" + CAST);

  private PgConstants() {}

  /** The text with each timestamp as seconds since 1970. */
  static String read(String sql, Settings settings) throws PgFailed {
    if (!sql.contains(CAST)) {
      return sql;
    }
    Matcher timestamp = TIMESTAMP.matcher(sql);
    if (!timestamp.find()) {
      return sql;
    }
    try {
      ZoneId zone = ZoneId.of(settings.get("TimeZone"));
      return timestamp.replaceAll(
          found ->
              Long.toString(
                  LocalDateTime.parse(found.group(1) + "T" + found.group(2))
                      .atZone(zone)
                      .toEpochSecond()));
    } catch (DateTimeException e) {
      throw new PgFailed("22007", "invalid input for a timestamp: " + e.getMessage());
    }
  }
}
