package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A message that the pooler rejects within a batch aborts the batch as a server error would. */
class RefusedBatchTest extends HardCasesFixture {
  private static final String CLAIM = "INSERT INTO claims VALUES (1)";
  private static final String SETUP = "pins { listen = refuse }\n limits { statements = 1 }\n";

  /** Guards against a statement that takes effect although its batch was answered with an error. */
  @ParameterizedTest
  @CsvSource({"LISTEN news, 0A000", "SELECT 2, 53400"})
  void whatRanBeforeARefusalInItsBatchTakesNoEffect(String refused, String code) throws Exception {
    try (var stand = new Stand(0, SETUP + places(1));
        PgWire client = stand.wire()) {
      prepare(client, "a", "SELECT 1");
      client.send(
          PgWire.parse("", CLAIM),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.parse("b", refused),
          PgWire.bind("b"),
          PgWire.sync());
      assertThat(PgWire.brief(client.untilReady()))
          .isEqualTo("1 2 C:INSERT 0 1 E:" + code + " Z:I");
      assertThat(client.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
      assertThat(stand.recording.committed(q -> q.equals(CLAIM))).isZero();
    }
  }

  /** The same with a rejected simple query after messages without a Sync. */
  @Test
  void aRefusedQueryUndoesTheBatchInFrontOfIt() throws Exception {
    try (var stand = new Stand(0, SETUP + places(1));
        PgWire client = stand.wire()) {
      client.send(
          PgWire.parse("", CLAIM), PgWire.bind(""), PgWire.execute(), Frame.query("LISTEN news"));
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 2 C:INSERT 0 1 E:0A000 Z:I");
      assertThat(client.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
      assertThat(stand.recording.committed(q -> q.equals(CLAIM))).isZero();
    }
  }
}
