package crankspar.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The checker finds what it is there for, and is not green for want of matching ids. */
class AttemptHistoryTest {
  private final AttemptHistory history = new AttemptHistory();

  private static String statement(String id, int deadline) {
    return "/* id=" + id + ",c=waiver-check,d=" + deadline + ",cluster=2 */ SELECT 1";
  }

  @Test
  void anAttemptInTimeIsFine() {
    history.sent("a1", 0, 400);
    history.left("a1", 200);
    history.attempt(statement("a1", 300), 290);
    assertThat(history.broken()).as("300 told, 110 left: 190 too much").hasSize(1);
    history.sent("a2", 0, 400);
    history.left("a2", 200);
    history.attempt(statement("a2", 250), 299);
    assertThat(history.broken()).hasSize(1);
  }

  @Test
  void anAttemptAfterItsClientHadLeftIsFound() {
    history.sent("b1", 0, 2000);
    history.left("b1", 50);
    history.attempt(statement("b1", 1000), 151);
    assertThat(history.broken()).containsExactly("b1 begun 101 ms after its client had left");
  }

  @Test
  void whatWasLeftAndNotToldIsMeasured() {
    history.sent("d1", 0, 2000);
    history.attempt(statement("d1", 1500), 100);
    assertThat(history.mostWithheld()).isEqualTo(400);
  }

  @Test
  void anIdThatNoClientSentIsFound() {
    history.sent("c12", 0, 2000);
    history.attempt(statement("c1", 1000), 1);
    history.attempt("SELECT 1", 1);
    assertThat(history.broken())
        .containsExactly("a statement without an id: SELECT 1", "no client sent c1");
  }
}
