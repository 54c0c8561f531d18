package crankspar.pg;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.core.Ports;
import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A client that closes, terminates or cancels has gone: nothing is sent for it from then on. */
class GoneTest {
  /**
   * An attempt that begins later than this (ms) after its client left breaks the operators' rule.
   */
  private static final long BREAK = 100;

  private static final int BURST = 200;

  private final CountDownLatch cue = new CountDownLatch(1);
  private PgDoor door;

  @BeforeEach
  void start() throws Exception {
    door = new PgDoor();
  }

  @AfterEach
  void stop() throws Exception {
    cue.countDown();
    door.close();
  }

  private static PgMessage.Query write(String id) {
    return new PgMessage.Query(
        "/* id="
            + id
            + ",c=trade-claim,d=3000,cluster=2 */ INSERT INTO state (uid, val) VALUES ('u', 'v') RETURNING val");
  }

  private static byte[] cancel(int process, int secret) {
    return ByteBuffer.allocate(16)
        .putInt(16)
        .putInt(80877102)
        .putInt(process)
        .putInt(secret)
        .array();
  }

  private void cancels(int process, int secret) throws Exception {
    try (Wire wire = Wire.to(door.address)) {
      wire.send(cancel(process, secret));
      assertThat(wire.ends()).as("a cancel gets no answer").isTrue();
    }
  }

  private static String code(List<PgMessage> answer) {
    return ((PgMessage.Report) answer.get(0)).code();
  }

  /** Keys were all nought, and a cancel ended only the connection that brought it. */
  @Test
  void aCancelEndsTheRequestThatWaits() throws Exception {
    PgDoor.Client client = door.client();
    client.pg().send(write("a1")); // no member is known: it waits
    door.counted("taken", 1);
    cancels(client.key().process(), client.key().secret());
    assertThat(code(client.pg().answer())).isEqualTo("57014");
    var server = new ScriptedPeer[1];
    server[0] =
        door.server(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) -> {
                      server[0].saw(
                          sql.contains("a1")
                              ? "the one that was canceled"
                              : sql.contains("a2") ? "the next" : "a probe");
                      pg.row("v", System.currentTimeMillis());
                    }));
    door.members(server[0]);
    client.pg().send(write("a2"));
    assertThat(client.pg().answer()).hasSize(3);
    assertThat(server[0].next()).isEqualTo("the next");
    cancels(client.key().process(), client.key().secret()); // it is over: nothing happens
    assertThat(client.pg().ask("SET a = 1")).containsExactly(new PgMessage.CommandComplete("SET"));
  }

  /** Cancels of another process that were overwritten before they could be read. */
  private static final class LostCancels implements Ports.SharedCancels {
    final AtomicBoolean lost = new AtomicBoolean();

    @Override
    public void add(long key) {}

    @Override
    public boolean takeNew(LongConsumer told) {
      return !lost.compareAndSet(true, false);
    }
  }

  /**
   * Guards against a crowd's cancels at the other process of an upgrade: 132 of 800 ran 300 ms
   * after their cancel.
   */
  @Test
  void whatMayHaveBeenCanceledByALostCancelIsNotSent() throws Exception {
    var cancels = new LostCancels();
    door.share(cancels);
    PgDoor.Client client = door.client();
    client.pg().send(write("l1")); // no member is known: it waits
    door.counted("taken", 1);
    cancels.lost.set(true);
    door.counted("client_cancels_lost", 1);
    var server = new ScriptedPeer[1];
    server[0] =
        door.server(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) -> {
                      server[0].saw(sql.contains("l1") ? "l1" : sql.contains("l2") ? "l2" : "");
                      pg.row("v", System.currentTimeMillis());
                    }));
    door.members(server[0]);
    assertThat(client.pg().answer().get(0)).isInstanceOf(PgMessage.Report.class);
    client.pg().send(write("l2"));
    assertThat(client.pg().answer()).hasSize(3);
    assertThat(server[0].next()).as("what came after the loss").isEqualTo("l2");
  }

  /**
   * A read that is out is called off, and answered at once; a write that may have run says that
   * this is not known.
   */
  @Test
  void aCancelOfWhatIsOutIsAnsweredAtOnceAndSaysWhatIsKnown() throws Exception {
    var peer = new ScriptedPeer[1];
    peer[0] =
        door.server(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) -> {
                      if (!sql.startsWith("SHOW")) {
                        peer[0].saw("out");
                        cue.await();
                      }
                      pg.row("v", System.currentTimeMillis());
                    }));
    door.members(peer[0]);
    for (var e :
        Map.of(
                "57014",
                new PgMessage.Query("/* id=b1,c=waiver-check,d=2000,cluster=2 */ SELECT 1"),
                "08007",
                write("b2"))
            .entrySet()) {
      PgDoor.Client client = door.client();
      client.pg().send(e.getValue());
      assertThat(peer[0].next()).isEqualTo("out");
      long began = System.nanoTime();
      cancels(client.key().process(), client.key().secret());
      assertThat(code(client.pg().answer())).isEqualTo(e.getKey());
      assertThat(System.nanoTime() - began)
          .isLessThan(TimeUnit.MILLISECONDS.toNanos(1500)); // not at its deadline
    }
  }

  @Test
  void aCancelThatNamesNobodyDoesNothing() throws Exception {
    PgDoor.Client client = door.client();
    client.pg().send(write("c1"));
    door.counted("taken", 1);
    cancels(client.key().process(), client.key().secret() + 1);
    cancels(client.key().process() + 1, client.key().secret());
    cancels(0, 0);
    assertThat(door.count("client_cancels_unknown")).isEqualTo(3);
    assertThat(door.count("cancelled")).isZero();
    try (Wire wire = Wire.to(door.address)) { // a cancel with more or less than a key is none
      wire.send(ByteBuffer.allocate(12).putInt(12).putInt(80877102).putInt(1).array());
      assertThat(new Pg(wire, false).next()).isInstanceOf(PgMessage.Report.class);
    }
    assertThat(door.client().key()).as("no two are alike").isNotEqualTo(client.key());
  }

  /**
   * A Terminate stood in line behind the query in flight, and the client's connection was still
   * open: the query went on to another server.
   */
  @Test
  void aTerminateBehindAQueryEndsItBetweenTwoAttempts() throws Exception {
    var first = new ScriptedPeer[1];
    first[0] =
        door.server(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) -> {
                      if (sql.startsWith("SHOW")) {
                        pg.row("x", 0);
                        return;
                      }
                      first[0].saw("first");
                      cue.await(); // the client has terminated by now
                      pg.send(
                          PgMessage.Report.error("ERROR", "25006", "not a primary"),
                          new PgMessage.ParameterStatus("role", "replica"),
                          new PgMessage.ReadyForQuery());
                    }));
    var second = new ScriptedPeer[1];
    second[0] =
        door.server(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) -> {
                      second[0].saw(sql);
                      pg.row("v", System.currentTimeMillis());
                    }));
    door.members(first[0], second[0]);
    PgDoor.Client client = door.client();
    client.pg().send(write("d1"));
    assertThat(first[0].next()).isEqualTo("first");
    client.wire().send(new byte[] {'X', 0, 0, 0, 4}); // and it keeps its socket
    TimeUnit.MILLISECONDS.sleep(BREAK); // the rule's own time
    cue.countDown();
    door.counted(door.count("gone") > 0 ? "sent_cancelled" : "sent_miss", 1);
    TimeUnit.MILLISECONDS.sleep(BREAK);
    assertThat(second[0].left()).as("attempts after its end").isZero();
    assertThat(client.wire().ends()).isTrue();
  }

  /**
   * A burst of clients that leave while their requests wait for a connection that is being dialled.
   */
  @Test
  void nothingBeginsForAClientThatLeftDuringADial() throws Exception {
    var peer = new ScriptedPeer[1];
    peer[0] =
        door.server(
            wire -> {
              peer[0].saw("dialled");
              cue.await(); // its welcome, when all have left
              Pg.serve(
                  wire,
                  (pg, sql) -> {
                    if (!sql.startsWith("SHOW")) {
                      peer[0].saw(sql);
                    }
                    pg.row("v", System.currentTimeMillis());
                  });
            });
    door.members(peer[0]);
    var clients = new ArrayList<PgDoor.Client>();
    for (int i = 0; i < BURST; i++) {
      clients.add(door.client());
    }
    for (int i = 0; i < BURST; i++) {
      clients
          .get(i)
          .pg()
          .send(
              new PgMessage.Query(
                  "/* id=e" + i + ",c=waiver-check,d=2000,cluster=2 */ SELECT " + i));
    }
    assertThat(peer[0].next()).isEqualTo("dialled");
    for (PgDoor.Client c : clients) {
      c.wire().close();
    }
    door.counted(BURST, "gone", "left_untaken");
    cue.countDown();
    TimeUnit.MILLISECONDS.sleep(3 * BREAK);
    for (int left = peer[0].left(); left > 0; left--) {
      assertThat(peer[0].next()).isEqualTo("dialled");
    }
  }
}
