package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Reports;
import crankspar.Router.Role;
import crankspar.Router.Status;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Reads of one pooler of a hundred that tell each other nothing. Each hears of a database once in
 * ten seconds, so that it knew no replica to be within the bound of half a second; every bounded
 * read went to its group's primary, a fifth of the databases, and what those could not take was
 * refused. On Riga's calm day the request log had 18,248 of 19,740 refusals as bounded reads
 * without one attempt, while the replicas had nothing to do.
 */
class PositionsTest {
  private static final double STALE = 900;
  private static final double LATE = 400;

  private final Fake fake = new Fake();

  @BeforeEach
  void oneOfManyThatTellEachOtherNothing() {
    fake.siblings = 100;
    fake.reports = Reports.IN_PROBES;
    fake.start(
        Fake.member("p", "near", Health.RUNNING, true, 0),
        Fake.member("r1", "near"),
        Fake.member("r2", "near"),
        Fake.member("r3", "far"));
    fake.hear("p", Role.PRIMARY, 0);
    fake.at(200);
  }

  private long probesOf(String member) {
    return fake.acts.stream().filter(a -> a.equals("probe " + member)).count();
  }

  private long probes() {
    return fake.acts.stream().filter(a -> a.startsWith("probe ")).count();
  }

  private String asked() {
    return probesOf("r1") > 0 ? "r1" : "r2";
  }

  private String other() {
    return asked().equals("r1") ? "r2" : "r1";
  }

  /** Late answers of the primary, until it is no place for further reads. */
  private void strain() {
    for (int i = 0; i < 4; i++) {
      fake.ask("w" + i, Fake.WRITE);
      fake.module.onOutcome(
          fake.now,
          new Router.Outcome("w" + i, 0, "p", Status.OK, LATE, true, Role.PRIMARY, fake.now - 1));
    }
  }

  @Test
  void aPrimaryThatIsNotStrainedServesAtOnce() {
    assertThat(fake.ask("b", Fake.BROWSE)).isEqualTo("p");
    assertThat(probes()).isZero();
  }

  @Test
  void beforeAStrainedPrimaryANearReplicaIsAskedAndServes() {
    strain();
    assertThat(fake.ask("b", Fake.BROWSE)).isNull();
    assertThat(probes()).isOne();
    assertThat(probesOf("r3")).as("in another zone").isZero();
    fake.hear(asked(), Role.REPLICA, 50);
    assertThat(fake.tries).last().asString().startsWith("b 0 " + asked());
  }

  @Test
  void allReadsOfAGroupWaitForOneAnswer() {
    strain();
    fake.ask("a", Fake.BROWSE);
    fake.ask("b", Fake.BROWSE);
    fake.ask("c", Fake.OWN, 750, "s");
    assertThat(probes()).isOne();
    fake.hear(asked(), Role.REPLICA, 50);
    assertThat(fake.sends("a")).isOne();
    assertThat(fake.sends("b")).isOne();
  }

  @Test
  void afterOneThatIsBehindTheNextIsAsked() {
    strain();
    fake.ask("b", Fake.BROWSE);
    String first = asked();
    String second = other();
    fake.hear(first, Role.REPLICA, STALE);
    assertThat(probesOf(second)).isOne();
    fake.hear(second, Role.REPLICA, 50);
    assertThat(fake.tries).last().asString().startsWith("b 0 " + second);
  }

  @Test
  void aProbeThatFailsLeavesTheReadToTheNext() {
    strain();
    fake.ask("b", Fake.BROWSE);
    String second = other();
    fake.module.onProbe(
        fake.now, new Router.ProbeResult(asked(), false, 250, Role.UNKNOWN, Double.NaN));
    assertThat(probesOf(second)).isOne();
  }

  /**
   * It counted on the primary, which it is not sent to again, and was refused with nobody asked.
   */
  @Test
  void aReadThatFailedAtThePrimaryAsksAReplica() {
    assertThat(fake.ask("b", Fake.BROWSE)).isEqualTo("p");
    fake.end("b", Status.RESET, Role.UNKNOWN, 0);
    assertThat(probes()).isOne();
    fake.hear(asked(), Role.REPLICA, 50);
    assertThat(fake.tries).last().asString().startsWith("b 1 " + asked());
  }

  /** What no replica answers for goes to the primary as before, well within the read's aim. */
  @Test
  void whoseWaitIsOverGoesToThePrimary() {
    strain();
    fake.ask("b", Fake.BROWSE);
    fake.at(200 + 89);
    assertThat(fake.sends("b")).isZero();
    fake.at(200 + 150);
    assertThat(fake.tries).last().asString().startsWith("b 0 p");
  }

  /** Each probe is paid for: one a request at most, and a few saved up. */
  @Test
  void probesAreNoMoreThanRequests() {
    strain();
    for (int i = 0; i < 200; i++) {
      fake.ask("b" + i, Fake.BROWSE);
      fake.at(200 + 10 * i);
    }
    assertThat(probes()).isLessThanOrEqualTo(220);
  }

  @Test
  void wherePeersTellPositionsNoneIsAskedFor() {
    fake.module.onPeerReports(
        fake.now,
        java.util.List.of(new Router.PeerReport("p", Role.PRIMARY, fake.now, fake.now, 0)));
    strain();
    fake.ask("b", Fake.BROWSE);
    assertThat(probes()).isZero();
  }
}
