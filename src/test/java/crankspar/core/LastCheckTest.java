package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import crankspar.TestSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * The check right before an attempt is written, after time has passed since the decision to send.
 */
class LastCheckTest implements Ports.Time, Ports.Backends<String, String> {
  private static final int BOUNDED = 0;
  private static final int FRESH = 2;
  private static final double DEADLINE_MS = 500;

  private final List<FinalAnswer<String>> answers = new ArrayList<>();
  private final Counters counters = new Counters();
  private double now = 1000;
  private double elapsedBeforeCheck;
  private boolean present = true;
  private Ports.AttemptListener<String> listener;
  private boolean wanted;

  private final Pooler<String, String> pooler =
      new Pooler<>(
          TestSettings.platform(),
          this,
          this,
          on -> {},
          counters,
          (settings, actions) -> new Once(actions));

  /** Routing module that sends each request once. */
  private record Once(Actions actions) implements Router {
    @Override
    public void onStart(double now) {}

    @Override
    public void onMembers(double now, ListKind kind, List<Member> members) {}

    @Override
    public void onWatchLost(double now) {}

    @Override
    public void onRequest(double now, Request r) {
      actions.send(r.id(), "m", 0);
    }

    @Override
    public void onOutcome(double now, Outcome o) {}

    @Override
    public void onProbe(double now, ProbeResult r) {}

    @Override
    public void onClientGone(double now, String request) {}

    @Override
    public void onTimer(double now, long cookie) {}

    @Override
    public Set<String> avoided() {
      return Set.of();
    }
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public void after(double ms, Runnable action) {}

  @Override
  public Ports.Call send(
      String member,
      String query,
      double deadline,
      double connectBy,
      Ports.AttemptListener<String> listener) {
    now += elapsedBeforeCheck;
    this.listener = listener;
    wanted = listener.stillWanted();
    return () -> AttemptProgress.NOT_CONNECTED;
  }

  @Override
  public Ports.Call probe(String member, Consumer<AttemptEnd<String>> end) {
    throw new UnsupportedOperationException();
  }

  private void submit(int requestClass, double passes) {
    this.elapsedBeforeCheck = passes;
    pooler.submit(
        new Ports.ClientRequest<>(requestClass, now + DEADLINE_MS, "s", Double.NaN, 2, "query"),
        new Ports.Reply<>() {
          @Override
          public boolean clientConnected() {
            return present;
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
  }

  @Test
  void whatIsWrittenAtOnceIsWanted() {
    submit(BOUNDED, 0);
    assertThat(wanted).isTrue();
  }

  /**
   * Guards against a stale read: the module checked the replica's position before a stall of the
   * process.
   */
  @Test
  void aBoundedReadIsNotWrittenLongAfterItWasDecided() {
    submit(BOUNDED, 60);
    assertThat(wanted).isFalse();
    submit(FRESH, 60);
    assertThat(wanted).isTrue();
  }

  @Test
  void nothingIsWrittenBehindItsDeadline() {
    submit(FRESH, DEADLINE_MS + 1);
    assertThat(wanted).isFalse();
  }

  @Test
  void nothingIsWrittenForAClientThatHasLeftAndItsRequestIsOver() {
    present = false;
    submit(FRESH, 0);
    assertThat(wanted).isFalse();
    assertThat(pooler.unansweredCount()).isZero();
    assertThat(counters.get("gone")).isEqualTo(1);
    listener.ended(new AttemptEnd.Unsent<>("not wanted"));
    assertThat(answers).isEmpty();
  }
}
