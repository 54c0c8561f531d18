package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PoolTest {
  private EventLoop loop;

  @BeforeEach
  void begin() throws Exception {
    loop = new EventLoop("pool-test");
  }

  /** The time that its server was told to be left, of the last request that was written (ms). */
  private volatile double toldLeft;

  @AfterEach
  void end() {
    loop.close();
  }

  private void spin(double ms) {
    for (double until = loop.now() + ms; loop.now() < until; ) {
      Thread.onSpinWait();
    }
  }

  /** Carries one request, which is answered as it is written. */
  private abstract static class OneRequest implements ServerConnectionHandler<String, String> {
    Owner owner;

    @Override
    public void owner(Owner owner) {
      this.owner = owner;
    }

    @Override
    public byte[] encode(String query, double left) {
      return Long.toString((long) left).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public boolean carry(
        String query,
        byte[] encoded,
        BooleanSupplier current,
        Ports.AttemptListener<String> listener) {
      if (!current.getAsBoolean()) {
        return false;
      }
      carried(encoded);
      listener.ended(new AttemptEnd.Served<>("row", AttemptEnd.MemberReport.NONE));
      return true;
    }

    void carried(byte[] encoded) {}

    @Override
    public AttemptProgress reach() {
      return AttemptProgress.ANSWERED;
    }

    @Override
    public boolean reusable() {
      return false;
    }

    @Override
    public void settle() {}

    @Override
    public void received(ByteBuffer in) {
      in.position(in.limit());
    }

    @Override
    public void ended(String why) {
      owner.gone(why);
    }
  }

  /** Welcomed once its connection is up, after it has held up the loop for so long. */
  private class Slow extends OneRequest {
    private final double holds;
    private final AtomicInteger carried;

    Slow(double holds, AtomicInteger carried) {
      this.holds = holds;
      this.carried = carried;
    }

    @Override
    void carried(byte[] encoded) {
      toldLeft = Long.parseLong(new String(encoded, StandardCharsets.US_ASCII));
      carried.incrementAndGet();
    }

    @Override
    public void opened(Connection out) {
      spin(holds);
      owner.ready();
    }
  }

  /** Stands still once, behind the last check and before the write. */
  private final class HeldUpAtTheWrite extends Slow {
    private boolean heldUp;

    HeldUpAtTheWrite(AtomicInteger carried) {
      super(0, carried);
    }

    @Override
    public boolean carry(
        String query,
        byte[] encoded,
        BooleanSupplier current,
        Ports.AttemptListener<String> listener) {
      if (!heldUp) {
        heldUp = true;
        spin(200);
      }
      return super.carry(query, encoded, current, listener);
    }
  }

  private AttemptEnd<String> send(double holds, double within, AtomicInteger carried)
      throws Exception {
    try (var server = new ScriptedPeer(wire -> wire.ends())) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, new Counters(), () -> new Slow(holds, carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 500, loop.now() + within, told::complete);
          });
      return told.get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * Guards against a stale read: a loop held up, as by a processor that is taken away, ran the
   * welcome before the timer that was to end the wait, and sent a bounded read whose data had aged
   * past its bound.
   */
  @Test
  void aConnectionThatIsUpTooLateCarriesNothingThoughItsTimerIsLateToo() throws Exception {
    var carried = new AtomicInteger();
    AttemptEnd<String> end = send(80, 30, carried);
    assertThat(end).as("its member is not to blame").isInstanceOf(AttemptEnd.Unsent.class);
    assertThat(carried).hasValue(0);
  }

  /** Welcomed when the server has answered its first byte, as a handshake needs both sides. */
  private static final class Greeted extends OneRequest {
    @Override
    public void opened(Connection out) {
      out.write(new byte[1]);
    }

    @Override
    public void received(ByteBuffer in) {
      super.received(in);
      owner.ready();
    }
  }

  /**
   * The process stands still while a connection comes up, for longer than that may take. Right
   * after it, the time-out fired before the server could answer a handshake that had not been sent:
   * "no connection in time", which counts against the server.
   */
  @Test
  void aHandshakeThatWaitedForThisProcessIsNotTheServersFault() throws Exception {
    try (var server =
        new ScriptedPeer(
            wire -> {
              wire.read(1);
              TimeUnit.MILLISECONDS.sleep(30);
              wire.send("x");
              wire.ends();
            })) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, new Counters(), Greeted::new, "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 2000, Double.POSITIVE_INFINITY, told::complete);
            spin(400);
          });
      assertThat(told.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Served.class);
    }
  }

  /** Its last check is made again after one that held the loop up, and so is the time left. */
  @Test
  void aRequestIsToldWhatIsLeftAfterTheLastCheckHowEverLongThatTook() throws Exception {
    var carried = new AtomicInteger();
    var checks = new AtomicInteger();
    try (var server = new ScriptedPeer(wire -> wire.ends())) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      var listener =
          new Ports.AttemptListener<String>() {
            @Override
            public boolean stillWanted() {
              if (checks.incrementAndGet()
                  == 2) { // the first comes before the connection is opened
                spin(200);
              }
              return true;
            }

            @Override
            public void ended(AttemptEnd<String> end) {
              told.complete(end);
            }
          };
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, new Counters(), () -> new Slow(0, carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 500, Double.POSITIVE_INFINITY, listener);
          });
      assertThat(told.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Served.class);
      assertThat(toldLeft).isLessThanOrEqualTo(300);
      assertThat(checks).hasValue(3);
    }
  }

  /**
   * A stop of the process between the last check and the write. A request was told 184 ms more than
   * was left (soak seed 5248, LateCancelTest): what was encoded before a stop was written after it.
   */
  @Test
  void aRequestIsEncodedAgainAfterAStopRightBeforeItsWrite() throws Exception {
    var carried = new AtomicInteger();
    var counters = new Counters();
    try (var server = new ScriptedPeer(wire -> wire.ends())) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, counters, () -> new HeldUpAtTheWrite(carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 500, Double.POSITIVE_INFINITY, told::complete);
          });
      assertThat(told.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Served.class);
      assertThat(toldLeft).isLessThanOrEqualTo(300);
      assertThat(carried).hasValue(1);
      loop.runAndWait(() -> assertThat(counters.get("sends_checked_again")).isPositive());
    }
  }

  /** Takes longer to encode than a check before a write may take. */
  private final class LongToEncode extends Slow {
    LongToEncode(AtomicInteger carried) {
      super(0, carried);
    }

    @Override
    public byte[] encode(String query, double left) {
      spin(40);
      return super.encode(query, left);
    }
  }

  /**
   * Guards against a request whose encoding takes longer than a check may take: the check was
   * repeated until its deadline, 8 s, and nobody else was served (review/6).
   */
  @Test
  void aRequestThatTakesLongToEncodeIsGivenBackAndOthersAreServedMeanwhile() throws Exception {
    var carried = new AtomicInteger();
    var counters = new Counters();
    var lateMost = new double[1];
    try (var server = new ScriptedPeer(wire -> wire.ends())) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, counters, () -> new LongToEncode(carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 8000, Double.POSITIVE_INFINITY, told::complete);
            measureLateness(loop.now(), lateMost, told);
          });
      assertThat(told.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Unsent.class);
      assertThat(carried).hasValue(0);
      loop.runAndWait(
          () -> {
            assertThat(counters.get("unsent_check_slow")).isEqualTo(1);
            assertThat(lateMost[0]).as("ms that a timer of others was late").isLessThan(150);
          });
    }
  }

  private void measureLateness(double due, double[] most, CompletableFuture<?> until) {
    most[0] = Math.max(most[0], loop.now() - due);
    double next = loop.now() + 1;
    if (!until.isDone()) {
      loop.after(1, () -> measureLateness(next, most, until));
    }
  }

  /**
   * Guards against handshakes paid for nothing: what came up too late for one is there for the
   * next.
   */
  @Test
  void aConnectionThatCameTooLateIsKeptForTheNext() throws Exception {
    var carried = new AtomicInteger();
    var opened = new AtomicInteger();
    try (var server =
        new ScriptedPeer(
            wire -> {
              opened.incrementAndGet();
              wire.ends();
            })) {
      var first = new CompletableFuture<AttemptEnd<String>>();
      var second = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, new Counters(), () -> new Slow(60, carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "one", loop.now() + 500, loop.now() + 30, first::complete);
            var unused =
                first.thenRun(
                    () ->
                        loop.after(
                            100,
                            () ->
                                pool.send(
                                    "m",
                                    "two",
                                    loop.now() + 500,
                                    loop.now() + 30,
                                    second::complete)));
          });
      assertThat(first.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Unsent.class);
      assertThat(second.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEnd.Served.class);
      assertThat(opened).hasValue(1);
    }
  }

  @Test
  void oneThatIsUpInTimeCarries() throws Exception {
    var carried = new AtomicInteger();
    assertThat(send(0, 200, carried)).isInstanceOf(AttemptEnd.Served.class);
    assertThat(carried).hasValue(1);
  }

  /**
   * Guards against a send past a drain's grace: on a busy loop the connection came up long after
   * the drain was heard.
   */
  @Test
  void aConnectionOnItsWayToADatabaseThatDrainsCarriesNothing() throws Exception {
    var carried = new AtomicInteger();
    try (var server = new ScriptedPeer(wire -> wire.ends())) {
      var told = new CompletableFuture<AttemptEnd<String>>();
      loop.runAndWait(
          () -> {
            var pool =
                new Pool<String, String>(
                    loop, new Counters(), () -> new Slow(0, carried), "probe", 250, 30_000, 8);
            pool.locate("m", server.address());
            pool.send("m", "query", loop.now() + 500, loop.now() + 200, told::complete);
            pool.forget("m");
          });
      assertThat(told.get(5, TimeUnit.SECONDS))
          .as("no effect, and nobody is to blame")
          .isInstanceOf(AttemptEnd.Unsent.class);
      loop.runAndWait(() -> {});
      assertThat(carried).hasValue(0);
    }
  }
}
