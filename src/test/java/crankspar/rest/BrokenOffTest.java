package crankspar.rest;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections of the REST front that are cut: an answer on its way, and a client that leaves. */
class BrokenOffTest extends RestDoor {
  private void counted(String name, long least) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    var n = new long[1];
    do {
      loop.runAndWait(() -> n[0] = counters.all().getOrDefault(name, 0L));
      assertThat(System.nanoTime()).as(name).isLessThan(until);
    } while (n[0] < least);
  }

  private static String post(String key, int deadline) {
    return "POST /v1/groups/1/trade-claim HTTP/1.1\r\nHost: p\r\nRequest-Deadline-Ms: "
        + deadline
        + "\r\nIdempotency-Key: "
        + key
        + "\r\nContent-Length: 2\r\n\r\n{}";
  }

  /**
   * An answer without a length, and its connection's end: by the server's word it is whole, by a
   * reset it is not.
   */
  private ScriptedPeer unsized(boolean reset) throws Exception {
    var self = new ScriptedPeer[1];
    self[0] =
        new ScriptedPeer(
            wire -> {
              if (wire.http().startsWith("POST")) {
                wire.send(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nRole: primary\r\n\r\n{\"claim\":");
                self[0].saw("half");
                if (reset) {
                  self[0].cue().await();
                  wire.reset();
                } else {
                  wire.send("7}");
                }
              }
            });
    return self[0];
  }

  @Test
  void anAnswerWithoutALengthThatIsResetIsNone() throws Exception {
    ScriptedPeer server = unsized(true);
    Wire client = pooler(server);
    client.send(post("k1", 2000));
    assertThat(server.next()).isEqualTo("half");
    server.cue().countDown();
    assertThat(client.http()).startsWith("HTTP/1.1 504").contains("\"outcome\":\"unknown\"");
  }

  @Test
  void anAnswerWithoutALengthThatEndsIsWhole() throws Exception {
    Wire client = pooler(unsized(false));
    client.send(post("k2", 2000));
    assertThat(client.http()).startsWith("HTTP/1.1 200");
  }

  /**
   * A claim whose client had left went on to the next server after a miss; its key may be used
   * again, as it never ran.
   */
  @Test
  void aClaimWhoseClientLeftGoesToNoFurtherServer() throws Exception {
    var peers = new ScriptedPeer[2];
    peers[0] =
        new ScriptedPeer(
            wire -> {
              for (String call = wire.http(); call != null; call = wire.http()) {
                if (call.startsWith("POST")) {
                  peers[0].saw("first");
                  peers[0].cue().await();
                  wire.send(
                      "HTTP/1.1 421 Misdirected\r\nRole: replica\r\nContent-Length: 0\r\n\r\n");
                }
              }
            });
    peers[1] =
        new ScriptedPeer(
            wire -> {
              for (String call = wire.http(); call != null; call = wire.http()) {
                if (call.startsWith("POST")) {
                  peers[1].saw("second");
                  wire.send("HTTP/1.1 200 OK\r\nRole: primary\r\nContent-Length: 2\r\n\r\n{}");
                }
              }
            });
    Wire client = pooler(peers[0], peers[1]);
    client.send(post("k3", 2500));
    assertThat(peers[0].next()).isEqualTo("first");
    client.close();
    TimeUnit.MILLISECONDS.sleep(100); // the rule's own time
    peers[0].cue().countDown();
    counted("sent_miss", 1);
    TimeUnit.MILLISECONDS.sleep(200);
    assertThat(peers[1].left()).as("attempts after it left").isZero();
    Wire again = client();
    again.send(post("k3", 2500));
    assertThat(again.http()).startsWith("HTTP/1.1 200");
    assertThat(peers[1].next()).isEqualTo("second");
  }
}
