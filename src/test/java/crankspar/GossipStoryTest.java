package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.PeerReport;
import crankspar.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that peer reports reach the routing policy: with fourteen poolers, each sees a replica's
 * answers too seldom to meet a staleness bound.
 */
class GossipStoryTest {
  private final Fake fake = new Fake();

  private Fake fleet() {
    fake.siblings = 14;
    fake.secondCopies = false;
    fake.start(Fake.member("p", "near"), Fake.member("r", "near"));
    fake.probeResult("p", Role.PRIMARY, 0);
    fake.probeResult("r", Role.REPLICA, 0);
    return fake;
  }

  @Test
  void aReplicaThatAPeerHasHeardTakesBoundedReads() {
    fleet().at(900);
    assertThat(fake.ask("old", Fake.BROWSE))
        .isEqualTo("p"); // its own data about r is older than the bound
    fake.router.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.REPLICA, fake.now - 60, fake.now, 0)));
    assertThat(fake.ask("new", Fake.BROWSE)).isEqualTo("r");
  }

  @Test
  void anOlderWordNeverLowersAPositionNorUndoesARole() {
    fleet().at(900);
    fake.router.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.REPLICA, fake.now - 60, fake.now, 0)));
    fake.router.onPeerReports(
        fake.now,
        List.of(
            new PeerReport("r", Role.PRIMARY, fake.now - 5000, fake.now, 0),
            new PeerReport("p", Role.REPLICA, fake.now - 5000, fake.now, 0)));
    assertThat(fake.ask("read", Fake.BROWSE)).isEqualTo("r");
    assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("p");
  }

  @Test
  void aNewPrimaryIsFollowedOnAPeersWord() {
    fleet().at(900);
    fake.router.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.PRIMARY, fake.now - 60, fake.now, 0)));
    assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("r");
  }

  @Test
  void noMemberIsSentToThatTheOwnListHasNotNamed() {
    fleet().at(900);
    fake.router.onPeerReports(
        fake.now, List.of(new PeerReport("q", Role.PRIMARY, fake.now, fake.now, 0)));
    assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("p");
    assertThat(fake.ask("read", Fake.BROWSE)).isNotEqualTo("q");
  }

  private void told(String member, Role role, double ago) {
    fake.router.onPeerReports(
        fake.now, List.of(new PeerReport(member, role, fake.now - ago, fake.now, 0)));
  }

  /**
   * Guards against one failed connect to a member seldom used by this pooler but busy with others:
   * it was silent at once and then cold for 15 s.
   */
  @Test
  void oneLostConnectIsNoCrashWherePeersHearTheMember() {
    fleet().at(3000);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.router.avoided()).isEmpty();
    fake.at(3200);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("two", Fake.BROWSE)).isEqualTo("r");
  }

  /**
   * Guards against false silence where no pooler hears a member often: 1,995 cases on one day of
   * the herd scenario, most of them false.
   */
  @Test
  void whereNobodyCanTellOneLostConnectOrSlowAnswerIsNoCrash() {
    fleet().at(400);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.at(600);
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.router.avoided()).isEmpty();
    fake.probeResult("r", Role.REPLICA, 0);
    fake.at(900);
    assertThat(fake.ask("slow", Fake.BROWSE)).isEqualTo("r");
    fake.at(1200);
    assertThat(fake.router.avoided()).isEmpty();
    fake.at(2100);
    assertThat(fake.router.avoided()).as("it owes too many answers").contains("r");
  }

  @Test
  void oneLostConnectAtAMemberThatNobodyHearsIsACrash() {
    fleet().at(400);
    told("p", Role.PRIMARY, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.at(1300);
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.router.avoided()).containsExactly("r");
  }

  /**
   * A member comes back cold and a peer hears it first: poolers that only have the report must not
   * overload it.
   */
  @Test
  void aLostMemberThatAPeerHearsAgainIsTakenForCold() {
    fleet().at(400);
    told("p", Role.PRIMARY, 10);
    fake.ask("one", Fake.BROWSE);
    fake.at(1300);
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    fake.at(5000);
    told("r", Role.REPLICA, 10);
    int there = 0;
    for (int i = 0; i < 20; i++) {
      fake.at(5000 + 50 * i);
      told("r", Role.REPLICA, 10);
      there += "r".equals(fake.ask("c" + i, Fake.BROWSE)) ? 1 : 0;
    }
    assertThat(there)
        .as("sends to a cold one of 20 that would have gone there")
        .isLessThanOrEqualTo(5);
  }

  /**
   * Guards against excluding a member for half a second because of one slow answer in a hundred.
   */
  @Test
  void aSlowAnswerIsNoSilenceWherePeersHearTheMember() {
    fleet().at(400);
    assertThat(fake.ask("slow", Fake.BROWSE)).isEqualTo("r");
    for (int t = 420; t <= 680; t += 20) {
      fake.at(t);
      told("r", Role.REPLICA, 10);
    }
    assertThat(fake.router.avoided()).isEmpty();
    assertThat(fake.did("cancel slow 0")).isFalse();
  }

  @Test
  void whoOwesManyAnswersIsSilentWhateverPeersHear() {
    fleet().at(400);
    assertThat(fake.ask("cut", Fake.BROWSE)).isEqualTo("r");
    for (int t = 420; t <= 1500; t += 20) {
      fake.at(t);
      told("r", Role.REPLICA, 10);
    }
    assertThat(fake.router.avoided()).containsExactly("r");
  }

  @Test
  void anAttemptThatNeverLeftSaysNothingOfItsMember() {
    fleet().at(3000);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.end("one", Router.Status.MOOT, Role.UNKNOWN, 0);
    assertThat(fake.router.avoided()).isEmpty();
    assertThat(fake.attempts).last().asString().as("the next takes it").endsWith("p");
  }

  /**
   * Guards against fourteen poolers that each have few requests at a database and together overload
   * it: the random draw alone set no limit.
   */
  @Test
  void aMemberThatPeersKeepBusyGetsNoMore() {
    fleet().at(400);
    fake.router.onPeerReports(
        fake.now,
        List.of(
            new PeerReport("r", Role.REPLICA, fake.now - 10, fake.now, 30),
            new PeerReport("p", Role.PRIMARY, fake.now - 10, fake.now, 30)));
    assertThat(fake.ask("waits", Fake.BROWSE)).isNull();
    fake.router.onPeerReports(
        fake.now,
        List.of(
            new PeerReport(
                "r", Role.UNKNOWN, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, 1)));
    assertThat(fake.attempts)
        .as("a report of free capacity dispatches the queue at once")
        .last()
        .isEqualTo("waits 0 r");
  }

  /**
   * Guards against limits for all poolers' requests that stay in force once only the own requests
   * are known.
   */
  @Test
  void aMemberIsBoundedByLuckAgainOnceLoadsAreUnknown() {
    fleet().at(400);
    told("r", Role.REPLICA, 10);
    told("p", Role.PRIMARY, 10);
    fake.router.onPeerReports(
        fake.now,
        List.of(
            new PeerReport(
                "r", Role.UNKNOWN, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, -1)));
    int sent = 0;
    for (int i = 0;
        i < 40;
        i++) { // each answer is late: own answer times are the only measure of load
      fake.at(400 + 20 * i);
      fake.probeResult("r", Role.REPLICA, 0);
      if ("r".equals(fake.ask("c" + i, Fake.BROWSE))) {
        sent++;
        fake.router.onOutcome(
            fake.now,
            new Router.Outcome(
                "c" + i, 0, "r", Router.Status.OK, 280, true, Role.REPLICA, fake.now));
      }
    }
    assertThat(sent).as("of 40, as answers come late").isLessThan(25);
  }

  @Test
  void theLessBusyOfTwoIsByAllPoolersRequests() {
    fake.siblings = 14;
    fake.secondCopies = false;
    fake.start(Fake.member("a", "near"), Fake.member("b", "near"), Fake.member("p", "far"));
    fake.probeResult("p", Role.PRIMARY, 0);
    int there = 0;
    for (int i = 0; i < 40; i++) {
      fake.router.onPeerReports(
          fake.now,
          List.of(
              new PeerReport("a", Role.REPLICA, fake.now, fake.now, 4),
              new PeerReport("b", Role.REPLICA, fake.now, fake.now, 0)));
      there += "b".equals(fake.ask("r" + i, Fake.BROWSE)) ? 1 : 0;
      fake.end("r" + i, Router.Status.OK, Role.REPLICA, 0);
    }
    assertThat(there).as("of 40; two draws of two meet both in three of four").isGreaterThan(24);
  }
}
