package crankspar;

import static crankspar.Fake.ANY;
import static crankspar.Fake.BROWSE;
import static crankspar.Fake.FRESH;
import static crankspar.Fake.WRITE;
import static crankspar.Fake.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the policy under load: slow start, silence, overload, hedging, and members that left. */
class RequestRouterLoadTest extends RequestRouterFixture {
  // ---- Regressions found in simulation ----
  /**
   * h6fbc6f, icbb7fb: long reads held up replay on every replica, so only the primary served
   * bounded reads.
   */
  @Test
  void longReadsKeepToTheReplicaFurthestBehind() {
    Fake f = group();
    f.probeResult("c", Role.REPLICA, 0);
    f.at(50);
    f.probeResult("a", Role.REPLICA, 10);
    f.probeResult("b", Role.REPLICA, 10);
    assertEquals("c", f.ask("long", Fake.LONG, 6000, "s"));
    assertEquals("c", f.ask("long2", Fake.LONG, 6000, "s"));
    for (int i = 3; i < 9; i++) {
      f.ask("long" + i, Fake.LONG, 6000, "s");
    }
    assertTrue(
        f.attempts.stream().allMatch(t -> t.endsWith(" c")), "the others wait: " + f.attempts);
  }

  /** iaf28e5: a queue served oldest first sent every read too late. */
  @Test
  void theNewestIsSentFirst() {
    Fake f = new Fake().start(member("a", "near"));
    f.probeResult("a", Role.REPLICA, 0);
    for (int i = 0; i < 9; i++) {
      f.at(i * 2);
      f.ask("r" + i, ANY);
    }
    int first = f.attempts.size();
    assertTrue(first < 9);
    f.end("r0", Status.OK, Role.REPLICA, 0);
    assertTrue(f.attempts.get(first).startsWith("r8 "), f.attempts.toString());
  }

  /**
   * Muscat, big-1: overloaded members counted as silent before any answer was due, and reads were
   * sent twice.
   */
  @Test
  void aCrowdIsNotSilence() {
    Fake f = group();
    f.ask("r", ANY);
    f.ask("q", ANY);
    f.at(150);
    assertEquals(2, f.attempts.size());
  }

  /**
   * A hundred instances with one request each: a member that all know to be cold gets its share
   * only.
   */
  @Test
  void allInstancesTogetherKeepTheColdBudget() {
    int sent = 0;
    for (int i = 0; i < 100; i++) {
      Fake f = new Fake();
      f.siblings = 100;
      f.seed = i;
      f.start(member("a", "near", Health.RUNNING, false, Fake.ZERO));
      sent += f.ask("r", ANY) == null ? 0 : 1;
    }
    assertTrue(sent > 5 && sent < 40, sent + " of 100 sent at a fifth of the capacity");
  }

  /**
   * The list may be wrong: where only draining is binding, a member listed as gone or missing stays
   * in use.
   */
  @Test
  void whereOnlyDrainingBindsGoneMembersServe() {
    Fake f = new Fake();
    f.softRemoval = true;
    group(f);
    f.router.onMembers(
        f.now, ListKind.CHANGES, List.of(member("b", "near", Health.DRAINING, false, 0)));
    f.router.onMembers(
        f.now,
        ListKind.CHANGES,
        List.of(
            member("a", "near", Health.GONE, false, 0),
            member("b", "near", Health.GONE, false, 0)));
    f.router.onMembers(f.now, ListKind.FULL, List.of());
    assertEquals("a", f.ask("r", BROWSE));
    assertEquals("p", f.ask("w", WRITE));
  }

  /** Each rejection by a full primary doubles the backoff. */
  @Test
  void aFullPrimaryGetsPauses() {
    Fake f = group();
    f.ask("w", WRITE);
    for (int t = 10; t <= 1000; t += 10) {
      if (f.did("send w p") && f.sends("w") > f.numbers.getOrDefault("ended", -1) + 1) {
        f.numbers.put("ended", f.numbers.get("w"));
        f.end("w", Status.FULL, Role.PRIMARY, 0);
      }
      f.at(t);
    }
    assertTrue(f.sends("w") > 1 && f.sends("w") <= 6, f.sends("w") + " sends in a second");
  }

  /**
   * Requests earn the tokens for probes: an idle instance sends a handful, whatever the fleet size.
   */
  @Test
  void probesArePaidByRequests() {
    Fake f = new Fake();
    f.reports = Router.Reports.IN_PROBES;
    group(f).at(120_000);
    long probes = f.actions.stream().filter(a -> a.startsWith("probe")).count();
    assertTrue(probes > 0 && probes <= 10, probes + " probes");
  }

  /** With about one request in flight at a time, unanswered attempts still add up to silence. */
  @Test
  void unansweredAttemptsAddUpToSilence() {
    Fake f = new Fake().start(member("a", "near"));
    for (int i = 0; i < 4; i++) {
      f.at(1000 * i);
      f.ask("r" + i, ANY);
      f.at(1000 * i + 240);
      long probes = f.actions.stream().filter("probe a"::equals).count();
      assertEquals(
          i == 0 ? 0 : i < 3 ? 1 : 2,
          probes,
          "one after a second as ever, one as it is found silent");
      f.router.onOutcome(
          f.now,
          new Router.Outcome(
              "r" + i, 0, "a", Status.TIMEOUT, 240, false, Role.UNKNOWN, Double.NaN));
    }
  }

  /**
   * A single unanswered attempt is a lost answer, several in a row are an overload and lower the
   * share far more.
   */
  @Test
  void aJamIsShedFasterThanALostAnswer() {
    int[] sent = new int[2];
    for (int lost = 1; lost <= 4; lost += 3) {
      Fake f = new Fake();
      f.siblings = 100;
      f.start(member("p", "near"));
      f.probeResult("p", Role.PRIMARY, 0);
      int ended = 0;
      for (int i = 0; i < 60; i++) {
        boolean went = f.ask("r" + i, FRESH, 1000, "s") != null;
        if (ended < lost && went) {
          ended++;
          f.end("r" + i, Status.TIMEOUT, Role.UNKNOWN, 0);
        } else if (i >= 20 && went) {
          sent[lost / 4]++;
        }
      }
    }
    assertTrue(
        sent[0] > 30 && sent[1] < 15,
        sent[0] + " of 40 after one, " + sent[1] + " after four in a row");
  }

  /**
   * Where own requests in flight do not show the load, slow answers lower a member's share of
   * requests.
   */
  @Test
  void aLargeFleetShedsByAnswersTimes() {
    Fake f = new Fake();
    f.siblings = 100;
    f.start(member("p", "near"));
    f.probeResult("p", Role.PRIMARY, 0);
    int sent = 0;
    for (int i = 0; i < 60; i++) {
      f.at(2000 * i);
      String to = f.ask("w" + i, WRITE);
      sent += i >= 40 && to != null ? 1 : 0;
      f.at(2000 * i + 700);
      if (f.numbers.containsKey("w" + i)) {
        f.router.onOutcome(
            f.now, new Router.Outcome("w" + i, 0, "p", Status.OK, 700, true, Role.PRIMARY, f.now));
      }
    }
    assertTrue(sent < 12, sent + " of the last 20 sent to a primary that answers late");
  }

  /** Connection resets take a member's reads away as error answers do. */
  @Test
  void resetsCountAsErrors() {
    Fake f = new Fake();
    f.start(member("a", "near"), member("b", "near"));
    for (int i = 0; i < 40; i++) {
      f.at(20 * i);
      String to = f.ask("r" + i, ANY);
      f.end("r" + i, "a".equals(to) ? Status.RESET : Status.OK, Role.UNKNOWN, 0);
      if (f.sends("r" + i) > 1) {
        f.end("r" + i, Status.OK, Role.REPLICA, 0);
      }
    }
    int before = f.attempts.size();
    for (int i = 0; i < 6; i++) {
      f.ask("q" + i, ANY);
    }
    long toA =
        f.attempts.subList(before, f.attempts.size()).stream()
            .filter(t -> t.endsWith(" a"))
            .count();
    assertTrue(
        f.attempts.stream().anyMatch(t -> t.endsWith(" a")) && toA <= 1,
        toA + " sends after its resets");
  }

  /**
   * Trials of many instances can keep an overload going: each failed one makes the next less
   * likely.
   */
  @Test
  void aLargeFleetsTrialsOfASilentMemberDwindle() {
    Fake f = new Fake();
    f.siblings = 12;
    f.start(member("p", "near"));
    f.probeResult("p", Role.PRIMARY, 0);
    int late = 0;
    for (int i = 0; i < 60; i++) {
      f.at(1000 * i);
      f.ask("r" + i, FRESH, 1000, "s");
      f.at(1000 * i + 990);
      if (f.sends("r" + i) > 0) {
        late += i >= 20 ? 1 : 0;
        f.end("r" + i, Status.TIMEOUT, Role.UNKNOWN, 0);
      }
    }
    assertTrue(f.attempts.size() > 1 && late <= 8, late + " trials in the last forty seconds");
  }

  /**
   * An abandoned request may still run at the server: it counts as in flight for one mean answer
   * time.
   */
  @Test
  void abandonedWorkKeepsItsPlace() {
    Fake f = new Fake().start(member("a", "near"));
    f.probeResult("a", Role.REPLICA, 0);
    f.ask("r", ANY);
    f.ask("q", ANY);
    f.ask("s", ANY);
    int sent = f.attempts.size();
    f.end("r", Status.TIMEOUT, Role.UNKNOWN, 0);
    assertEquals(sent, f.attempts.size());
    f.at(40);
  }

  /**
   * Keyed writes in flight at a hung primary are resent to a new one while their key is known, not
   * later.
   */
  @Test
  void aNewPrimaryTakesOverWhatTheSilentOneHolds() {
    Fake f = group();
    assertEquals("p", f.ask("w", WRITE));
    f.at(1000);
    f.probeResult("a", Role.PRIMARY, 0);
    f.at(1100);
    assertTrue(f.did("send w a"), f.attempts.toString());
    Fake late = group();
    late.ask("w", WRITE);
    late.at(1900);
    late.probeResult("a", Role.PRIMARY, 0);
    late.at(2900);
    assertFalse(late.did("send w a"), "its key may be forgotten");
  }

  /** The first copy of a hedged read is cancelled once the second is answered. */
  @Test
  void theLosingCopyIsCalledOff() {
    Fake f = group();
    f.ask("r", ANY);
    for (int i = 0; i < 5; i++) {
      f.ask("q" + i, ANY);
    }
    f.at(380);
    String twice =
        f.attempts.stream().filter(t -> t.contains(" 1 ")).findFirst().orElseThrow().split(" ")[0];
    f.end(twice, 1, Status.OK, Role.REPLICA, 0);
    assertTrue(f.did("cancel " + twice + " 0"));
  }

  // ---- Members that left ----
  private static void replace(Fake f, String old, String young, double lastStart) {
    f.router.onMembers(
        f.now,
        ListKind.CHANGES,
        List.of(
            member(old, "near", Health.GONE, false, 0),
            member(young, "near", Health.RUNNING, false, lastStart)));
  }

  /**
   * Guards against members that left still counting in the slow-start budget: after a day of
   * replacements it was too small.
   */
  @Test
  void membersThatLeftForGoodCountNoMore() {
    Fake f = group();
    for (int i = 0; i < 200; i++) {
      replace(f, i == 0 ? "b" : "x" + (i - 1), "x" + i, 0);
    }
    f.at(20_000);
    replace(f, "x199", "cold", f.now);
    f.probeResult("a", Role.REPLICA, 400);
    f.probeResult("c", Role.REPLICA, 400);
    f.probeResult("cold", Role.REPLICA, 5);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      String at = f.ask("r" + i, BROWSE);
      if ("cold".equals(at)) {
        sent++;
      }
      if (at != null) {
        f.end("r" + i, Status.OK, "p".equals(at) ? Role.PRIMARY : Role.REPLICA, 5);
      }
    }
    assertTrue(
        sent >= 2,
        sent + " of 40: a quarter of them times what a cold member can do is 2 at least");
  }

  @Test
  void aMemberThatLeavesWithWorkOutIsKeptUntilItsOutcome() {
    Fake f = group();
    String at = f.ask("r", BROWSE);
    f.router.onMembers(f.now, ListKind.CHANGES, List.of(member(at, "near", Health.GONE, false, 0)));
    f.end("r", Status.RESET, Role.UNKNOWN, 0);
    assertEquals(2, f.sends("r"), "it goes on elsewhere");
  }

  // ---- Connections that break ----
  /**
   * Guards against members excluded for single connection faults: a day of resets left all of them
   * cold and silent.
   */
  @Test
  void oneBrokenConnectionSaysLittleOfItsMember() {
    Fake f = new Fake().start(member("a", "near"));
    f.probeResult("a", Role.REPLICA, 5);
    assertEquals("a", f.ask("first", ANY));
    f.end("first", Status.OK, Role.REPLICA, 5);
    for (int i = 0; i < 20; i++) {
      f.at(100 + 100 * i);
      assertEquals("a", f.ask("good" + i, ANY), "before failure " + i);
      f.end("good" + i, Status.OK, Role.REPLICA, 5);
      assertEquals("a", f.ask("bad" + i, ANY));
      f.end("bad" + i, i % 2 == 0 ? Status.RESET : Status.CONNECT_FAILED, Role.UNKNOWN, 0);
      f.router.onClientGone(f.now, "bad" + i);
    }
  }

  @Test
  void connectionsThatFailInARowMakeItLost() {
    Fake f = new Fake().start(member("a", "near"));
    f.probeResult("a", Role.REPLICA, 5);
    f.ask("first", ANY);
    f.end("first", Status.OK, Role.REPLICA, 5);
    f.at(10);
    f.ask("r1", ANY);
    f.ask("r2", ANY);
    f.ask("r3", ANY);
    f.end("r1", Status.RESET, Role.UNKNOWN, 0);
    f.end("r2", Status.RESET, Role.UNKNOWN, 0);
    f.end("r3", Status.CONNECT_FAILED, Role.UNKNOWN, 0);
    f.at(150);
    assertNull(f.ask("r4", ANY), "the first trial is due later");
  }
}
