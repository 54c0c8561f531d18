package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.Fault;
import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A connection that breaks behind a COMMIT whose answer its client has not heard. */
class UnknownOutcomeTest extends HardCasesFixture {
  private static final String CLAIM = "INSERT INTO claims VALUES (1)";

  /** Cuts a connection in place of the answer to a message of this type that has this tag. */
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

  /** Guards against "no effect" for a COMMIT that other statements of its text stand behind. */
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

  /** Guards against "no effect" for a COMMIT that its client has sent with a Flush. */
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
}
