package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/** The core by itself: a scripted module, a clock by hand, attempts that end when the test says. */
class PoolerTest extends PoolerFixture {
  /**
   * Guards against re-entry: an end may come inside the send that the module has just asked for.
   */
  @Test
  void anEndInsideItsOwnSendIsHeardAfterTheCall() {
    take("inline");
    assertThat(heard).containsExactly("request", "OK over");
    assertThat(answers).containsExactly(new FinalAnswer.Served<>("now", AttemptEnd.Note.NONE));
    at(2000);
    assertThat(answers).hasSize(1);
    assertThat(pooler.owing()).isZero();
  }

  @Test
  void timeOutsAreToldByWhatWasWritten() {
    take("q");
    at(500);
    assertThat(heard).containsExactly("request", "TIMEOUT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "given up"));
    heard.clear();
    answers.clear();
    reach = Reach.NOT_CONNECTED;
    take("q");
    at(1000);
    assertThat(heard).containsExactly("request", "MOOT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(false, "given up"));
  }

  @Test
  void aLateEndAfterTheClientLeftBringsNoAnswerAndNoSecondOutcome() {
    String id = take("q");
    end.accept(new AttemptEnd.Missed<>(AttemptEnd.Note.NONE));
    pooler.gone(id);
    end.accept(new AttemptEnd.Served<>("late", AttemptEnd.Note.NONE));
    assertThat(heard).containsExactly("request", "MISS", "gone", "CANCELLED over");
    at(2000);
    assertThat(answers).isEmpty();
    assertThat(pooler.owing()).isZero();
  }

  @Test
  void brokenAttemptsAreToldByHowFarTheyHadCome() {
    for (Reach r : Reach.values()) {
      heard.clear();
      take("q");
      end.accept(new AttemptEnd.Broken<>(r, "test"));
      assertThat(heard).containsExactly("request", r.mayHaveRun() ? "RESET" : "CONNECT_FAILED");
    }
    assertThat(answers)
        .extracting(a -> ((FinalAnswer.Failed<String>) a).mayHaveRun())
        .containsExactly(false, false, true, true);
  }

  /**
   * Guards against a cancel that is read by the look before its own request's write, and finds no
   * request to cancel.
   */
  @Test
  void aCancelWithinTheSendOfItsRequestKeepsItFromBeingWritten() {
    var names = new ArrayList<String>();
    beforeWrite = () -> pooler.cancelled(names.get(0));
    pooler.take(
        new Ports.Ask<>(4, now + 500, "s", Double.NaN, 1, "q"),
        new Ports.Reply<>() {
          @Override
          public void taken(String request) {
            names.add(request);
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
    assertThat(listener.wanted()).isFalse();
    assertThat(heard).containsExactly("request", "gone", "CANCELLED over");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(false, "canceled by its client"));
  }

  /**
   * Guards against a process that stands still on the way, and told its database that time on top
   * of what is left.
   */
  @Test
  void theDeadlineIsTheClientsThoughTimePassesOnTheWay() {
    step = 40;
    take("q");
    assertThat(deadline).isEqualTo(1500);
  }

  /** Guards against a position to come: believed once, it would pass its member for good. */
  @Test
  void aPositionAheadOfTheClockIsNoNews() {
    for (double position : new double[] {now + 5000, 1e300, Double.POSITIVE_INFINITY, -1}) {
      take("q");
      end.accept(new AttemptEnd.Served<>("a", new AttemptEnd.Note(Router.Role.REPLICA, position)));
      assertThat(heardPosition).as("" + position).isNaN();
    }
    take("q");
    end.accept(new AttemptEnd.Served<>("a", new AttemptEnd.Note(Router.Role.REPLICA, now - 5)));
    assertThat(heardPosition).isEqualTo(now - 5);
  }

  /**
   * Guards against a cut-off, a retry or a second answer once the first bytes are with the client.
   */
  @Test
  void anAnswerThatHasBegunHasNoTimeOutAndItsBreakIsItsEnd() {
    var begun = new ArrayList<String>();
    pooler.take(
        new Ports.Ask<>(3, now + 500, "s", Double.NaN, 1, "q"),
        new Ports.Reply<>() {
          @Override
          public void began(String answer) {
            begun.add(answer);
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
    assertThat(listener.began("head")).isTrue();
    assertThat(begun).containsExactly("head");
    at(5000);
    assertThat(heard).as("a read is answered for the module").containsExactly("request", "OK over");
    assertThat(answers).isEmpty();
    assertThat(pooler.owing()).isEqualTo(1);
    end.accept(new AttemptEnd.Broken<>(Reach.WHOLLY_WRITTEN, "test"));
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "the answer broke off"));
    assertThat(heard).hasSize(2);
    assertThat(pooler.figures().errors(3)).isEqualTo(1);
    assertThat(pooler.figures().tries()).isEqualTo(1);
    assertThat(listener.began("late")).as("nobody waits any more").isFalse();
  }

  /** Guards against an end by the kill: what a handover cannot wait for is answered before it. */
  @Test
  void givingUpAnswersAllThatIsOwedOnce() {
    take("q");
    take("q");
    pooler.giveUp(0);
    assertThat(answers).hasSize(2).allMatch(a -> a instanceof FinalAnswer.Failed<String>);
    assertThat(pooler.owing()).isZero();
    at(2000);
    assertThat(answers).hasSize(2);
  }

  /**
   * Guards against a restart that loses what came late: its answer is due before the process ends.
   */
  @Test
  void whatIsTakenDuringAStopIsAnsweredByItsEnd() {
    pooler.answerBy(now + 200);
    take("q");
    at(199);
    assertThat(answers).isEmpty();
    at(200);
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "given up"));
    take("q");
    at(201);
    assertThat(answers).hasSize(2);
  }
}
