package crankspar.pg;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.ScriptedPeer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A client says Terminate while answers still wait to leave: they leave, and not for longer than a
 * bound.
 */
class LastBytesTest {
  /** More than two sockets hold, and less than a client may leave unread. */
  private static final int ANSWERS = 60;

  private static final int SIZE = 60_000;

  private PgDoor door;
  private PgDoor.Client client;

  @BeforeEach
  void start() throws Exception {
    door = new PgDoor();
    String value = "x".repeat(SIZE);
    ScriptedPeer server =
        door.server(w -> Pg.serve(w, (pg, sql) -> pg.row(value, System.currentTimeMillis())));
    door.members(server);
    client = door.tightClient();
    var all = new PgMessage[ANSWERS];
    for (int i = 0; i < ANSWERS; i++) {
      all[i] = new PgMessage.Query("/* id=r" + i + ",c=season-report,d=8000,cluster=2 */ SELECT 1");
    }
    client.pg().send(all);
    door.counted("answered_served", ANSWERS);
    client.wire().send(new byte[] {'X', 0, 0, 0, 4});
    door.counted("client_terminated", 1);
  }

  @AfterEach
  void stop() throws Exception {
    door.close();
  }

  @Test
  void whatWasAnsweredBeforeATerminateStillLeaves() throws Exception {
    for (int i = 0; i < ANSWERS; i++) {
      assertThat(client.pg().answer().get(1))
          .as("answer " + i)
          .isInstanceOf(PgMessage.DataRow.class);
    }
    assertThat(client.wire().ends()).isTrue();
  }

  /** It takes nothing: its connection and its place would be kept for ever. */
  @Test
  void whoTakesNothingAfterATerminateIsLetGo() throws Exception {
    assertThat(door.held()).isTrue();
    long began = System.nanoTime();
    while (door.held()) {
      assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - began)).isLessThan(15);
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began))
        .as("it had its time to read")
        .isGreaterThan(2000);
  }
}
