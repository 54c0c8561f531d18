package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * COPY FROM STDIN by drivers that always send a Sync right after Execute. The server ignores that
 * Sync as part of the COPY data, and the batch continues up to the Sync after the data.
 */
class CopyTest extends HardCasesFixture {
  private static final String COPY = "COPY claims FROM STDIN";
  private static final Frame DONE = Frame.body().as('c');
  private static final Frame FAIL = Frame.body().text("no").as('f');

  private static void begin(PgWire client) throws Exception {
    client.send(PgWire.parse("", COPY), PgWire.bind(""), PgWire.execute(), PgWire.sync());
    assertThat(PgWire.brief(List.of(client.next(), client.next(), client.next())))
        .isEqualTo("1 2 G");
  }

  private static long copies(Stand stand) {
    return stand.recording.committed(q -> q.equals(COPY));
  }

  /** Guards against an endless wait for the reply to the Sync that the server ignores. */
  @Test
  void aSyncSentWithTheExecuteOfACopyHasNoAnswer() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      begin(client);
      client.send(PgWire.copyData("1\n"), PgWire.sync(), PgWire.copyData("2\n"));
      client.send(DONE, PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("C:COPY 2 Z:I");
      assertThat(copies(stand)).isEqualTo(1);
      assertThat(other.ask("SELECT 1")).isEqualTo("T D:1 C:SELECT 1 Z:I");
      assertThat(stand.recording.connections.get()).isEqualTo(1);
    }
  }

  /** Guards against a failed COPY's reply that is delivered to the connection's next client. */
  @Test
  void aCopyThatFailsIsAnsweredOnceAndLeavesNothing() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      begin(client);
      client.send(PgWire.copyData("1\n"), FAIL, PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:57014 Z:I");
      assertThat(other.ask("SELECT 1")).isEqualTo("T D:1 C:SELECT 1 Z:I");
      assertThat(client.ask("SELECT 2")).isEqualTo("T D:2 C:SELECT 1 Z:I");
      assertThat(copies(stand)).isZero();
    }
  }

  /**
   * A COPY that fails before the server has read the Sync sent with it: the server answers that
   * Sync.
   */
  @Test
  void aCopyThatFailsAtOnceIsAnsweredByTheSyncSentWithIt() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      client.send(
          PgWire.parse("", "COPY a_view FROM STDIN"),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 2 G E:42809 Z:I");
      client.send(FAIL, PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("Z:I");
      assertThat(other.ask("SELECT 1")).isEqualTo("T D:1 C:SELECT 1 Z:I");
    }
  }

  /**
   * Guards against COPY data that arrives before the server's CopyInResponse and is then never
   * forwarded, because nothing more arrives to trigger it.
   */
  @Test
  void dataSentBeforeTheServerHasAskedForItGoesOn() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire()) {
      client.send(Frame.query(COPY), PgWire.copyData("1\n"), DONE);
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("G C:COPY 1 Z:I");
      client.send(
          PgWire.parse("", COPY),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.sync(),
          PgWire.copyData("1\n"),
          DONE,
          PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 2 G C:COPY 1 Z:I");
      assertThat(copies(stand)).isEqualTo(2);
    }
  }

  /** Guards against COPY data that is dropped because the server has not started the COPY yet. */
  @Test
  void dataInOneBatchWithItsExecuteGoesOn() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire()) {
      Frame[] batch = {
        PgWire.parse("", COPY),
        PgWire.bind(""),
        PgWire.execute(),
        PgWire.copyData("1\n"),
        DONE,
        PgWire.sync()
      };
      client.send(batch);
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 2 G C:COPY 1 Z:I");
      assertThat(copies(stand)).isEqualTo(1);
    }
  }

  /** Guards against a COPY that is committed by the next client's Sync. */
  @Test
  void aCopyWhoseClientLeavesTakesNoEffect() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire other = stand.wire()) {
      PgWire client = stand.wire();
      begin(client);
      client.send(PgWire.copyData("1\n"), DONE, Frame.body().as('H'));
      assertThat(PgWire.brief(List.of(client.next()))).isEqualTo("C:COPY 1");
      client.close();
      other.send(PgWire.parse("", "SELECT 1"), PgWire.bind(""), PgWire.execute(), PgWire.sync());
      assertThat(PgWire.brief(other.untilReady())).isEqualTo("1 2 D:1 C:SELECT 1 Z:I");
      assertThat(copies(stand)).isZero();
    }
  }
}
