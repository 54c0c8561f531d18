package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Request;
import org.junit.jupiter.api.Test;

/** Requests that name groups which no list has. */
class GroupsRemovedTest extends RequestRouterFixture {
  /**
   * Guards against a tick that fails as it walks the groups, because a request's end removes its
   * group: nothing was checked for silence from then on, for the rest of the process's life.
   */
  @Test
  void requestsThatEndWhileAllGroupsAreLookedAtStopNoTick() {
    Fake f = group();
    for (int i = 0; i < 50; i++) {
      f.router.onRequest(
          f.now, new Request("r" + i, Fake.BROWSE, 40 + i, null, Double.NaN, 1000 + i));
    }
    f.now = Fake.ZERO + 2000; // the loop is late: the tick runs before the requests' own timers
    f.at(2000);
    for (int i = 0; i < 50; i++) {
      assertThat(f.finalAnswers("r" + i)).as("r" + i).isEqualTo(1);
    }
    f.ask("later", Fake.BROWSE);
    f.at(5000);
    assertThat(f.finalAnswers("later")).as("still looked at").isEqualTo(1);
  }
}
