package crankspar.store;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.core.Counters;
import crankspar.http.HttpEncoder;
import crankspar.net.EventLoop;
import crankspar.net.ScriptedPeer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Pulling a peer's changes. */
class ReplicationTest {
  /** Guards against one entry that cannot be taken and keeps out all that stand behind it. */
  @Test
  void anEntryThatIsRefusedKeepsNoOtherOut() throws Exception {
    byte[] page =
        HttpEncoder.response(
            200,
            Map.of("Content-Type", "application/json"),
            StoreJson.write(
                List.of(
                    new Store.Entry("drain-calls/db", "junk", 3, "b#1"),
                    new Store.Entry("drain/db", "by hand", 4, "b#1")),
                "c-2",
                false));
    var heard = new CountDownLatch(1);
    var counters = new Counters();
    try (var peer = new ScriptedPeer(wire -> wire.send(page));
        var loop = new EventLoop("replication")) {
      var store = new Store("a");
      loop.runAndWait(
          () -> {
            store.onChange(e -> heard.countDown());
            new Replication(loop, store, counters, 20, List.of(peer.address()));
          });
      assertThat(heard.await(5, TimeUnit.SECONDS)).isTrue();
      loop.runAndWait(
          () -> {
            assertThat(store.get("drain/db")).isEqualTo("by hand");
            assertThat(counters.get("store_refused")).isPositive();
          });
    }
  }
}
