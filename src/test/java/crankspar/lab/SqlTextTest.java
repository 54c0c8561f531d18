package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the stand-in reads a statement. */
class SqlTextTest {
  /** Guards against a stand-in that reads a long comment again and again, as part of a value. */
  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '|',
      value = {
        "SELECT 1 -- a, SELECT 1",
        "/* a */ SELECT /* ' */ 1, SELECT   1",
        "SELECT '--a' /* b */, SELECT '--a'",
        "SELECT $b$/* a */$b$, SELECT $b$/* a */$b$"
      })
  void aStatementIsReadWithoutItsComments(String sql, String bare) {
    assertThat(SqlText.bare(sql)).isEqualTo(bare);
  }
}
