package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/** The core with a scripted routing module and a manual clock; the test ends the attempts. */
class PoolerTest extends PoolerFixture {
  /**
   * Guards against re-entry: an attempt may end within the send that the module has just requested.
   */
  @Test
  void anEndInsideItsOwnSendIsHeardAfterTheCall() {
    submit("inline");
    assertThat(moduleEvents).containsExactly("request", "OK over");
    assertThat(answers)
        .containsExactly(new FinalAnswer.Served<>("now", AttemptEnd.MemberReport.NONE));
    runUntil(2000);
    assertThat(answers).hasSize(1);
    assertThat(pooler.unansweredCount()).isZero();
  }

  @Test
  void timeOutsAreToldByWhatWasWritten() {
    submit("q");
    runUntil(500);
    assertThat(moduleEvents).containsExactly("request", "TIMEOUT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "given up"));
    moduleEvents.clear();
    answers.clear();
    progress = AttemptProgress.NOT_CONNECTED;
    submit("q");
    runUntil(1000);
    assertThat(moduleEvents).containsExactly("request", "MOOT");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(false, "given up"));
  }

  @Test
  void aLateEndAfterTheClientLeftBringsNoAnswerAndNoSecondOutcome() {
    String id = submit("q");
    end.accept(new AttemptEnd.Missed<>(AttemptEnd.MemberReport.NONE));
    pooler.clientLeft(id);
    end.accept(new AttemptEnd.Served<>("late", AttemptEnd.MemberReport.NONE));
    assertThat(moduleEvents).containsExactly("request", "MISS", "gone", "CANCELLED over");
    runUntil(2000);
    assertThat(answers).isEmpty();
    assertThat(pooler.unansweredCount()).isZero();
  }

  @Test
  void brokenAttemptsAreToldByHowFarTheyHadCome() {
    for (AttemptProgress r : AttemptProgress.values()) {
      moduleEvents.clear();
      submit("q");
      end.accept(new AttemptEnd.Broken<>(r, "test"));
      assertThat(moduleEvents)
          .containsExactly("request", r.mayHaveRun() ? "RESET" : "CONNECT_FAILED");
    }
    assertThat(answers)
        .extracting(a -> ((FinalAnswer.Failed<String>) a).mayHaveRun())
        .containsExactly(false, false, true, true);
  }

  /**
   * Guards against a cancel that is read by the check before its own request is written, and finds
   * no request to cancel.
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
    assertThat(moduleEvents).containsExactly("request", "gone", "CANCELLED over");
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(false, "canceled by its client"));
  }

  /**
   * Guards against a deadline that is extended by a stall of the process on the way to the
   * database.
   */
  @Test
  void theDeadlineIsTheClientsThoughTimePassesOnTheWay() {
    clockStep = 40;
    submit("q");
    assertThat(deadline).isEqualTo(1500);
  }

  /**
   * Guards against a position in the future: accepted once, its member would pass the staleness
   * check from then on.
   */
  @Test
  void aPositionAheadOfTheClockIsNoNews() {
    for (double position : new double[] {now + 5000, 1e300, Double.POSITIVE_INFINITY, -1}) {
      submit("q");
      end.accept(
          new AttemptEnd.Served<>("a", new AttemptEnd.MemberReport(Router.Role.REPLICA, position)));
      assertThat(lastPosition).as("" + position).isNaN();
    }
    submit("q");
    end.accept(
        new AttemptEnd.Served<>("a", new AttemptEnd.MemberReport(Router.Role.REPLICA, now - 5)));
    assertThat(lastPosition).isEqualTo(now - 5);
  }

  /**
   * Guards against a timeout, a retry or a second answer once the client has received the first
   * bytes.
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
    runUntil(5000);
    assertThat(moduleEvents)
        .as("the module has received the outcome of the read")
        .containsExactly("request", "OK over");
    assertThat(answers).isEmpty();
    assertThat(pooler.unansweredCount()).isEqualTo(1);
    end.accept(new AttemptEnd.Broken<>(AttemptProgress.WHOLLY_WRITTEN, "test"));
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "the answer broke off"));
    assertThat(moduleEvents).hasSize(2);
    assertThat(pooler.stats().errors(3)).isEqualTo(1);
    assertThat(pooler.stats().attemptsWritten()).isEqualTo(1);
    assertThat(listener.answerBegan("late")).as("the request is already answered").isFalse();
  }

  /**
   * Guards against a process that is killed with requests unanswered: requests that a handover
   * cannot wait for are answered before it.
   */
  @Test
  void givingUpAnswersAllThatIsOwedOnce() {
    submit("q");
    submit("q");
    pooler.failUnanswered(0);
    assertThat(answers).hasSize(2).allMatch(a -> a instanceof FinalAnswer.Failed<String>);
    assertThat(pooler.unansweredCount()).isZero();
    runUntil(2000);
    assertThat(answers).hasSize(2);
  }

  /**
   * Guards against a restart that loses late requests: they must be answered before the process
   * ends.
   */
  @Test
  void whatIsTakenDuringAStopIsAnsweredByItsEnd() {
    pooler.setShutdownDeadline(now + 200);
    submit("q");
    runUntil(199);
    assertThat(answers).isEmpty();
    runUntil(200);
    assertThat(answers).containsExactly(new FinalAnswer.Failed<>(true, "given up"));
    submit("q");
    runUntil(201);
    assertThat(answers).hasSize(2);
  }
}
