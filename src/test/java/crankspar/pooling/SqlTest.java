package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against misclassified statements, such as a write taken for a read or a SET that goes
 * unnoticed.
 */
class SqlTest {
  private static Statement only(String sql) {
    List<Statement> all = Sql.split(sql);
    assertThat(all).hasSize(1);
    return all.get(0);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "SELECT 1 | READ",
        "  /* c=x */ select * from t | READ",
        "VALUES (1) | READ",
        "SHOW timezone | READ",
        "TABLE t | READ",
        "(SELECT 1) UNION (SELECT 2) | READ",
        "WITH a AS (SELECT 1) SELECT * FROM a | READ",
        "WITH a AS (INSERT INTO t VALUES (1) RETURNING x) SELECT * FROM a | WRITE",
        "WITH a AS (DELETE FROM t) SELECT 1 | WRITE",
        "SELECT * FROM t FOR UPDATE | WRITE",
        "SELECT * FROM t FOR NO KEY UPDATE | WRITE",
        "SELECT * FROM t FOR SHARE | WRITE",
        "SELECT nextval('s') | WRITE",
        "SELECT x INTO y FROM t | WRITE",
        "SELECT 'insert into', \"update\" FROM t | READ",
        "SELECT a FROM t -- for update | READ",
        "EXPLAIN SELECT 1 | READ",
        "EXPLAIN ANALYZE DELETE FROM t | WRITE",
        "INSERT INTO t VALUES (1) | WRITE",
        "CALL p() | WRITE",
        "DO $$ BEGIN END $$ | WRITE",
        "TRUNCATE t | WRITE",
        "COPY t FROM STDIN | WRITE",
        "BEGIN | BEGIN",
        "START TRANSACTION ISOLATION LEVEL SERIALIZABLE | BEGIN",
        "commit work | COMMIT",
        "END | COMMIT",
        "ABORT | ROLLBACK",
        "ROLLBACK | ROLLBACK",
        "ROLLBACK TO SAVEPOINT a | ROLLBACK_TO",
        "ROLLBACK PREPARED 'x' | WRITE",
        "COMMIT PREPARED 'x' | WRITE",
        "PREPARE TRANSACTION 'x' | PREPARE_TRANSACTION",
        "SAVEPOINT a | SAVEPOINT",
        "RELEASE a | RELEASE",
        "SET LOCAL x TO 1 | SET_LOCAL",
        "SET TRANSACTION READ ONLY | SET_LOCAL",
        "SET CONSTRAINTS ALL DEFERRED | SET_LOCAL",
        "RESET ALL | RESET_ALL",
        "SET x TO DEFAULT | RESET",
        "DISCARD ALL | DISCARD_ALL",
        "DISCARD TEMP | DISCARD_TEMP",
        "DISCARD PLANS | DISCARD_PLANS",
        "PREPARE p AS SELECT 1 | PREPARE",
        "EXECUTE p(1) | EXECUTE",
        "DEALLOCATE p | DEALLOCATE",
        "DEALLOCATE PREPARE ALL | DEALLOCATE_ALL",
        "LISTEN c | LISTEN",
        "UNLISTEN * | UNLISTEN_ALL",
        "UNLISTEN c | UNLISTEN",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1 | DECLARE_HOLD",
        "DECLARE c CURSOR FOR SELECT 1 | READ",
        "CLOSE ALL | CLOSE_ALL",
        "CREATE TEMP TABLE t (a int) | CREATE_TEMP",
        "CREATE TEMPORARY TABLE t (a int) ON COMMIT DROP | WRITE",
        "CREATE TABLE t (a int) | WRITE",
        "SELECT 1 INTO TEMP t | CREATE_TEMP",
        "SELECT pg_advisory_lock(7) | LOCK_SESSION",
        "SELECT pg_advisory_xact_lock(7) | WRITE",
        "SELECT pg_advisory_unlock(7) | UNLOCK_SESSION",
        "SELECT pg_advisory_unlock_all() | UNLOCK_ALL",
        "LOAD 'x' | LOAD",
        "SELECT set_config('a.b', x, false) | SET_UNKNOWN",
        "SELECT set_config('timezone', 'UTC', true) | SET_LOCAL"
      })
  void statementKind(String sql, Kind kind) {
    assertThat(only(sql).kind()).isEqualTo(kind);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "SET TIME ZONE 'UTC' | timezone | 'UTC'",
        "set session timezone = 'a b' | timezone | 'a b'",
        "SET search_path TO a, \"B c\" | search_path | a, \"B c\"",
        "SET NAMES 'latin1' | client_encoding | 'latin1'",
        "SET my.option = on | my.option | on",
        "SET SESSION AUTHORIZATION x | session_authorization | x",
        "SET ROLE x | role | x",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY | default_transaction_read_only | 'on'",
        "SET TIME ZONE INTERVAL '-08:00' HOUR TO MINUTE | timezone | INTERVAL '-08:00' HOUR TO MINUTE",
        "SELECT set_config('TimeZone', 'UTC', false) | timezone | 'UTC'"
      })
  void nameAndValueOfSet(String sql, String name, String value) {
    Statement s = only(sql);
    assertThat(s.kind()).isEqualTo(Kind.SET);
    assertThat(s.name()).isEqualTo(name);
    assertThat(s.value()).isEqualTo(value);
  }

  @Test
  void statementsEndOutsideQuotesAndComments() {
    assertThat(
            texts(
                "SELECT ';'; SELECT E'\\';'; SELECT $a$;$a$; SELECT \"a;b\"; /* ; /* ; */ */ SELECT 1; -- ;\n;"))
        .containsExactly(
            "SELECT ';'", "SELECT E'\\';'", "SELECT $a$;$a$", "SELECT \"a;b\"", "SELECT 1");
    assertThat(Sql.split(" ; /* only */ ;-- a comment")).isEmpty();
    assertThat(only("SELECT $1 || $2").kind()).isEqualTo(Kind.READ);
    assertThat(only("BEGIN ISOLATION LEVEL READ COMMITTED READ ONLY").readOnly()).isTrue();
    assertThat(Sql.literal("a'b\\c")).isEqualTo(" E'a''b\\\\c'");
  }

  @Property(seed = "20261201", tries = 2000)
  void anyTextIsParsedWithoutFailing(
      @ForAll
          @StringLength(max = 80)
          @Chars({
            'S', 'E', 'T', ' ', '\'', '"', '$', ';', '/', '*', '-', '\n', '(', ')', ',', 'a', '.',
            '\\', '=', '1'
          })
          String sql) {
    assertThat(Sql.split(sql)).hasSize(texts(sql).size());
    for (String text : texts(sql)) {
      assertThat(sql).contains(text);
    }
  }

  /** The text of each statement, as its tokens delimit it. */
  private static List<String> texts(String sql) {
    var texts = new ArrayList<String>();
    var tokens = new SqlTokens(sql);
    while (tokens.nextStatement()) {
      if (!tokens.isEmpty()) {
        texts.add(tokens.text());
      }
    }
    return texts;
  }

  @Test
  @Timeout(value = 5, unit = TimeUnit.SECONDS)
  void parsingTimeIsLinearInTextLength() {
    assertThat(Sql.split("SELECT 1;".repeat(100_000))).hasSize(100_000);
    assertThat(Sql.split("/*".repeat(300_000))).isEmpty();
    assertThat(Sql.split("$a".repeat(300_000))).hasSize(1);
    assertThat(Sql.split("'".repeat(1 << 20))).hasSize(1);
  }
}
