package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Role;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The wall clock steps forward under a running pooler, whose monotonic clock does not. Times that
 * databases report in Unix time are ahead of it from then on: a replica lagging by less than the
 * step looked fresh for every bound, and a restarted database stayed cold for as long as the step.
 */
class ClockStepTest {
  private static final double STEP = 3000;
  private static final double BEHIND = 2000;
  private static final double HOUR = 3_600_000;

  /** Longer than the time after which a started database is warm by the settings. */
  private static final double WARM = 20_000;

  private static final int ASKED = 50;

  private final Fake fake = new Fake();

  @BeforeEach
  void allIsWell() {
    fake.start(Fake.member("p", "far", Health.RUNNING, true, 0), Fake.member("r", "near"));
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.probeResult("r", Role.REPLICA, 10);
    assertThat(fake.ask("before", Fake.BROWSE)).isEqualTo("r");
    fake.end("before", Router.Status.OK, Role.REPLICA, 10);
    fake.at(100);
  }

  @Test
  void aReplicaThatIsBehindByLessThanTheStepServesNoBoundedRead() {
    fake.probeResult("p", Role.PRIMARY, -STEP);
    fake.probeResult("r", Role.REPLICA, BEHIND - STEP);
    assertThat(fake.ask("b", Fake.BROWSE)).isEqualTo("p");
  }

  @Test
  void aReplicaThatIsNotBehindServes() {
    fake.probeResult("p", Role.PRIMARY, -STEP);
    fake.probeResult("r", Role.REPLICA, 10 - STEP);
    assertThat(fake.ask("b", Fake.BROWSE)).isEqualTo("r");
  }

  /** Session marks and positions come from the same clock, whatever the pooler's clock shows. */
  @Test
  void aSessionReadIsServedByWhoHasItsMark() {
    fake.probeResult("p", Role.PRIMARY, -STEP);
    fake.probeResult("r", Role.REPLICA, BEHIND - STEP);
    assertThat(fake.ask("s", Fake.OWN)).isEqualTo("r");
  }

  @Test
  void aDatabaseThatStartedAfterTheStepIsWarmInTime() {
    double started = fake.now + HOUR;
    var members =
        List.of(
            Fake.member("p", "far", Health.RUNNING, true, started),
            Fake.member("r", "near", Health.RUNNING, false, started));
    fake.router.onMembers(fake.now, ListKind.CHANGES, members);
    fake.at(WARM);
    fake.router.onMembers(fake.now, ListKind.FULL, members);
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.probeResult("r", Role.REPLICA, 10);
    int sent = 0;
    for (int i = 0; i < ASKED; i++) {
      sent += fake.ask("w" + i, Fake.OWN) != null ? 1 : 0;
      fake.at(WARM + 20 * (i + 1));
      if (fake.sends("w" + i) == 1) {
        fake.end("w" + i, Router.Status.OK, Role.REPLICA, 10);
      }
    }
    assertThat(sent).isEqualTo(ASKED);
  }

  /** Guards against a start that is stamped in the past by a stepped clock and passes for warm. */
  @Test
  void aDatabaseThatStartedAfterAStepBackIsCold() {
    fake.router.onMembers(fake.now, ListKind.FULL, list(0));
    fake.router.onMembers(fake.now, ListKind.CHANGES, list(fake.now - WARM));
    fake.probeResult("r", Role.REPLICA, 10);
    int sent = 0;
    for (int i = 0; i < ASKED; i++) {
      sent += "r".equals(fake.ask("w" + i, Fake.OWN)) ? 1 : 0;
    }
    assertThat(sent).isLessThanOrEqualTo(1);
  }

  private static List<Router.Member> list(double startOfReplica) {
    return List.of(
        Fake.member("p", "far", Health.RUNNING, true, 0),
        Fake.member("r", "near", Health.RUNNING, false, startOfReplica));
  }
}
