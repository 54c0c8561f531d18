package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.pooling.ConnectionReset.Outcome;
import crankspar.pooling.ConnectionReset.Query;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that goes to the next client though a cancel has stopped its reset
 * (review/10), against a model server that keeps what it was not made to drop.
 */
class ConnectionResetTest {
  private static final Frame CANCELED = Frame.error("ERROR", "57014", "canceled", null);
  private static final Frame OTHER_ERROR = Frame.error("ERROR", "XX000", "broken", null);

  /** A server with an open block and a temporary table, which cancels may hit at any time. */
  private static final class ModelServer {
    boolean inBlock = true;
    boolean holdsTable = true;
    boolean signal;
    Query running;

    /** Runs the query and returns whether a cancel has stopped it. */
    boolean run() {
      if (signal) {
        signal = false;
        return true;
      }
      inBlock &= running != Query.ROLLBACK;
      holdsTable &= running != Query.DISCARD_ALL;
      return false;
    }
  }

  private static void play(long seed) throws Exception {
    var random = new Random(seed);
    var reset = new ConnectionReset();
    var server = new ModelServer();
    int cancels = random.nextInt(5);
    for (int i = 0; i < cancels; i++) {
      reset.cancelSent();
    }
    reset.begin(true);
    Outcome outcome = Outcome.CONTINUE;
    for (int step = 0;
        step < 200 && outcome != Outcome.CLEAN && outcome != Outcome.FAILED;
        step++) {
      Query next = reset.next();
      if (next != null) {
        assertThat(server.running).as("one at a time, seed " + seed).isNull();
        server.running = next;
      }
      if (cancels > 0 && random.nextBoolean()) {
        cancels--;
        server.signal |= random.nextInt(4) > 0;
        reset.cancelFinished(true);
      } else if (server.running != null && random.nextBoolean()) {
        boolean stopped = server.run();
        if (stopped) {
          assertThat(reset.onMessage(CANCELED)).isEqualTo(Outcome.IN_PROGRESS);
        }
        server.running = null;
        outcome = reset.onMessage(Frame.ready(server.inBlock ? 'E' : 'I'));
      }
    }
    assertThat(outcome).as("seed " + seed).isEqualTo(Outcome.CLEAN);
    assertThat(server.inBlock || server.holdsTable || server.signal || cancels > 0)
        .as("something of the last client is left, seed " + seed)
        .isFalse();
    assertThat(reset.unsettledCancels()).isZero();
  }

  @Test
  void aConnectionIsCleanOnlyOnceEachQueryIsDoneAndNoCancelCanCome() throws Exception {
    for (long seed = 1; seed <= Long.getLong("reset.seeds", 5000); seed++) {
      play(seed);
    }
  }

  @Test
  void aResetThatIsStoppedIsRepeatedAndNotWithoutEnd() throws Exception {
    var reset = new ConnectionReset();
    reset.begin(true);
    assertThat(reset.next()).isEqualTo(Query.ROLLBACK);
    assertThat(reset.onMessage(Frame.ready('I'))).isEqualTo(Outcome.CONTINUE);
    Outcome outcome = Outcome.CONTINUE;
    int sent = 0;
    while (outcome == Outcome.CONTINUE) {
      assertThat(reset.next()).isEqualTo(Query.DISCARD_ALL);
      sent++;
      reset.onMessage(CANCELED);
      outcome = reset.onMessage(Frame.ready('I'));
      assertThat(reset.completed()).as("its effect is not noted").isNull();
    }
    assertThat(outcome).isEqualTo(Outcome.FAILED);
    assertThat(sent).isBetween(3, 10);
  }

  @Test
  void anyOtherErrorFailsTheReset() throws Exception {
    var reset = new ConnectionReset();
    reset.begin(false);
    reset.next();
    assertThat(reset.onMessage(OTHER_ERROR)).isEqualTo(Outcome.FAILED);
  }
}
