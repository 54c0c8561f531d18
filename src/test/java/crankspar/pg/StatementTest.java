package crankspar.pg;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A statement goes on as it came, but for the time that is left. */
class StatementTest {
  private static final String READ =
      "/* id=7, c=own ,d=480,cluster=2 */ SELECT val WHERE uid = 'u'";

  @Test
  void onlyTheTimeLeftIsChanged() throws Exception {
    Statement statement = Statement.parse(READ);
    assertThat(statement.withTimeLeft(33.4)).isEqualTo(READ.replace("d=480", "d=33"));
    assertThat(statement.withTimeLeft(-5)).isEqualTo(READ.replace("d=480", "d=1"));
    assertThat(statement.names())
        .containsExactly(
            java.util.Map.entry("id", "7"),
            java.util.Map.entry("c", "own"),
            java.util.Map.entry("d", "480"),
            java.util.Map.entry("cluster", "2"));
    String untimed = "/* id=7,c=own */ SELECT 1";
    assertThat(Statement.parse(untimed).withTimeLeft(9)).isEqualTo(untimed);
  }

  /** Guards against a comment whose names take twenty times its length in memory (review/6). */
  @Test
  void aCommentHasABoundedNumberOfNames() throws Exception {
    var names = new StringBuilder("a=b");
    for (int i = 1; i < StatementComment.NAMES_MOST; i++) {
      names
          .append(",x")
          .append("abcdefgh".charAt(i / 8))
          .append("abcdefgh".charAt(i % 8))
          .append("=1");
    }
    assertThat(Statement.parse("/* " + names + " */ SELECT 1").names())
        .hasSize(StatementComment.NAMES_MOST);
    assertThatThrownBy(() -> Statement.parse("/* " + names + ",one=more */ SELECT 1"))
        .isInstanceOf(Statement.Malformed.class)
        .hasMessageContaining("more than 64 names");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "a", "=b", "a=", "a=b,", ",a=b", "A=b", "a=b c", "a=b,a=c", "a*=b", "a='b'"})
  void whatIsNoListOfNamesAndValuesIsRefused(String comment) {
    assertThatThrownBy(() -> Statement.parse("/*" + comment + "*/ SELECT 1"))
        .isInstanceOf(Statement.Malformed.class);
  }

  /** Guards against keys of any length that are remembered for each session. */
  @Test
  void aVeryLongKeyIsNotKeptWhole() throws Exception {
    String one = "x".repeat(60_000);
    String key = Statement.parse("/* id=1 */ SELECT '" + one + "'").key();
    String other = Statement.parse("/* id=1 */ SELECT '" + one + "y'").key();
    assertThat(key).hasSizeLessThan(300).isNotEqualTo(other);
    assertThat(Statement.parse(READ).key()).isEqualTo("u");
  }
}
