package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import crankspar.Router.Outcome;
import crankspar.Router.Request;
import crankspar.Router.Status;
import crankspar.TestSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Hedged requests: which of two attempts in flight answers, and what happens to the other. */
class SecondCopyTest extends PoolerFixture {
  /**
   * Sends each request to m, and once more to n on the test's demand; the first answer cancels the
   * other attempt.
   */
  private final class Copying {
    final List<Ports.AttemptListener<String>> sent = new ArrayList<>();
    final List<String> abandoned = new ArrayList<>();
    final List<String> outcomes = new ArrayList<>();
    Router.Actions actions;
    String id;

    Pooler<String, String> pooler(boolean copies) {
      Router.Settings s = TestSettings.platform();
      Router.Limits l = s.limits();
      var limits =
          new Router.Limits(
              l.maxAttempts(),
              copies,
              l.cancellation(),
              l.probes(),
              l.retryAfter(),
              l.maxRetryAfter(),
              l.connectTimeout(),
              l.connectionIdleTimeout(),
              l.maxConnections(),
              l.peerMessages());
      var settings =
          new Router.Settings(
              s.seed(),
              s.zone(),
              s.zones(),
              s.instanceIndex(),
              s.instanceCount(),
              s.batchInterval(),
              s.watchDiscovery(),
              s.classes(),
              s.laggingRead(),
              s.patience(),
              s.roleInList(),
              s.sessionMarks(),
              s.reportsPosition(),
              s.commitWaits(),
              s.positionEpoch(),
              s.reports(),
              s.guarantees(),
              limits,
              s.prices());
      return new Pooler<>(
          settings,
          SecondCopyTest.this,
          new Ports.Backends<String, String>() {
            @Override
            public Ports.Call send(
                String member,
                String query,
                double deadline,
                double connectBy,
                Ports.AttemptListener<String> listener) {
              sent.add(listener);
              return () -> {
                abandoned.add(member);
                return AttemptProgress.WHOLLY_WRITTEN;
              };
            }

            @Override
            public Ports.Call probe(String member, Consumer<AttemptEnd<String>> end) {
              return () -> progress;
            }
          },
          on -> {},
          counters,
          (all, actions) -> {
            this.actions = actions;
            return new Scripted(actions) {
              @Override
              public void onRequest(double now, Request r) {
                id = r.id();
                actions.send(r.id(), "m", 0);
              }

              @Override
              public void onOutcome(double now, Outcome o) {
                outcomes.add(o.member() + " " + o.status() + (o.requestDone() ? " over" : ""));
                if (o.requestDone() && o.status() == Status.OK) {
                  actions.cancel(o.request(), 1 - o.number());
                }
              }
            };
          });
    }
  }

  private void submit(Pooler<String, String> of) {
    of.submit(new Ports.ClientRequest<>(0, now + 500, "s", Double.NaN, 1, "q"), answers::add);
  }

  /**
   * Guards against a hedged attempt that the settings allow and the core drops: the read then
   * waited for the silent member until its deadline.
   */
  @Test
  void aSecondCopyGoesOutWhereTheSettingsAllowItAndTheFirstAnswerCounts() {
    var c = new Copying();
    Pooler<String, String> of = c.pooler(true);
    submit(of);
    c.actions.send(c.id, "n", 0);
    c.actions.send(c.id, "o", 0);
    assertThat(c.sent).hasSize(2);
    assertThat(c.outcomes).containsExactly("o MOOT");
    c.sent.get(1).ended(new AttemptEnd.Served<>("mine", AttemptEnd.MemberReport.NONE));
    assertThat(answers)
        .containsExactly(new FinalAnswer.Served<>("mine", AttemptEnd.MemberReport.NONE));
    assertThat(c.outcomes).containsExactly("o MOOT", "n OK over", "m CANCELLED over");
    assertThat(c.abandoned).containsExactly("m");
    c.sent.get(0).ended(new AttemptEnd.Served<>("late", AttemptEnd.MemberReport.NONE));
    runUntil(2000);
    assertThat(answers).hasSize(1);
  }

  @Test
  void noCopyGoesOutWhereTheSettingsDoNotAllowIt() {
    var c = new Copying();
    submit(c.pooler(false));
    c.actions.send(c.id, "n", 0);
    assertThat(c.sent).hasSize(1);
    assertThat(c.outcomes).containsExactly("n MOOT");
  }

  /**
   * An answer that has begun belongs to its client: the other attempt's answer neither ends it nor
   * is mixed into it.
   */
  @Test
  void ofTwoCopiesOnlyTheOneThatBeganAnswers() {
    var c = new Copying();
    var began = new ArrayList<String>();
    Pooler<String, String> of = c.pooler(true);
    of.submit(
        new Ports.ClientRequest<>(0, now + 500, "s", Double.NaN, 1, "q"),
        new Ports.Reply<String>() {
          @Override
          public void answerBegan(String answer) {
            began.add(answer);
          }

          @Override
          public void answer(FinalAnswer<String> answer) {
            answers.add(answer);
          }
        });
    c.actions.send(c.id, "n", 0);
    assertThat(c.sent.get(0).answerBegan("long")).isTrue();
    assertThat(c.sent.get(1).answerBegan("other")).isFalse();
    c.sent.get(1).ended(new AttemptEnd.Served<>("other", AttemptEnd.MemberReport.NONE));
    assertThat(answers).isEmpty();
    c.sent.get(0).ended(new AttemptEnd.Broken<>(AttemptProgress.ANSWERED, "broke"));
    assertThat(answers).hasSize(1).first().isInstanceOf(FinalAnswer.Failed.class);
    assertThat(began).containsExactly("long");
  }
}
