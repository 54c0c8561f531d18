package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import crankspar.lab.Fault;
import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The server connection is lost after a COMMIT whose reply the client has not received. */
class UnknownOutcomeTest extends HardCasesFixture {
  private static final String CLAIM = "INSERT INTO claims VALUES (1)";

  /** Cuts the connection instead of sending the reply with this tag to a message of this type. */
  private static Fault cutBefore(char answered, String answer) {
    return new Fault() {
      @Override
      public Act answering(int connection, char type, String tag) {
        return type == answered && tag.equals(answer) ? Act.CUT : Act.NONE;
      }
    };
  }

  private static long claims(Stand stand) {
    return stand.recording.committed(q -> q.strip().equals(CLAIM));
  }

  /**
   * Guards against an error that claims "no effect" although the query text contained a COMMIT
   * followed by other statements.
   */
  @Test
  void aCommitAmongStatementsOfOneTextMayHaveTakenEffect() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire()) {
      stand.primary.fault(cutBefore('Z', "I"));
      String text = "BEGIN; " + CLAIM + "; COMMIT; SELECT repeat('x', 20000)";
      assertThat(client.ask(text)).startsWith("E:08007");
      assertThat(claims(stand)).isEqualTo(1);
    }
  }

  /**
   * Guards against an error that claims "no effect" although a COMMIT was sent with a Flush, before
   * its Sync.
   */
  @Test
  void aCommitBeforeItsSyncMayHaveTakenEffect() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire()) {
      client.ask("BEGIN");
      client.ask(CLAIM);
      stand.primary.fault(cutBefore('E', "COMMIT"));
      client.send(
          PgWire.parse("", "COMMIT"), PgWire.bind(""), PgWire.execute(), Frame.body().as('H'));
      Frame last;
      do {
        last = client.next();
      } while (last.type() != 'E');
      assertThat(PgWire.brief(List.of(last))).isEqualTo("E:08007");
      assertThat(claims(stand)).isEqualTo(1);
    }
  }

  /**
   * Guards against a write that runs twice where its class is for requests with keys, which a
   * pooled statement has none of.
   */
  @Test
  void aWriteThatMayHaveTakenEffectIsNotSentAgainThoughItsClassHasKeys() throws Exception {
    String keyed = TestSettings.JSON.replace("side_effect", "token");
    try (var stand = new Stand(0, places(1), s -> {}, keyed);
        PgWire client = stand.wire()) {
      stand.primary.fault(cutBefore('Z', "I"));
      assertThat(client.ask(CLAIM)).startsWith("E:08007");
      assertThat(claims(stand)).isEqualTo(1);
    }
  }
}
