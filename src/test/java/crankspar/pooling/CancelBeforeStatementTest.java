package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.daemon.DaemonLoop;
import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against cancel requests that are lost when the event loop is late. A statement and its
 * cancel request, on another connection, are then read in the same pass. As statements are started
 * only after all input is read, the cancel once found no statement to stop, and the statement ran.
 */
class CancelBeforeStatementTest {
  private static final long ARRIVAL_MS = 50;

  private Stand stand;
  private PgWire client;

  @BeforeEach
  void start() throws Exception {
    stand = new Stand(0, "databases { db { places { most = 1 } } }");
    client = stand.wire();
    assertThat(client.ask("SELECT 1")).startsWith("T D:1"); // a server connection is open
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    stand.close();
  }

  private void sendAndCancel(byte[]... messages) throws Exception {
    try (PgWire other = new PgWire(stand.address())) {
      try (DaemonLoop pausedLoop = DaemonLoop.hold(stand.daemon)) {
        for (byte[] message : messages) {
          client.bytes(message);
        }
        other.bytes(Frame.cancel(client.process, client.secret));
        Thread.sleep(ARRIVAL_MS);
      }
      assertThat(other.ends()).isTrue();
    }
  }

  private long executions(String statement) {
    return stand.recording.begun(sql -> sql.contains(statement));
  }

  @Test
  void theStatementDoesNotRun() throws Exception {
    sendAndCancel(Frame.query("SELECT 41").wire());
    assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:57014 Z:I");
    assertThat(client.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
    assertThat(executions("SELECT 41")).isZero();
  }

  @Test
  void onlyTheFirstQueuedStatementIsCancelled() throws Exception {
    sendAndCancel(Frame.query("SELECT 41").wire(), Frame.query("SELECT 42").wire());
    assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:57014 Z:I");
    assertThat(PgWire.brief(client.untilReady())).isEqualTo("T D:42 C:SELECT 1 Z:I");
    assertThat(executions("SELECT 41")).isZero();
  }

  @Test
  void aCancelWithoutAStatementHasNoEffect() throws Exception {
    sendAndCancel(Frame.SYNC.wire());
    assertThat(PgWire.brief(client.untilReady())).isEqualTo("Z:I");
    assertThat(client.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
  }

  @Test
  void inATransactionTheCancelFollowsItsStatementToTheServer() throws Exception {
    assertThat(client.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
    sendAndCancel(Frame.query("SELECT pg_sleep(5)").wire());
    assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:57014 Z:E");
  }

  @Test
  void aClientThatLeavesInATransactionHasNothingToCancel() throws Exception {
    assertThat(client.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
    sendAndCancel(Frame.TERMINATE.wire());
    assertThat(client.ends()).isTrue();
    try (PgWire next = stand.wire()) {
      assertThat(next.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
    }
  }
}
