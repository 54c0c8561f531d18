package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Outcome;
import crankspar.Router.ProbeResult;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A sole database lets four requests of one class hang, then recovers and answers probes too. No
 * request of that class was ever sent to it again: the hung ones had raised its mean latency to
 * twice the class's target, so each new request was refused at once as unable to finish in time.
 * Only answers change the mean, and without requests there were none.
 */
class RecoveredTest {
  private static final int HANGING = 4;
  private static final double HANG_GAP = 300;
  private static final double ASK_GAP = 100;
  private static final double ANSWER = 10;
  private static final double PROBE_GAP = 1000;

  /**
   * Backoff delays of the policy double up to a second; a class is served after the second one at
   * the latest.
   */
  private static final double SERVED_BY = 2000;

  private static final double UNTIL = 15_000;

  private record Out(String request, int number, double sent) {}

  private final Fake fake = new Fake();
  private final List<Out> out = new ArrayList<>();
  private int seen;

  private double time() {
    return fake.now - Fake.ZERO;
  }

  private void collect() {
    for (; seen < fake.attempts.size(); seen++) {
      String[] attempt = fake.attempts.get(seen).split(" ");
      out.add(new Out(attempt[0], Integer.parseInt(attempt[1]), fake.now));
    }
  }

  private void end(Out attempt, Status status) {
    boolean ok = status == Status.OK;
    fake.router.onOutcome(
        fake.now,
        new Outcome(
            attempt.request(),
            attempt.number(),
            "p",
            status,
            fake.now - attempt.sent(),
            ok,
            ok ? Role.PRIMARY : Role.UNKNOWN,
            ok ? fake.now : Double.NaN));
  }

  /** Sends a request, answers nothing and lets all attempts in flight time out. */
  private void hang(String id, int kind) {
    fake.ask(id, kind);
    collect();
    fake.at(time() + HANG_GAP);
    List<Out> due = List.copyOf(out);
    out.clear();
    due.forEach(attempt -> end(attempt, Status.TIMEOUT));
    collect();
  }

  /**
   * Sends requests at a constant rate while the database answers all of them; returns the number of
   * answers.
   */
  private int served(int kind, double until) {
    int served = 0;
    double asked = time() - ASK_GAP;
    double probed = time() - PROBE_GAP;
    while (time() < until) {
      fake.at(time() + ANSWER);
      List<Out> due = List.copyOf(out);
      out.clear();
      due.forEach(attempt -> end(attempt, Status.OK));
      served += due.size();
      if (time() >= probed + PROBE_GAP) {
        probed = time();
        fake.router.onProbe(fake.now, new ProbeResult("p", true, 1, Role.PRIMARY, fake.now));
      }
      if (time() >= asked + ASK_GAP) {
        asked = time();
        fake.ask("r" + asked, kind);
      }
      collect();
    }
    return served;
  }

  @ParameterizedTest
  @ValueSource(ints = {Fake.OWN, Fake.FRESH, Fake.ANY, Fake.BROWSE})
  void theClassIsServedAgain(int kind) {
    fake.start(Fake.member("p", "near", Health.RUNNING, true, 0));
    fake.probeResult("p", Role.PRIMARY, 0);
    for (int i = 0; i < HANGING; i++) {
      hang("h" + i, kind);
    }
    double well = time();
    served(kind, well + SERVED_BY);
    int asked = (int) ((UNTIL - SERVED_BY) / ASK_GAP);
    assertThat(served(kind, well + UNTIL)).isGreaterThanOrEqualTo(asked);
  }
}
