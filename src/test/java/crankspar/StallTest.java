package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Role;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A stalled process receives nothing. The time of the stall was counted as silence of the databases
 * with attempts in flight, so that a healthy one got trial reads only.
 */
class StallTest {
  private static final double STALL = 1300;

  private final Fake fake = new Fake();

  @BeforeEach
  void aReadIsOut() {
    fake.start(Fake.member("p", "near", Health.RUNNING, true, 0), Fake.member("r", "near"));
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.probeResult("r", Role.REPLICA, 10);
    fake.at(5);
    assertThat(fake.ask("a", Fake.OWN, 5000, "s")).isEqualTo("r");
    fake.now += STALL;
  }

  @Test
  void silenceDuringAStallSaysNothing() {
    fake.router.onStall(fake.now);
    fake.at(STALL + 25);
    assertThat(fake.router.avoided()).isEmpty();
  }

  @Test
  void silenceBehindAStallIsNoticedAsEver() {
    fake.router.onStall(fake.now);
    fake.at(STALL + 1000);
    assertThat(fake.router.avoided()).containsExactly("r");
  }

  @Test
  void silenceOfAProcessThatRunsIsNoticed() {
    fake.at(STALL + 25);
    assertThat(fake.router.avoided()).containsExactly("r");
  }
}
