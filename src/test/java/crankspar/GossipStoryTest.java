package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.PeerReport;
import crankspar.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What peers tell reaches the decisions: with fourteen poolers each sees a replica's answers too
 * seldom for a bound.
 */
class GossipStoryTest {
  private final Fake fake = new Fake();

  private Fake fleet() {
    fake.siblings = 14;
    fake.secondCopies = false;
    fake.start(Fake.member("p", "near"), Fake.member("r", "near"));
    fake.hear("p", Role.PRIMARY, 0);
    fake.hear("r", Role.REPLICA, 0);
    return fake;
  }

  @Test
  void aReplicaThatAPeerHasHeardTakesBoundedReads() {
    fleet().at(900);
    assertThat(fake.ask("old", Fake.BROWSE))
        .isEqualTo("p"); // its own word on r is older than the bound
    fake.module.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.REPLICA, fake.now - 60, fake.now, 0)));
    assertThat(fake.ask("new", Fake.BROWSE)).isEqualTo("r");
  }

  @Test
  void anOlderWordNeverLowersAPositionNorUndoesARole() {
    fleet().at(900);
    fake.module.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.REPLICA, fake.now - 60, fake.now, 0)));
    fake.module.onPeerReports(
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
    fake.module.onPeerReports(
        fake.now, List.of(new PeerReport("r", Role.PRIMARY, fake.now - 60, fake.now, 0)));
    assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("r");
  }

  @Test
  void noMemberIsSentToThatTheOwnListHasNotNamed() {
    fleet().at(900);
    fake.module.onPeerReports(
        fake.now, List.of(new PeerReport("q", Role.PRIMARY, fake.now, fake.now, 0)));
    assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("p");
    assertThat(fake.ask("read", Fake.BROWSE)).isNotEqualTo("q");
  }

  private void told(String member, Role role, double ago) {
    fake.module.onPeerReports(
        fake.now, List.of(new PeerReport(member, role, fake.now - ago, fake.now, 0)));
  }

  /**
   * Guards against a lost connect at a member seldom used here that is busy elsewhere: silent at
   * once, then cold for 15 s.
   */
  @Test
  void oneLostConnectIsNoCrashWherePeersHearTheMember() {
    fleet().at(3000);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.module.avoided()).isEmpty();
    fake.at(3200);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("two", Fake.BROWSE)).isEqualTo("r");
  }

  /**
   * Guards against silences where nobody can hear a member often: 1,995 on one herd day, most of
   * them false.
   */
  @Test
  void whereNobodyCanTellOneLostConnectOrSlowAnswerIsNoCrash() {
    fleet().at(400);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.at(600);
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.module.avoided()).isEmpty();
    fake.hear("r", Role.REPLICA, 0);
    fake.at(900);
    assertThat(fake.ask("slow", Fake.BROWSE)).isEqualTo("r");
    fake.at(1200);
    assertThat(fake.module.avoided()).isEmpty();
    fake.at(2100);
    assertThat(fake.module.avoided()).as("it owes too many answers").contains("r");
  }

  @Test
  void oneLostConnectAtAMemberThatNobodyHearsIsACrash() {
    fleet().at(400);
    told("p", Role.PRIMARY, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.at(1300);
    fake.end("one", Router.Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    assertThat(fake.module.avoided()).containsExactly("r");
  }

  /** A cold return that a peer met first: it is not pushed over by those who only heard of it. */
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
   * Guards against one slow answer in a hundred that had its member passed over for half a second.
   */
  @Test
  void aSlowAnswerIsNoSilenceWherePeersHearTheMember() {
    fleet().at(400);
    assertThat(fake.ask("slow", Fake.BROWSE)).isEqualTo("r");
    for (int t = 420; t <= 680; t += 20) {
      fake.at(t);
      told("r", Role.REPLICA, 10);
    }
    assertThat(fake.module.avoided()).isEmpty();
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
    assertThat(fake.module.avoided()).containsExactly("r");
  }

  @Test
  void anAttemptThatNeverLeftSaysNothingOfItsMember() {
    fleet().at(3000);
    told("r", Role.REPLICA, 10);
    assertThat(fake.ask("one", Fake.BROWSE)).isEqualTo("r");
    fake.end("one", Router.Status.MOOT, Role.UNKNOWN, 0);
    assertThat(fake.module.avoided()).isEmpty();
    assertThat(fake.tries).last().asString().as("the next takes it").endsWith("p");
  }

  /**
   * Guards against fourteen poolers that each hold little at a database and together overrun it:
   * luck was no bound.
   */
  @Test
  void aMemberThatPeersKeepBusyGetsNoMore() {
    fleet().at(400);
    fake.module.onPeerReports(
        fake.now,
        List.of(
            new PeerReport("r", Role.REPLICA, fake.now - 10, fake.now, 30),
            new PeerReport("p", Role.PRIMARY, fake.now - 10, fake.now, 30)));
    assertThat(fake.ask("waits", Fake.BROWSE)).isNull();
    fake.module.onPeerReports(
        fake.now,
        List.of(
            new PeerReport(
                "r", Role.UNKNOWN, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, 1)));
    assertThat(fake.tries)
        .as("room is news, and the line moves at once")
        .last()
        .isEqualTo("waits 0 r");
  }

  /**
   * Guards against bounds for all poolers' requests that go on holding where only the own are known
   * any more.
   */
  @Test
  void aMemberIsBoundedByLuckAgainOnceLoadsAreUnknown() {
    fleet().at(400);
    told("r", Role.REPLICA, 10);
    told("p", Role.PRIMARY, 10);
    fake.module.onPeerReports(
        fake.now,
        List.of(
            new PeerReport(
                "r", Role.UNKNOWN, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, -1)));
    int sent = 0;
    for (int i = 0; i < 40; i++) { // each is late: own answers' times are all there is to go by
      fake.at(400 + 20 * i);
      fake.hear("r", Role.REPLICA, 0);
      if ("r".equals(fake.ask("c" + i, Fake.BROWSE))) {
        sent++;
        fake.module.onOutcome(
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
    fake.hear("p", Role.PRIMARY, 0);
    int there = 0;
    for (int i = 0; i < 40; i++) {
      fake.module.onPeerReports(
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
