package crankspar;

import static crankspar.Fake.ANY;
import static crankspar.Fake.BROWSE;
import static crankspar.Fake.FRESH;
import static crankspar.Fake.OWN;
import static crankspar.Fake.WRITE;
import static crankspar.Fake.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the routing policy: normal routing, roles, deadlines, repeats, and members that change. */
class RequestRouterTest extends RequestRouterFixture {
  // ---- Normal routing ----
  @Test
  void readsGoToTheNearestZonesReplicas() {
    Fake f = group();
    for (int i = 0; i < 4; i++) {
      assertTrue(Set.of("a", "b").contains(f.ask("r" + i, BROWSE)));
    }
  }

  @Test
  void measuredLatencySortsTheZones() {
    Fake f = group();
    f.router.onProbe(f.now, new Router.ProbeResult("a", true, 9, Role.REPLICA, f.now));
    f.at(11_000);
    f.router.onProbe(f.now, new Router.ProbeResult("a", true, 9, Role.REPLICA, f.now));
    f.router.onProbe(f.now, new Router.ProbeResult("c", true, 2, Role.REPLICA, f.now));
    f.router.onProbe(f.now, new Router.ProbeResult("p", true, 3, Role.PRIMARY, f.now));
    f.at(12_100);
    f.probeResult("c", Role.REPLICA, 0);
    f.probeResult("a", Role.REPLICA, 900);
    f.probeResult("b", Role.REPLICA, 900);
    assertEquals("c", f.ask("r", BROWSE));
  }

  @Test
  void aLaggingZoneSendsReadsToTheNext() {
    Fake f = group();
    f.at(600);
    f.probeResult("c", Role.REPLICA, 10);
    assertEquals("c", f.ask("r", BROWSE, 1200, "s"));
  }

  @Test
  void noReplicaPassesSoThePrimaryServes() {
    Fake f = group();
    f.at(600);
    assertEquals("p", f.ask("r", BROWSE));
  }

  @Test
  void aSessionsReadSeesItsWrites() {
    Fake f = group();
    assertEquals("p", f.ask("w", WRITE));
    f.at(30);
    f.end("w", Status.OK, Role.PRIMARY, 1);
    assertEquals("p", f.ask("mine", OWN));
    assertNotEquals("p", f.ask("other", OWN, 750, "t"));
    f.probeResult("c", Role.REPLICA, 0);
    assertEquals("c", f.ask("mine2", OWN));
  }

  @Test
  void carriedMarksAreKept() {
    Fake f = new Fake();
    f.sessionMarks = Router.SessionMarks.CARRIED;
    group(f);
    f.router.onRequest(f.now, new Router.Request("r", OWN, 750, "s", 2, 1));
    assertTrue(f.did("send r p"));
    f.router.onRequest(f.now, new Router.Request("q", OWN, 750, "s", 0, 1));
    assertFalse(f.did("send q p"));
  }

  @Test
  void theLessBusyOfTwoIsPicked() {
    Fake f = group();
    int[] seen = new int[2];
    for (int i = 0; i < 6; i++) {
      seen[f.ask("r" + i, BROWSE).equals("a") ? 0 : 1]++;
    }
    assertTrue(Math.abs(seen[0] - seen[1]) <= 3, seen[0] + " and " + seen[1]);
  }

  @Test
  void unheardReplicasAreProbedWhereProbesTellPositions() {
    Fake f = new Fake();
    f.reports = Router.Reports.IN_PROBES;
    f.behind = Router.LaggingRead.REFUSES;
    f.start(member("p", "far"), member("a", "near"));
    f.at(1500);
    assertTrue(f.did("probe a"));
  }

  @Test
  void aReplicaThatChecksMayTakeABoundedReadUnheard() {
    Fake f = new Fake();
    f.behind = Router.LaggingRead.REFUSES;
    f.start(member("a", "near"));
    assertEquals("a", f.ask("r", BROWSE));
    f.end("r", Status.MISS, Role.REPLICA, 9000);
    assertEquals(
        1, f.sends("r"), "nobody else is known to be fresh, and the guess is not repeated");
  }

  // ---- Who is primary ----
  @Test
  void writesSearchInIdOrderOneAtATime() {
    Fake f = new Fake().start(member("p", "far"), member("a", "near"), member("b", "near"));
    assertEquals("a", f.ask("w", WRITE));
    assertNull(f.ask("w2", WRITE));
    f.end("w", Status.MISS, Role.REPLICA, 0);
    assertEquals("b", Fake.memberOf(f.attempts.get(f.attempts.size() - 1)));
    f.end(f.attempts.get(f.attempts.size() - 1).split(" ")[0], Status.MISS, Role.REPLICA, 0);
    assertEquals("p", Fake.memberOf(f.attempts.get(f.attempts.size() - 1)));
  }

  @Test
  void aFullRoundOfMissesWaits() {
    Fake f = new Fake().start(member("a", "near"), member("b", "near"));
    f.ask("w", WRITE);
    f.end("w", Status.MISS, Role.REPLICA, 0);
    f.end("w", Status.MISS, Role.REPLICA, 0);
    assertEquals(2, f.sends("w"));
    f.at(25);
    assertEquals(2, f.sends("w"));
    f.at(150);
    assertEquals(3, f.sends("w"));
  }

  @Test
  void theNewestRoleNoteWins() {
    Fake f = group();
    f.at(100);
    f.ask("r", ANY);
    String at = Fake.memberOf(f.attempts.get(0));
    f.end("r", Status.OK, Role.PRIMARY, 0);
    assertEquals(at, f.ask("w", WRITE));
    f.probeResult("p", Role.PRIMARY, 90);
    assertEquals(at, f.ask("w2", WRITE), "an old report does not win");
  }

  @Test
  void theListNamesThePrimaryBeforeAnyNote() {
    Fake f = new Fake();
    f.roleInList = Router.RoleInList.LATE;
    f.start(member("a", "near"), member("z", "far", Health.RUNNING, true, 0));
    assertEquals("z", f.ask("w", WRITE));
  }

  // ---- Rules ----
  @Test
  void oneFinalAnswerByTheDeadline() {
    Fake f = group();
    f.ask("w", WRITE, 900, "s");
    f.at(899);
    f.end("w", Status.TIMEOUT, Role.UNKNOWN, 0);
    f.at(2000);
    assertEquals(1, f.finalAnswers("w"));
    assertTrue(f.did("fail w"), "it may have run: no refusal");
    assertEquals(1, f.sends("w"));
  }

  @Test
  void nothingKnownStillAnswers() {
    Fake f = new Fake().start();
    f.ask("w", WRITE);
    f.ask("r", BROWSE);
    f.router.onRequest(f.now, new Router.Request("x", ANY, 700, null, -1, 99));
    f.router.onMembers(f.now, ListKind.FULL, List.of());
    f.router.onTimer(f.now, 424242);
    f.router.onClientGone(f.now, "never");
    f.router.onOutcome(
        f.now, new Router.Outcome("never", 0, "a", Status.OK, 1, true, Role.PRIMARY, f.now));
    f.at(4000);
    for (String id : List.of("w", "r", "x")) {
      assertEquals(1, f.finalAnswers(id), id);
      assertTrue(f.did("refuse " + id));
    }
  }

  @Test
  void unsafeWorkThatMayHaveRunIsNotSentAgain() {
    Fake f = new Fake();
    f.writes = Router.Repeat.UNSAFE;
    group(f);
    f.ask("w", WRITE);
    f.end("w", Status.ERROR, Role.PRIMARY, 0);
    f.at(4000);
    assertEquals(1, f.sends("w"));
    assertTrue(f.did("fail w"));
  }

  @Test
  void keyedWorkIsSentAgainOnlyWhileItsKeyIsKnown() {
    Fake f = group();
    f.ask("w", WRITE);
    f.at(100);
    f.end("w", Status.ERROR, Role.PRIMARY, 0);
    f.at(200);
    assertEquals(2, f.sends("w"));
    f.at(1950);
    f.end("w", Status.ERROR, Role.PRIMARY, 0);
    f.at(4000);
    assertEquals(2, f.sends("w"));
    assertTrue(f.did("fail w"));
  }

  @Test
  void noSecondCopyWhereForbidden() {
    Fake f = new Fake();
    f.secondCopies = false;
    group(f);
    String first = f.ask("r", ANY);
    for (int i = 0; i < 5; i++) {
      f.ask("q" + i, ANY);
    }
    f.at(380);
    assertTrue(f.did("cancel r 0"), first);
    assertEquals(1, f.sends("r"));
  }

  @Test
  void drainingAndGoneMembersGetNothingMore() {
    Fake f = group();
    f.router.onMembers(
        f.now,
        ListKind.CHANGES,
        List.of(
            member("a", "near", Health.DRAINING, false, 0),
            member("b", "near", Health.GONE, false, 0)));
    assertEquals("c", f.ask("r", BROWSE));
    f.router.onMembers(f.now, ListKind.FULL, List.of(member("p", "far")));
    assertEquals("p", f.ask("r2", BROWSE));
  }

  @Test
  void aColdMemberGetsNoBurst() {
    Fake f = group();
    f.at(100);
    f.router.onMembers(
        f.now, ListKind.CHANGES, List.of(member("a", "near", Health.RUNNING, false, f.now)));
    f.probeResult("a", Role.REPLICA, 0);
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      if ("a".equals(f.ask("r" + i, ANY))) {
        sent++;
        f.end("r" + i, Status.OK, Role.REPLICA, 0);
      }
    }
    assertTrue(sent <= 2, "sent " + sent);
  }

  @Test
  void noStaleReadAtAGuessedPrimary() {
    Fake f = new Fake().start(member("a", "near"), member("b", "near"));
    assertNull(f.ask("r", BROWSE));
    assertNull(f.ask("f", FRESH));
    assertNotNull(f.ask("o", OWN, 750, "nothing written"));
  }

  @Test
  void aFallbackReadAvoidsAPrimaryThatSaidItIsNone() {
    Fake f = group();
    f.ask("w", WRITE);
    f.end("w", Status.MISS, Role.REPLICA, 3000);
    f.at(700);
    assertNotEquals("p", f.ask("r", BROWSE));
  }

  // ---- Faults and overload ----
  @Test
  void silenceIsNoticedAndReadsMoveOn() {
    Fake f = group();
    String first = f.ask("r", ANY);
    for (int i = 0; i < 5; i++) {
      f.ask("q" + i, ANY);
    }
    f.at(300);
    assertTrue(f.sends("r") + f.sends("q0") + f.sends("q1") > 3, first + " " + f.attempts);
  }

  @Test
  void aSilentPrimaryGetsNoMoreWritesButTrials() {
    Fake f = group();
    f.ask("w0", WRITE);
    f.ask("w1", WRITE);
    f.at(1000);
    long before = f.attempts.stream().filter(t -> t.endsWith(" p")).count();
    for (int i = 2; i < 12; i++) {
      f.ask("w" + i, WRITE);
    }
    long after = f.attempts.stream().filter(t -> t.endsWith(" p")).count();
    assertTrue(after - before <= 1, before + " then " + after);
    f.at(5000);
    for (int i = 2; i < 12; i++) {
      assertEquals(1, f.finalAnswers("w" + i));
    }
  }

  @Test
  void anErringReplicaLosesItsReads() {
    Fake f = group();
    int last = 0;
    for (int i = 0; i < 40; i++) {
      f.at(i * 4);
      f.probeResult("a", Role.REPLICA, 0);
      f.probeResult("b", Role.REPLICA, 0);
      String to = f.ask("r" + i, ANY);
      boolean bad = "a".equals(to);
      last += bad && i >= 20 ? 1 : 0;
      f.end("r" + i, bad ? Status.ERROR : Status.OK, Role.REPLICA, 0);
    }
    assertTrue(last <= 2, "still sent " + last);
  }

  @Test
  void aFullMemberIsLeftAlone() {
    Fake f = group();
    String to = f.ask("r", ANY);
    f.end("r", Status.FULL, Role.REPLICA, 0);
    for (int i = 0; i < 3; i++) {
      assertNotEquals(to, f.ask("q" + i, ANY));
    }
  }

  @Test
  void theHopelessAreRefusedBeforeTheirAim() {
    Fake f = new Fake().start(member("a", "near"), member("b", "near"));
    f.ask("r", BROWSE);
    f.at(290);
    assertTrue(f.did("refuse r"));
  }

  @Test
  void aLostWatchIsAskedAgain() {
    Fake f = group();
    long before = f.actions.stream().filter("watch true"::equals).count();
    f.router.onWatchLost(f.now);
    f.at(1000);
    assertEquals(before + 1, f.actions.stream().filter("watch true"::equals).count());
  }

  @Test
  void theSameEventsGiveTheSameActions() {
    assertEquals(play(), play());
  }

  private static List<String> play() {
    Fake f = group();
    for (int i = 0; i < 50; i++) {
      f.at(i * 7);
      if (f.ask("r" + i, i % 5) != null && i % 3 != 0) {
        f.end("r" + i, Status.OK, Role.UNKNOWN, 0);
      }
    }
    f.at(5000);
    return f.actions;
  }

  @Test
  void badSettingsAreNamed() {
    var e =
        org.junit.jupiter.api.Assertions.assertThrows(
            IllegalArgumentException.class,
            () -> new Router.Guarantees(20, 1, 0.2, 1, 1, 2, -5, false));
    assertTrue(e.getMessage().contains("fall"), e.getMessage());
  }
}
