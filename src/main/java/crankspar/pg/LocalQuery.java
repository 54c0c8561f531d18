package crankspar.pg;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Queries that the pooler answers by itself: they ask nothing of a database. */
final class LocalQuery {
  private static final Set<String> SETTINGS = Set.of("SET", "RESET", "DISCARD");
  private static final int WORD_MOST = 7;
  private static final String COUNTERS = "SHOW counters";

  private LocalQuery() {}

  /** The whole answer, or null where the query is for a database. */
  static byte[] answer(String sql, ClientDesk desk) {
    String bare = sql.strip();
    PgEncoder answer = answerTo(bare, desk);
    return answer == null ? null : answer.add(new PgMessage.ReadyForQuery()).bytes();
  }

  private static PgEncoder answerTo(String bare, ClientDesk desk) {
    if (desk.leaving() && bare.isEmpty()) {
      return new PgEncoder().add(PgMessage.Report.error("ERROR", "57P03", "draining"));
    }
    if (bare.isEmpty() || bare.equals(";")) {
      return new PgEncoder().add(new PgMessage.EmptyQueryResponse());
    }
    String word = firstWord(bare).toUpperCase(Locale.ROOT);
    if (SETTINGS.contains(word)) {
      return new PgEncoder().add(new PgMessage.CommandComplete(word));
    }
    return bare.equalsIgnoreCase(COUNTERS) ? counters(desk) : null;
  }

  /** No longer than a word of {@link #SETTINGS} has to be: statements may be of a megabyte. */
  private static String firstWord(String bare) {
    int end = 0;
    while (end < bare.length()
        && end <= WORD_MOST
        && !Character.isWhitespace(bare.charAt(end))
        && bare.charAt(end) != ';') {
      end++;
    }
    return bare.substring(0, end);
  }

  private static PgEncoder counters(ClientDesk desk) {
    var answer = new PgEncoder().add(PgEncoder.textColumns("name", "value"));
    desk.counters()
        .all()
        .forEach(
            (name, count) ->
                answer.add(
                    new PgMessage.DataRow(
                        List.of(
                            name.getBytes(StandardCharsets.UTF_8),
                            Long.toString(count).getBytes(StandardCharsets.US_ASCII)))));
    return answer.add(new PgMessage.CommandComplete("SHOW"));
  }
}
