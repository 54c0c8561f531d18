package crankspar.lab.calls;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.calls.CallHistory.Call;
import crankspar.lab.calls.CallHistory.Cut;
import crankspar.lab.calls.CallHistory.Kind;
import crankspar.lab.calls.CallHistory.Sent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Operators' calls at two real poolers, with cuts, kills and orders. Guards against a database that
 * gets work again though no call back knew of the last one out (review/8). By hand with more seeds:
 * CallCommand FIRST COUNT.
 */
class CallRunTest {
  @ParameterizedTest
  @ValueSource(longs = {2, 4, 5})
  void aYesHoldsUntilACallBackThatKnewOfIt(long seed) throws Exception {
    assertThat(CallRun.play(seed)).as("seed " + seed).isEmpty();
  }

  /** The check itself: it sees what review/8 saw, and lets pass what the rule allows. */
  @Test
  void aRequestAfterAYesThatStillHoldsIsSeen() {
    var history = new CallHistory();
    history.add(new Cut(1000, 7000));
    history.add(new Call(0, "db-1", Kind.DISABLE, 2000, 2010, true));
    history.add(new Call(1, "db-1", Kind.ENABLE, 3000, 3010, true));
    history.add(new Sent(0, "db-1", 2300));
    assertThat(history.broken()).isEmpty();
    assertThat(history.mustBeOut("db-1")).isTrue();
    history.add(new Sent(0, "db-1", 9000));
    assertThat(history.broken()).hasSize(1);
    history.add(new Call(0, "db-1", Kind.ENABLE, 8000, 8010, true));
    assertThat(history.broken()).isEmpty();
    assertThat(history.mustBeBack("db-1")).isTrue();
  }
}
