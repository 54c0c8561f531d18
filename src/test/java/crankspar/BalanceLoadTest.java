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

/**
 * Stories of the policy under load: budgets, silence, jams, second copies, and members that left.
 */
class BalanceLoadTest extends BalanceFixture {
  // ---- Found on the bench ----
  /**
   * h6fbc6f, icbb7fb: long reads held up replay on every replica, so bounded reads had only the
   * primary.
   */
  @Test
  void longReadsKeepToTheReplicaFurthestBehind() {
    Fake f = group();
    f.hear("c", Role.REPLICA, 0);
    f.at(50);
    f.hear("a", Role.REPLICA, 10);
    f.hear("b", Role.REPLICA, 10);
    assertEquals("c", f.ask("long", Fake.LONG, 6000, "s"));
    assertEquals("c", f.ask("long2", Fake.LONG, 6000, "s"));
    for (int i = 3; i < 9; i++) {
      f.ask("long" + i, Fake.LONG, 6000, "s");
    }
    assertTrue(f.tries.stream().allMatch(t -> t.endsWith(" c")), "the others wait: " + f.tries);
  }

  /** iaf28e5: a line served oldest first sent every read too late. */
  @Test
  void theNewestIsSentFirst() {
    Fake f = new Fake().start(member("a", "near"));
    f.hear("a", Role.REPLICA, 0);
    for (int i = 0; i < 9; i++) {
      f.at(i * 2);
      f.ask("r" + i, ANY);
    }
    int first = f.tries.size();
    assertTrue(first < 9);
    f.end("r0", Status.OK, Role.REPLICA, 0);
    assertTrue(f.tries.get(first).startsWith("r8 "), f.tries.toString());
  }

  /**
   * Muscat, big-1: crowded members were taken for silent before any answer was due, and reads
   * doubled.
   */
  @Test
  void aCrowdIsNotSilence() {
    Fake f = group();
    f.ask("r", ANY);
    f.ask("q", ANY);
    f.at(150);
    assertEquals(2, f.tries.size());
  }

  /**
   * A hundred instances, one request each in the window: a member that all hear of as cold gets its
   * part.
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
   * The list may be wrong: where only draining binds, a member listed as gone or missing goes on
   * serving.
   */
  @Test
  void whereOnlyDrainingBindsGoneMembersServe() {
    Fake f = new Fake();
    f.soft = true;
    group(f);
    f.module.onMembers(
        f.now, ListKind.CHANGES, List.of(member("b", "near", Health.DRAINING, false, 0)));
    f.module.onMembers(
        f.now,
        ListKind.CHANGES,
        List.of(
            member("a", "near", Health.GONE, false, 0),
            member("b", "near", Health.GONE, false, 0)));
    f.module.onMembers(f.now, ListKind.FULL, List.of());
    assertEquals("a", f.ask("r", BROWSE));
    assertEquals("p", f.ask("w", WRITE));
  }

  /** A full primary is not hammered: each turn away doubles the pause. */
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
   * Probes are paid by requests: an idle instance of a large fleet sends a handful, whatever the
   * fleet.
   */
  @Test
  void probesArePaidByRequests() {
    Fake f = new Fake();
    f.reports = Router.Reports.IN_PROBES;
    group(f).at(120_000);
    long probes = f.acts.stream().filter(a -> a.startsWith("probe")).count();
    assertTrue(probes > 0 && probes <= 10, probes + " probes");
  }

  /**
   * With about one request out at a time, attempts that ended unanswered still add up to silence.
   */
  @Test
  void unansweredAttemptsAddUpToSilence() {
    Fake f = new Fake().start(member("a", "near"));
    for (int i = 0; i < 4; i++) {
      f.at(1000 * i);
      f.ask("r" + i, ANY);
      f.at(1000 * i + 240);
      long probes = f.acts.stream().filter("probe a"::equals).count();
      assertEquals(
          i == 0 ? 0 : i < 3 ? 1 : 2,
          probes,
          "one after a second as ever, one as it is found silent");
      f.module.onOutcome(
          f.now,
          new Router.Outcome(
              "r" + i, 0, "a", Status.TIMEOUT, 240, false, Role.UNKNOWN, Double.NaN));
    }
  }

  /**
   * A lost answer is one, a jam is many: unanswered attempts in a row lower a share far more than
   * one does.
   */
  @Test
  void aJamIsShedFasterThanALostAnswer() {
    int[] sent = new int[2];
    for (int lost = 1; lost <= 4; lost += 3) {
      Fake f = new Fake();
      f.siblings = 100;
      f.start(member("p", "near"));
      f.hear("p", Role.PRIMARY, 0);
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
   * Where own requests in flight tell nothing, slow answers lower the share of requests that a
   * member gets.
   */
  @Test
  void aLargeFleetShedsByAnswersTimes() {
    Fake f = new Fake();
    f.siblings = 100;
    f.start(member("p", "near"));
    f.hear("p", Role.PRIMARY, 0);
    int sent = 0;
    for (int i = 0; i < 60; i++) {
      f.at(2000 * i);
      String to = f.ask("w" + i, WRITE);
      sent += i >= 40 && to != null ? 1 : 0;
      f.at(2000 * i + 700);
      if (f.numbers.containsKey("w" + i)) {
        f.module.onOutcome(
            f.now, new Router.Outcome("w" + i, 0, "p", Status.OK, 700, true, Role.PRIMARY, f.now));
      }
    }
    assertTrue(sent < 12, sent + " of the last 20 sent to a primary that answers late");
  }

  /** A member whose connections are reset loses its reads, as one that answers errors does. */
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
    int before = f.tries.size();
    for (int i = 0; i < 6; i++) {
      f.ask("q" + i, ANY);
    }
    long toA =
        f.tries.subList(before, f.tries.size()).stream().filter(t -> t.endsWith(" a")).count();
    assertTrue(
        f.tries.stream().anyMatch(t -> t.endsWith(" a")) && toA <= 1,
        toA + " sends after its resets");
  }

  /**
   * Many instances' trials can keep a jam alive: each one that fails makes the next less likely.
   */
  @Test
  void aLargeFleetsTrialsOfASilentMemberDwindle() {
    Fake f = new Fake();
    f.siblings = 12;
    f.start(member("p", "near"));
    f.hear("p", Role.PRIMARY, 0);
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
    assertTrue(f.tries.size() > 1 && late <= 8, late + " trials in the last forty seconds");
  }

  /** Work given up at a server may run on: its place stays taken for one mean answer. */
  @Test
  void abandonedWorkKeepsItsPlace() {
    Fake f = new Fake().start(member("a", "near"));
    f.hear("a", Role.REPLICA, 0);
    f.ask("r", ANY);
    f.ask("q", ANY);
    f.ask("s", ANY);
    int sent = f.tries.size();
    f.end("r", Status.TIMEOUT, Role.UNKNOWN, 0);
    assertEquals(sent, f.tries.size());
    f.at(40);
  }

  /**
   * A hung primary holds keyed writes; a new one takes them over while their key is known, and not
   * later.
   */
  @Test
  void aNewPrimaryTakesOverWhatTheSilentOneHolds() {
    Fake f = group();
    assertEquals("p", f.ask("w", WRITE));
    f.at(1000);
    f.hear("a", Role.PRIMARY, 0);
    f.at(1100);
    assertTrue(f.did("send w a"), f.tries.toString());
    Fake late = group();
    late.ask("w", WRITE);
    late.at(1900);
    late.hear("a", Role.PRIMARY, 0);
    late.at(2900);
    assertFalse(late.did("send w a"), "its key may be forgotten");
  }

  /** The first copy of a doubled read is called off too once the second is answered. */
  @Test
  void theLosingCopyIsCalledOff() {
    Fake f = group();
    f.ask("r", ANY);
    for (int i = 0; i < 5; i++) {
      f.ask("q" + i, ANY);
    }
    f.at(380);
    String twice =
        f.tries.stream().filter(t -> t.contains(" 1 ")).findFirst().orElseThrow().split(" ")[0];
    f.end(twice, 1, Status.OK, Role.REPLICA, 0);
    assertTrue(f.did("cancel " + twice + " 0"));
  }

  // ---- Members that left ----
  private static void replace(Fake f, String old, String young, double lastStart) {
    f.module.onMembers(
        f.now,
        ListKind.CHANGES,
        List.of(
            member(old, "near", Health.GONE, false, 0),
            member(young, "near", Health.RUNNING, false, lastStart)));
  }

  /**
   * Guards against a day of replacements: what left takes no share of what a cold member may earn.
   */
  @Test
  void membersThatLeftForGoodCountNoMore() {
    Fake f = group();
    for (int i = 0; i < 200; i++) {
      replace(f, i == 0 ? "b" : "x" + (i - 1), "x" + i, 0);
    }
    f.at(20_000);
    replace(f, "x199", "cold", f.now);
    f.hear("a", Role.REPLICA, 400);
    f.hear("c", Role.REPLICA, 400);
    f.hear("cold", Role.REPLICA, 5);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      String at = f.ask("r" + i, BROWSE);
      if ("cold".equals(at)) {
        sent++;
        f.end("r" + i, Status.OK, Role.REPLICA, 5);
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
    f.module.onMembers(f.now, ListKind.CHANGES, List.of(member(at, "near", Health.GONE, false, 0)));
    f.end("r", Status.RESET, Role.UNKNOWN, 0);
    assertEquals(2, f.sends("r"), "it goes on elsewhere");
  }

  // ---- Connections that break ----
  /**
   * Guards against members shut out by their connections: a day of resets had all of them cold and
   * silent.
   */
  @Test
  void oneBrokenConnectionSaysLittleOfItsMember() {
    Fake f = new Fake().start(member("a", "near"));
    f.hear("a", Role.REPLICA, 5);
    assertEquals("a", f.ask("first", ANY));
    f.end("first", Status.OK, Role.REPLICA, 5);
    for (int i = 0; i < 20; i++) {
      f.at(100 + 100 * i);
      assertEquals("a", f.ask("good" + i, ANY), "before failure " + i);
      f.end("good" + i, Status.OK, Role.REPLICA, 5);
      assertEquals("a", f.ask("bad" + i, ANY));
      f.end("bad" + i, i % 2 == 0 ? Status.RESET : Status.CONNECT_FAILED, Role.UNKNOWN, 0);
      f.module.onClientGone(f.now, "bad" + i);
    }
  }

  @Test
  void connectionsThatFailInARowMakeItLost() {
    Fake f = new Fake().start(member("a", "near"));
    f.hear("a", Role.REPLICA, 5);
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
