package crankspar.pg;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.ScriptedPeer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A client writes many statements at once: each has its own time, from when it was written,
 * whatever stands before it.
 */
class PipelineTest {
  private static final int SHORT = 500;
  private static final int USUAL = 4000;

  private final CountDownLatch cue = new CountDownLatch(1);
  private PgDoor door;
  private ScriptedPeer server;
  private Pg client;

  /** One database; the statement {@code first} is answered on the cue. */
  @BeforeEach
  void start() throws Exception {
    door = new PgDoor();
    server =
        door.server(
            w ->
                Pg.serve(
                    w,
                    (pg, sql) -> {
                      if (!sql.startsWith("SHOW")) {
                        server.saw(sql);
                      }
                      if (sql.contains("id=first")) {
                        cue.await();
                      }
                      pg.row("v", System.currentTimeMillis());
                    }));
    door.members(server);
    client = door.client().pg();
  }

  @AfterEach
  void stop() throws Exception {
    cue.countDown();
    door.close();
  }

  private static PgMessage.Query read(String id, int within) {
    return new PgMessage.Query(
        "/* id="
            + id
            + ",c="
            + (within == SHORT ? "scoreboard" : "season-report")
            + ",d="
            + within
            + ",cluster=2 */ SELECT 1");
  }

  /**
   * Behind others beyond its time it is answered at once and never sent: its client may have left,
   * and no longer waits.
   */
  @Test
  void whoseTimeRanOutBehindAnotherIsAnsweredAtOnceAndNotSent() throws Exception {
    client.send(read("first", USUAL), read("late", SHORT), read("last", USUAL));
    assertThat(server.next()).contains("id=first");
    TimeUnit.MILLISECONDS.sleep(SHORT + 100); // the statement's own time
    cue.countDown();
    assertThat(client.answer().get(1)).isInstanceOf(PgMessage.DataRow.class);
    long turn = System.nanoTime();
    assertThat(client.answer().get(0)).isInstanceOf(PgMessage.Report.class);
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - turn))
        .as("from its turn to its answer")
        .isLessThan(SHORT);
    assertThat(client.answer().get(1)).isInstanceOf(PgMessage.DataRow.class);
    assertThat(server.next()).contains("id=last");
  }

  /** What a database is told that the pooler waits is what is left of the client's own time. */
  @Test
  void aStatementThatWaitedItsTurnHasOnlyTheRestOfItsTime() throws Exception {
    client.send(read("first", USUAL), read("next", USUAL));
    assertThat(server.next()).contains("id=first");
    TimeUnit.MILLISECONDS.sleep(SHORT);
    cue.countDown();
    client.answer();
    client.answer();
    String told = server.next();
    assertThat(told).contains("id=next");
    assertThat(Integer.parseInt(told.replaceAll(".*[, ]d=(\\d+).*", "$1")))
        .isLessThanOrEqualTo(USUAL - SHORT);
  }
}
