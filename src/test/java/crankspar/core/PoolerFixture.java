package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Outcome;
import crankspar.Router.ProbeResult;
import crankspar.Router.Request;
import crankspar.Router.Status;
import crankspar.TestSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** A core with a scripted routing module, a manual clock, and backends controlled by the test. */
abstract class PoolerFixture implements Ports.Time, Ports.Backends<String, String> {
  private record Timer(double at, Runnable what) {}

  final PriorityQueue<Timer> timers =
      new PriorityQueue<>(java.util.Comparator.comparingDouble(Timer::at));
  final List<String> moduleEvents = new ArrayList<>();
  final List<FinalAnswer<String>> answers = new ArrayList<>();
  final Counters counters = new Counters();
  Ports.AttemptListener<String> listener;
  Consumer<AttemptEnd<String>> end;
  AttemptProgress progress = AttemptProgress.WHOLLY_WRITTEN;
  double lastPosition;
  Runnable beforeWrite = () -> {};
  boolean insideModule;
  double now = 1000;
  double clockStep; // advance of the clock (ms) on each reading
  double deadline;

  /** Sends each request once to m, again after a miss, and fails it after any other outcome. */
  class Scripted implements Router {
    private final Actions actions;

    Scripted(Actions actions) {
      this.actions = actions;
    }

    private void enter(String what) {
      assertThat(insideModule).as("the module called inside its own call").isFalse();
      moduleEvents.add(what);
    }

    private void act(Runnable what) {
      insideModule = true;
      what.run();
      insideModule = false;
    }

    @Override
    public void onStart(double now) {}

    @Override
    public void onMembers(double now, ListKind kind, List<Member> members) {}

    @Override
    public void onWatchLost(double now) {}

    @Override
    public void onRequest(double now, Request r) {
      enter("request");
      act(() -> actions.send(r.id(), "m", 0));
    }

    @Override
    public void onOutcome(double now, Outcome o) {
      lastPosition = o.position();
      enter(o.status() + (o.requestDone() ? " over" : ""));
      if (!o.requestDone()) {
        act(
            () -> {
              if (o.status() == Status.MISS) {
                actions.send(o.request(), "m", 0);
              } else {
                actions.fail(o.request());
              }
            });
      }
    }

    @Override
    public void onProbe(double now, ProbeResult r) {}

    @Override
    public void onClientGone(double now, String request) {
      enter("gone");
    }

    @Override
    public void onTimer(double now, long cookie) {}

    @Override
    public java.util.Set<String> avoided() {
      return java.util.Set.of();
    }
  }

  final Pooler<String, String> pooler =
      new Pooler<>(
          TestSettings.platform(),
          this,
          this,
          on -> {},
          counters,
          (settings, actions) -> new Scripted(actions));

  @Override
  public double now() {
    return now += clockStep;
  }

  @Override
  public void after(double ms, Runnable what) {
    timers.add(new Timer(now + ms, what));
  }

  @Override
  public Ports.Call send(
      String member,
      String query,
      double deadline,
      double connectBy,
      Ports.AttemptListener<String> listener) {
    this.listener = listener;
    this.deadline = deadline;
    end = listener::ended;
    beforeWrite.run();
    if (query.equals("inline")) {
      end.accept(new AttemptEnd.Served<>("now", AttemptEnd.MemberReport.NONE));
    }
    return () -> progress;
  }

  @Override
  public Ports.Call probe(String member, Consumer<AttemptEnd<String>> whenOver) {
    return () -> progress;
  }

  String submit(String query) {
    return pooler.submit(
        new Ports.ClientRequest<>(4, now + 500, "s", Double.NaN, 1, query), answers::add);
  }

  void runUntil(double ms) {
    while (!timers.isEmpty() && timers.peek().at() <= 1000 + ms) {
      Timer t = timers.poll();
      now = Math.max(now, t.at());
      t.what().run();
    }
    now = 1000 + ms;
  }
}
