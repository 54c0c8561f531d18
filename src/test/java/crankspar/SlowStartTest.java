package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Role;
import crankspar.Router.Status;
import crankspar.gossip.GossipReceiver;
import crankspar.policy.RequestRouter;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What one instance sends to a cold member: its part of what all instances may send together. */
class SlowStartTest {
  /** Twice the window of the settings: a token is lost after this (ms). */
  private static final double TOKEN_LIFETIME_MS = 3000;

  private final Fake fake = new Fake();
  private int asked;

  @BeforeEach
  void aColdReplicaBesideAWarmOne() {
    fake.siblings = 30;
    fake.reports = Router.Reports.IN_PROBES;
    fake.start(Fake.member("p", "far", Health.RUNNING, true, 0), Fake.member("warm", "near"));
    fake.router.onMembers(fake.now, ListKind.FULL, List.of(Fake.member("p", "far"), warm()));
    fake.router.onMembers(fake.now, ListKind.CHANGES, List.of(cold()));
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.probeResult("warm", Role.REPLICA, 10);
    fake.probeResult("cold", Role.REPLICA, 10);
  }

  private static Router.Member warm() {
    return Fake.member("warm", "near");
  }

  private Router.Member cold() {
    return Fake.member("cold", "near", Health.RUNNING, false, fake.now);
  }

  /** How many of these requests go to the cold member; those sent elsewhere are answered or not. */
  private int sentToCold(int requests, boolean answered, int kind) {
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      String id = "r" + asked++;
      String at = fake.ask(id, kind);
      sent += "cold".equals(at) ? 1 : 0;
      if (answered && at != null) {
        fake.end(id, Status.OK, "p".equals(at) ? Role.PRIMARY : Role.REPLICA, 10);
      }
    }
    return sent;
  }

  /** Guards against a crowd of requests that nobody answers earning a share of each. */
  @Test
  void requestsThatAreNotAnsweredEarnNothing() {
    assertThat(sentToCold(500, false, Fake.OWN)).isLessThanOrEqualTo(1);
  }

  @Test
  void answersEarnItsShare() {
    assertThat(sentToCold(100, true, Fake.OWN)).isBetween(5, 20);
  }

  /** Guards against tokens that all instances save while they need none, and spend at once. */
  @Test
  void aTokenThatIsNotSpentIsLost() {
    sentToCold(100, true, Fake.WRITE);
    fake.at(TOKEN_LIFETIME_MS + 10);
    fake.probeResult("cold", Role.REPLICA, 10);
    fake.probeResult("warm", Role.REPLICA, 10);
    assertThat(sentToCold(1, false, Fake.OWN)).isZero();
  }

  /** Guards against long reads that a cold member gets by preference, a dozen of mean work each. */
  @Test
  void aReadThatIsWorthManyGoesElsewhere() {
    sentToCold(100, true, Fake.OWN);
    fake.answerTime = 2000;
    assertThat(sentToCold(10, true, Fake.LONG)).isZero();
  }

  /** Guards against all members being taken for cold by a process that has just started. */
  @Test
  void theFirstWholeListIsTakenByTheClock() {
    var started = new Fake();
    started.siblings = 30;
    started.start(Fake.member("p", "far", Health.RUNNING, true, 0), warm());
    started.router.onMembers(started.now, ListKind.CHANGES, List.of(warm()));
    double longAgo = started.now - 60_000;
    started.router.onMembers(
        started.now,
        ListKind.FULL,
        List.of(
            Fake.member("p", "far", Health.RUNNING, true, longAgo),
            Fake.member("warm", "near", Health.RUNNING, false, longAgo)));
    started.probeResult("p", Role.PRIMARY, 0);
    started.probeResult("warm", Role.REPLICA, 10);
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      sent += "warm".equals(started.ask("w" + i, Fake.OWN)) ? 1 : 0;
      started.end("w" + i, Status.OK, Role.REPLICA, 10);
    }
    assertThat(sent).isEqualTo(20);
  }

  /** Guards against a member that is cold again each time that an operator's return expires. */
  @Test
  void aStartThatWasReportedBeforeIsNoNewOne() {
    double listed = fake.now;
    for (int i = 0; i < 3; i++) {
      fake.at(20_000 * (2 * i + 1));
      fake.router.onMembers(fake.now, ListKind.CHANGES, List.of(cold()));
      fake.at(20_000 * (2 * i + 2));
      fake.router.onMembers(
          fake.now,
          ListKind.CHANGES,
          List.of(Fake.member("cold", "near", Health.RUNNING, false, listed)));
    }
    assertThat(fake.router.counters().get("slow_start_starts")).isEqualTo(4);
  }

  /** Guards against every instance probing a member at once that has just been listed. */
  @Test
  void aProbeOfAColdMemberSpendsAToken() {
    fake.at(20_000 - 10_000);
    long probes = fake.actions.stream().filter("probe cold"::equals).count();
    assertThat(probes).as("none was earned").isZero();
  }

  @Test
  void theFiguresTellWhatWasSentAndWhatWasDenied() {
    sentToCold(100, true, Fake.OWN);
    assertThat(fake.router.counters().get("slow_start_starts")).isOne();
    assertThat(fake.router.counters().get("slow_start_sent")).isBetween(5L, 20L);
    assertThat(fake.router.counters().get("slow_start_denied")).isPositive();
    assertThat(fake.actions).anyMatch(a -> a.contains("member cold has started, cold"));
  }

  /** Guards against a fleet that tells each other by gossip hiding what its routers count. */
  @Test
  void theFiguresAreThereWherePoolersTellEachOther() {
    Router router =
        GossipReceiver.before((s, actions) -> new RequestRouter(s, actions))
            .apply(fake.settings(), fake);
    assertThat(router).isInstanceOf(GossipReceiver.class);
    assertThat(router.counters()).containsKeys("slow_start_sent", "slow_start_denied");
  }
}
