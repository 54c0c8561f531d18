package crankspar.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Actions;
import crankspar.Router.ListKind;
import crankspar.TestSettings;
import crankspar.discovery.DiscoveryClient.Effect;
import crankspar.discovery.DiscoveryClient.Event;
import crankspar.policy.RequestRouter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * What discovery had counts as told 6 s after it could be reached, whatever became of the calls
 * before: the calls of {@link DiscoveryClient} with the module's own waits between them, on a clock
 * of the test's.
 */
class SixSecondsTest {
  private static final double RULE = 6000;

  /** A discovery that can be reached answers within this (ms), its line of callers included. */
  private static final double ANSWERS = 1000;

  /** How discovery meets a call that is opened, or a watch that stands, in a span of time. */
  enum Mode {
    WELL,
    REFUSED,
    FAILED_LATE,
    NEVER_UP,
    NEVER_ANSWERED,
    HALF_AN_ANSWER,
    MOVED,
    DEAF
  }

  private record Span(Mode mode, double ms) {}

  private record Due(double at, long order, Runnable what) {}

  private static final class World implements Actions {
    final PriorityQueue<Due> timers =
        new PriorityQueue<>(
            java.util.Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    final DiscoveryClient following = new DiscoveryClient(false, 250);
    final Set<Integer> open = new HashSet<>();
    final Map<Integer, Integer> spanOf = new HashMap<>();
    final RequestRouter module;
    final double delay;
    double now, heard = Double.NaN;
    int span, calls;
    long order;
    boolean words;
    Mode mode = Mode.WELL;

    World(double askEvery, long seed, double delay) {
      this.delay = delay;
      var s = TestSettings.with("\"AskEvery\": 10000.0", "\"AskEvery\": " + askEvery);
      module =
          new RequestRouter(
              new crankspar.Router.Settings(
                  seed,
                  s.zone(),
                  s.zones(),
                  s.instanceIndex(),
                  s.instanceCount(),
                  s.batchInterval(),
                  s.watchDiscovery(),
                  s.classes(),
                  s.laggingRead(),
                  s.patience(),
                  s.roleInList(),
                  s.sessionMarks(),
                  s.reportsPosition(),
                  s.commitWaits(),
                  s.positionEpoch(),
                  s.reports(),
                  s.guarantees(),
                  s.limits(),
                  s.prices()),
              this);
    }

    void after(double ms, Runnable what) {
      timers.add(new Due(now + Math.max(0, ms), order++, what));
    }

    void step(Event event) {
      for (Effect e : following.step(now, event)) {
        if (e instanceof Effect.Open o) {
          calls++;
          open.add(o.call());
          spanOf.put(o.call(), span);
          called(o.call(), mode);
        } else if (e instanceof Effect.Drop d) {
          open.remove(d.call());
        } else {
          module.onWatchLost(now);
        }
      }
    }

    private void later(int call, double ms, Event event) {
      after(
          ms,
          () -> {
            if (open.contains(call)) {
              if (event instanceof Event.Ended) {
                open.remove(call);
              }
              step(event);
            }
          });
    }

    private void called(int call, Mode met) {
      if (met != Mode.NEVER_UP && met != Mode.REFUSED) {
        later(call, 1, new Event.Up(call));
      }
      switch (met) {
        case WELL -> answers(call, spanOf.get(call), delay);
        case REFUSED -> later(call, 1, new Event.Ended(call));
        case FAILED_LATE ->
            later(call, 2000, new Event.Ended(call)); // 503 when its wait in line was over
        case HALF_AN_ANSWER -> later(call, 2400, new Event.Begun(call));
        default -> {}
      }
    }

    /** A list, then an empty line each 2 s for as long as this span lasts. */
    private void answers(int call, int mine, double ms) {
      after(
          ms,
          () -> {
            if (open.contains(call) && span == mine) {
              heard = now;
              step(new Event.Word(call));
              if (words) {
                module.onMembers(now, ListKind.CHANGES, List.of());
              }
              answers(call, mine, 2000);
            }
          });
    }

    void pass(double until) {
      while (true) {
        double next =
            Math.min(
                following.next(), timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().at());
        if (next > until) {
          now = until;
          return;
        }
        now = Math.max(now, next);
        if (!timers.isEmpty() && timers.peek().at() <= now) {
          timers.poll().what().run();
        } else {
          step(new Event.Look());
        }
      }
    }

    /** Calls of an earlier span stay as they were met: no list comes on them any more. */
    void enter(Span s) {
      span++;
      mode = s.mode() == Mode.MOVED ? Mode.WELL : s.mode();
      if (s.mode() == Mode.MOVED) {
        step(new Event.Moved());
      } else if (s.mode() == Mode.REFUSED) { // it goes down, and its watches end
        for (int call : List.copyOf(open)) {
          open.remove(call);
          step(new Event.Ended(call));
        }
      }
      pass(now + s.ms());
    }

    @Override
    public void setTimer(double delay, long cookie) {
      after(delay, () -> module.onTimer(now, cookie));
    }

    @Override
    public void watchDiscovery(boolean on) {
      step(new Event.Wanted(on));
    }

    @Override
    public void send(String request, String member, double timeout) {}

    @Override
    public void refuse(String request, double retryIn) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String member) {}

    @Override
    public void broadcast(byte[] message) {}

    @Override
    public void log(String text) {}
  }

  private World world(double askEvery, long seed, double delay, boolean words, List<Span> spans) {
    var w = new World(askEvery, seed, delay);
    w.words = words;
    w.module.onStart(0);
    spans.forEach(w::enter);
    return w;
  }

  /** Half a minute of anything; then discovery can be reached. */
  @Property(tries = 3000, seed = "34")
  void itIsHeardWithinSixSecondsOfItsReturn(
      @ForAll("spans") List<Span> spans,
      @ForAll long seed,
      @ForAll boolean words,
      @ForAll("askEvery") double askEvery,
      @ForAll("delay") double delay) {
    World w = world(askEvery, seed, delay, words, spans);
    double back = w.now;
    w.enter(new Span(Mode.WELL, RULE));
    assertThat(w.heard - back)
        .as("after " + spans + ", asking each " + askEvery + " ms")
        .isBetween(0.0, RULE);
  }

  /**
   * A hundred poolers whose watches were lost at once: what they call in any second stays well
   * below one call each.
   */
  @Property(tries = 20, seed = "35")
  void theirCallsStaySpreadWhileItIsAway(@ForAll long seed) {
    var at = new ArrayList<Double>();
    for (int i = 0; i < 100; i++) {
      World w = world(10_000, seed + i, 5, true, List.of(new Span(Mode.WELL, 3000)));
      w.enter(new Span(Mode.REFUSED, 4000));
      for (int n = 0; n < 60; n++) {
        int before = w.calls;
        w.pass(w.now + 100);
        for (int c = before; c < w.calls; c++) {
          at.add(n * 100.0);
        }
      }
    }
    for (int n = 0; n < 60; n++) {
      double from = n * 100;
      assertThat(at.stream().filter(t -> t == from).count())
          .as("calls of a hundred in 100 ms")
          .isLessThan(25);
    }
    assertThat(at).hasSizeLessThan(100 * 6 * 10 / 8);
  }

  @Provide
  Arbitrary<List<Span>> spans() {
    return Combinators.combine(Arbitraries.of(Mode.class), Arbitraries.doubles().between(1, 9000))
        .as(Span::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(8);
  }

  @Provide
  Arbitrary<Double> askEvery() {
    return Arbitraries.of(1000.0, 4000.0, 10_000.0, 40_000.0, 120_000.0);
  }

  @Provide
  Arbitrary<Double> delay() {
    return Arbitraries.doubles().between(1, ANSWERS);
  }
}
