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
    assertThat(answers)
        .containsExactly(new FinalAnswer.Served<>("now", AttemptEnd.MemberState.NONE));
    at(2000);
    assertThat(answers).hasSize(1);
    assertThat(pooler.unansweredCount()).isZero();
  }

  @Test
  void timeOutsAreToldByWhatWasWritten() {
    take("q");
    at(500);
    assertThat(heard).containsExactly("request", "TIMEOUT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "given up"));
    heard.clear();
    answers.clear();
    reach = AttemptProgress.NOT_CONNECTED;
    take("q");
    at(1000);
    assertThat(heard).containsExactly("request", "MOOT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(false, "given up"));
  }

  @Test
  void aLateEndAfterTheClientLeftBringsNoAnswerAndNoSecondOutcome() {
    String id = take("q");
    end.accept(new AttemptEnd.Missed<>(AttemptEnd.MemberState.NONE));
    pooler.clientLeft(id);
    end.accept(new AttemptEnd.Served<>("late", AttemptEnd.MemberState.NONE));
    assertThat(heard).containsExactly("request", "MISS", "gone", "CANCELLED over");
    at(2000);
    assertThat(answers).isEmpty();
    assertThat(pooler.unansweredCount()).isZero();
  }

  @Test
  void brokenAttemptsAreToldByHowFarTheyHadCome() {
    for (AttemptProgress r : AttemptProgress.values()) {
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
    beforeWrite = () -> pooler.cancelledByClient(names.get(0));
    pooler.submit(
        new Ports.ClientRequest<>(4, now + 500, "s", Double.NaN, 1, "q"),
        new Ports.Reply<>() {
          @Override
          public void accepted(String request) {
            names.add(request);
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
    assertThat(listener.stillWanted()).isFalse();
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
      end.accept(
          new AttemptEnd.Served<>("a", new AttemptEnd.MemberState(Router.Role.REPLICA, position)));
      assertThat(heardPosition).as("" + position).isNaN();
    }
    take("q");
    end.accept(
        new AttemptEnd.Served<>("a", new AttemptEnd.MemberState(Router.Role.REPLICA, now - 5)));
    assertThat(heardPosition).isEqualTo(now - 5);
  }

  /**
   * Guards against a cut-off, a retry or a second answer once the first bytes are with the client.
   */
  @Test
  void anAnswerThatHasBegunHasNoTimeOutAndItsBreakIsItsEnd() {
    var begun = new ArrayList<String>();
    pooler.submit(
        new Ports.ClientRequest<>(3, now + 500, "s", Double.NaN, 1, "q"),
        new Ports.Reply<>() {
          @Override
          public void answerBegan(String answer) {
            begun.add(answer);
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
    assertThat(listener.answerBegan("head")).isTrue();
    assertThat(begun).containsExactly("head");
    at(5000);
    assertThat(heard).as("a read is answered for the module").containsExactly("request", "OK over");
    assertThat(answers).isEmpty();
    assertThat(pooler.unansweredCount()).isEqualTo(1);
    end.accept(new AttemptEnd.Broken<>(AttemptProgress.WHOLLY_WRITTEN, "test"));
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "the answer broke off"));
    assertThat(heard).hasSize(2);
    assertThat(pooler.stats().errors(3)).isEqualTo(1);
    assertThat(pooler.stats().attemptsWritten()).isEqualTo(1);
    assertThat(listener.answerBegan("late")).as("nobody waits any more").isFalse();
  }

  /** Guards against an end by the kill: what a handover cannot wait for is answered before it. */
  @Test
  void givingUpAnswersAllThatIsOwedOnce() {
    take("q");
    take("q");
    pooler.failUnanswered(0);
    assertThat(answers).hasSize(2).allMatch(a -> a instanceof FinalAnswer.Failed<String>);
    assertThat(pooler.unansweredCount()).isZero();
    at(2000);
    assertThat(answers).hasSize(2);
  }

  /**
   * Guards against a restart that loses what came late: its answer is due before the process ends.
   */
  @Test
  void whatIsTakenDuringAStopIsAnsweredByItsEnd() {
    pooler.setShutdownDeadline(now + 200);
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
