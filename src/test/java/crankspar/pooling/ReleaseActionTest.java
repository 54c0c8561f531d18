package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The action at a connection's release, over all conditions. */
class ReleaseActionTest {
  private static final boolean[] EITHER = {false, true};

  private interface Each {
    void take(ReleaseAction.Condition condition);
  }

  private static void forEach(Each each) {
    for (boolean owed : EITHER) {
      for (boolean batch : EITHER) {
        for (char status : new char[] {'I', 'T', 'E'}) {
          for (boolean session : EITHER) {
            for (boolean library : EITHER) {
              for (boolean unwanted : EITHER) {
                for (int cancels = 0; cancels < 2; cancels++) {
                  each.take(
                      new ReleaseAction.Condition(
                          owed, batch, status, session, library, unwanted, cancels));
                }
              }
            }
          }
        }
      }
    }
  }

  /** Guards against reusing a connection that still has state of its last client. */
  @Test
  void onlyACleanConnectionIsReused() {
    forEach(
        condition ->
            assertThat(ReleaseAction.forCondition(condition) == ReleaseAction.REUSE)
                .as(condition.toString())
                .isEqualTo(condition.equals(ReleaseAction.Condition.clean(false, 0))));
  }

  /** Guards against a ROLLBACK that commits an open batch, or that the server ignores. */
  @Test
  void nothingIsSentIntoAnOpenBatchOrAnAnswer() {
    forEach(
        condition -> {
          if (condition.batchOpen() || condition.answersPending()) {
            assertThat(ReleaseAction.forCondition(condition))
                .as(condition.toString())
                .isEqualTo(ReleaseAction.CLOSE);
          }
        });
  }
}
