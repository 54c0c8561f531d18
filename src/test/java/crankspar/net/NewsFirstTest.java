package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A loop with a long queue of work hears what has changed before it goes on with that. */
class NewsFirstTest {
  private static final int TASKS = 200;
  private static final double TASK_MS = 5;

  private EventLoop loop;
  private final AtomicInteger done = new AtomicInteger();

  @BeforeEach
  void begin() throws Exception {
    loop = new EventLoop("news-first-test");
  }

  @AfterEach
  void end() {
    loop.close();
  }

  private void work() {
    for (double until = loop.now() + TASK_MS; loop.now() < until; ) {
      Thread.onSpinWait();
    }
    done.incrementAndGet();
  }

  @Test
  void newsOvertakesAllTheWorkThatWaits() throws Exception {
    var heardAfter = new CompletableFuture<Integer>();
    loop.runAndWait(
        () -> {
          for (int i = 0; i < TASKS; i++) {
            loop.run(this::work);
          }
          loop.runUrgent(() -> heardAfter.complete(done.get()));
        });
    assertThat(heardAfter.get(5, TimeUnit.SECONDS)).isLessThan(3);
  }

  /** What discovery has written on a watch that stands is read while work waits. */
  @Test
  void aWatchIsReadThoughWorkWaits() throws Exception {
    var up = new CountDownLatch(1);
    var heardAfter = new CompletableFuture<Integer>();
    try (var discovery =
        new ScriptedPeer(
            wire -> {
              wire.read(1);
              wire.send("drains");
              wire.ends();
            })) {
      var out = new CompletableFuture<Connection>();
      loop.connect(
          discovery.address(),
          new ConnectionHandler() {
            @Override
            public void opened(Connection opened) {
              out.complete(opened);
              up.countDown();
            }

            @Override
            public void received(ByteBuffer in) {
              in.position(in.limit());
              heardAfter.complete(done.get());
            }

            @Override
            public void ended(String why) {}

            @Override
            public boolean urgent() {
              return true;
            }
          });
      assertThat(up.await(5, TimeUnit.SECONDS)).isTrue();
      loop.runAndWait(
          () -> {
            out.join()
                .write(
                    new byte[] {1},
                    1,
                    null); // the other end writes at once, and the work is queued before that
            // arrives
            for (int i = 0; i < TASKS; i++) {
              loop.run(this::work);
            }
          });
      assertThat(heardAfter.get(10, TimeUnit.SECONDS))
          .as("tasks of " + TASK_MS + " ms before the news")
          .isLessThan(TASKS / 4);
    }
  }

  /** News that brings news again and again does not keep work waiting for ever. */
  @Test
  void workGoesOnThoughNewsNeverEnds() throws Exception {
    var over = new AtomicInteger();
    var again =
        new Runnable() {
          @Override
          public void run() {
            if (over.get() == 0) {
              loop.runUrgent(this);
            }
          }
        };
    loop.runUrgent(again);
    var worked = new CountDownLatch(1);
    loop.run(worked::countDown);
    assertThat(worked.await(5, TimeUnit.SECONDS)).isTrue();
    over.set(1);
  }
}
