package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Reports;
import crankspar.Router.Role;
import crankspar.Router.Status;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Reads in one of a hundred poolers that exchange no reports. Each pooler heard from a database
 * once in ten seconds and so knew no replica to be within the staleness bound of half a second.
 * Every bounded read went to its group's primary (a fifth of the databases), and reads beyond its
 * capacity were refused: on Riga's calm day 18,248 of 19,740 refusals in the request log were
 * bounded reads without an attempt, while the replicas were idle.
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
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.at(200);
  }

  private long probesOf(String member) {
    return fake.actions.stream().filter(a -> a.equals("probe " + member)).count();
  }

  private long probes() {
    return fake.actions.stream().filter(a -> a.startsWith("probe ")).count();
  }

  private String asked() {
    return probesOf("r1") > 0 ? "r1" : "r2";
  }

  private String other() {
    return asked().equals("r1") ? "r2" : "r1";
  }

  /** Lets the primary answer late until it takes no more reads. */
  private void strain() {
    for (int i = 0; i < 4; i++) {
      fake.ask("w" + i, Fake.WRITE);
      fake.router.onOutcome(
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
    fake.probeResult(asked(), Role.REPLICA, 50);
    assertThat(fake.attempts).last().asString().startsWith("b 0 " + asked());
  }

  @Test
  void allReadsOfAGroupWaitForOneAnswer() {
    strain();
    fake.ask("a", Fake.BROWSE);
    fake.ask("b", Fake.BROWSE);
    fake.ask("c", Fake.OWN, 750, "s");
    assertThat(probes()).isOne();
    fake.probeResult(asked(), Role.REPLICA, 50);
    assertThat(fake.sends("a")).isOne();
    assertThat(fake.sends("b")).isOne();
  }

  @Test
  void afterOneThatIsBehindTheNextIsAsked() {
    strain();
    fake.ask("b", Fake.BROWSE);
    String first = asked();
    String second = other();
    fake.probeResult(first, Role.REPLICA, STALE);
    assertThat(probesOf(second)).isOne();
    fake.probeResult(second, Role.REPLICA, 50);
    assertThat(fake.attempts).last().asString().startsWith("b 0 " + second);
  }

  @Test
  void aProbeThatFailsLeavesTheReadToTheNext() {
    strain();
    fake.ask("b", Fake.BROWSE);
    String second = other();
    fake.router.onProbe(
        fake.now, new Router.ProbeResult(asked(), false, 250, Role.UNKNOWN, Double.NaN));
    assertThat(probesOf(second)).isOne();
  }

  /**
   * Such a read waited for the primary, which it may not be sent to again, and was refused without
   * a probe.
   */
  @Test
  void aReadThatFailedAtThePrimaryAsksAReplica() {
    assertThat(fake.ask("b", Fake.BROWSE)).isEqualTo("p");
    fake.end("b", Status.RESET, Role.UNKNOWN, 0);
    assertThat(probes()).isOne();
    fake.probeResult(asked(), Role.REPLICA, 50);
    assertThat(fake.attempts).last().asString().startsWith("b 1 " + asked());
  }

  /** Without a probe answer the read goes to the primary, well within its target latency. */
  @Test
  void whoseWaitIsOverGoesToThePrimary() {
    strain();
    fake.ask("b", Fake.BROWSE);
    fake.at(200 + 89);
    assertThat(fake.sends("b")).isZero();
    fake.at(200 + 150);
    assertThat(fake.attempts).last().asString().startsWith("b 0 p");
  }

  /** Requests earn the tokens for probes: at most one each, and a few saved. */
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
    fake.router.onPeerReports(
        fake.now,
        java.util.List.of(new Router.PeerReport("p", Role.PRIMARY, fake.now, fake.now, 0)));
    strain();
    fake.ask("b", Fake.BROWSE);
    assertThat(probes()).isZero();
  }
}
