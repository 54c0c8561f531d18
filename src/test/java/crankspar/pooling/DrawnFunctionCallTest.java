package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Drawn texts that call a function which may write, and drawn texts that call none. Guards against
 * a session's read that misses what its own statement wrote, and against such a statement that is
 * sent twice (review/9). By hand with more: -Dcalls.texts=COUNT -Dcalls.seed=SEED.
 */
class DrawnFunctionCallTest {
  private static final List<String> WRITING =
      List.of(
          "claim_trade",
          "ours.lower",
          "\"claim_trade\"",
          "ours.\"lower\"",
          "nextval",
          "a1$b",
          "ours.left");
  private static final List<String> READING = List.of("lower", "COUNT", "md5", "coalesce");
  private static final List<String> GAPS = List.of("", " ", "/* ) */", "\n", " -- ;\n", "/*/**/*/");
  private static final List<String> ARGUMENTS =
      List.of("'a'", "')'", "$$;($$", "E'\\''", "1", "''", "$a$'$a$");
  private static final List<String> BEFORE = List.of("", "SELECT 1; ", "SELECT ';'; ", "/* ; */ ");
  private static final List<String> AFTER = List.of("", ";", "; SELECT 1", " -- ;", "; SELECT '('");

  /** Where a statement may call a function, and its text shows no write by another word. */
  private static final List<String> STATEMENTS =
      List.of(
          "SELECT %s",
          "SELECT 1, %s",
          "SELECT * FROM %s AS a",
          "SELECT (SELECT %s)",
          "WITH a AS (SELECT %s) SELECT * FROM a",
          "VALUES (%s)",
          "(SELECT %s)",
          "SELECT CASE WHEN true THEN %s END",
          "SELECT 1 WHERE EXISTS (SELECT %s)",
          "SELECT 1 LIMIT %s",
          "SELECT set_config('a.b', 'c', true), %s",
          "SELECT %s, set_config('a.b', 'c', false)",
          "SELECT set_config('a.b', %s, true)",
          "SELECT set_config('a.b', 'c', true) FROM (SELECT %s) a",
          "DECLARE a CURSOR FOR SELECT %s");

  private static final List<String> EXECUTING =
      List.of(
          "EXPLAIN ANALYZE SELECT %s",
          "EXPLAIN ANALYSE SELECT %s",
          "EXPLAIN (COSTS off, ANALYSE) SELECT %s",
          "COPY (SELECT %s) TO STDOUT",
          "DECLARE a CURSOR WITH HOLD FOR SELECT %s",
          "SELECT pg_advisory_lock(1), %s",
          "WITH a AS (INSERT INTO t VALUES (1)) SELECT set_config('a.b', 'c', true), %s",
          "SELECT %s INTO TEMP a",
          "CALL %s");

  private final Random random = new Random(Long.getLong("calls.seed", 1));

  private String one(List<String> of) {
    return of.get(random.nextInt(of.size()));
  }

  private String call(List<String> names) {
    return one(names) + one(GAPS) + "(" + one(GAPS) + one(ARGUMENTS) + one(GAPS) + ")";
  }

  private String text(List<String> statements, String call) {
    String statement = one(statements);
    String drawn =
        switch (random.nextInt(3)) {
          case 0 -> statement.toLowerCase(Locale.ROOT);
          case 1 -> statement.replace(" ", " " + one(GAPS) + " ");
          default -> statement;
        };
    return one(BEFORE) + drawn.replace("%S", "%s").replace("%s", call) + one(AFTER);
  }

  private static Progress sent(String text, boolean writeClass) {
    var progress = new Progress(writeClass);
    progress.beforeSend(Sql.split(text), true);
    progress.batchSent();
    return progress;
  }

  @Test
  void whatMayHaveWrittenIsMarkedAndNotSentAgain() {
    for (long left = Long.getLong("calls.texts", 20_000); left > 0; left--) {
      boolean shown = random.nextInt(3) == 0;
      String text = text(shown ? EXECUTING : STATEMENTS, call(WRITING));
      for (boolean writeClass : new boolean[] {true, false}) {
        assertThat(sent(text, writeClass).mayHaveWritten(false)).as(text).isTrue();
      }
      assertThat(sent(text, true).outcome()).as(text).isEqualTo(Progress.Outcome.UNKNOWN);
    }
  }

  /** Guards against reads that all go to the primary. */
  @Test
  void whatOnlyReadsLeavesNoMark() {
    for (long left = Long.getLong("calls.texts", 20_000); left > 0; left--) {
      String text = text(STATEMENTS.subList(0, 12), call(READING));
      assertThat(sent(text, false).mayHaveWritten(false)).as(text).isFalse();
    }
  }
}
