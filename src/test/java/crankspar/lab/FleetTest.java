package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.load.Asked;
import crankspar.lab.load.Checker;
import crankspar.lab.load.Workload;
import crankspar.lab.load.Workload.Check;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The stand-in fleet: how far replicas have applied, its troubles, and the checkers that read its
 * answers.
 */
class FleetTest {
  @Test
  void aReplicaAppliesWithOneThread() {
    var r = new Replay(10);
    assertThat(r.position(1000)).isEqualTo(990);
    r.commit(1000, 20);
    r.commit(1001, 20);
    assertThat(r.position(1005)).isLessThan(1000);
    assertThat(r.position(1031)).isBetween(1000.0, 1001.0);
    assertThat(r.position(1060)).isEqualTo(1050);
    r.block(1200);
    r.commit(1070, 5);
    assertThat(r.position(1190)).isLessThan(1070);
    assertThat(r.position(1300)).isEqualTo(1290);
    r.slower(10);
    r.commit(1300, 5);
    assertThat(r.position(1350)).isLessThan(1300);
    assertThat(r.position(1400)).isGreaterThanOrEqualTo(1300);
    assertThat(r.lost()).isZero();
  }

  @Test
  void aPositionNeverGoesBack() {
    var random = new java.util.SplittableRandom(4);
    var r = new Replay(8);
    double last = Double.NEGATIVE_INFINITY;
    double now = 10_000;
    for (int i = 0; i < 5000; i++) {
      now += random.nextDouble() * 10;
      if (random.nextInt(3) == 0) {
        r.commit(now, random.nextDouble() * 10);
      }
      if (random.nextInt(100) == 0) {
        r.block(now + 200);
      }
      double position = r.position(now);
      assertThat(position).isGreaterThanOrEqualTo(last).isLessThanOrEqualTo(now);
      last = position;
    }
  }

  @Test
  void troublesComeAndGo() throws Exception {
    var setup =
        new Fleet.Setup(
            1,
            1,
            0,
            4,
            5,
            1,
            100,
            List.of(
                new Fleet.Trouble(Fleet.Trouble.Kind.CRASH, "g1-p", 0, 300, 2),
                new Fleet.Trouble(Fleet.Trouble.Kind.SWAP_PRIMARY, "g1-p", 500, 0, 1)));
    try (var fleet = new Fleet(setup)) {
      var at = fleet.server("g1-p").address();
      try (PgWire w = PgWire.to(at, "app", "db")) {
        assertThat(w.ask("INSERT INTO t VALUES (1) RETURNING applied_ms()")).startsWith("T D:1");
        fleet.begin();
        assertThat(w.ends()).isTrue();
      }
      long deadline = System.nanoTime() + 5_000_000_000L;
      String heard = "";
      while (!heard.contains("25006")) {
        assertThat(System.nanoTime()).isLessThan(deadline);
        try (PgWire w = PgWire.to(at, "app", "db")) {
          heard = w.ask("INSERT INTO t VALUES (2)");
        } catch (java.io.IOException e) {
          heard = "";
        }
      }
      try (PgWire w = PgWire.to(fleet.server("g1-r1").address(), "app", "db")) {
        assertThat(w.ask("INSERT INTO t VALUES (3)")).isEqualTo("C:INSERT 0 1 Z:I");
      }
      assertThat(fleet.members()).contains("g1-p").contains("cell = 1");
    }
  }

  @Test
  void theCheckersSeeWhatIsWrong() {
    var bound = new Workload.Kind("scoreboard", 1, 600, false, "x", Check.BOUND, 300, 0, 0);
    var session = new Workload.Kind("my-roster", 1, 600, false, "x", Check.SESSION, 0, 0, 0);
    var write = new Workload.Kind("trade-claim", 1, 600, true, "x");
    var c = new Checker();
    var asked = new Asked(1, 0, 0, 7, 0);
    c.answered(bound, asked, 10_000, Double.NEGATIVE_INFINITY, "9750");
    c.answered(bound, asked, 10_000, Double.NEGATIVE_INFINITY, "9500");
    assertThat(c.stale()).isEqualTo(1);
    c.answered(write, asked, 10_000, Double.NEGATIVE_INFINITY, "10050.5");
    assertThat(c.mustSee(7)).isEqualTo(10_050.5);
    c.answered(session, asked, 10_100, c.mustSee(7), "10051");
    c.answered(session, asked, 10_100, c.mustSee(7), "10050");
    assertThat(c.unseen()).isEqualTo(1);
    c.answered(session, asked, 10_100, 0, "nonsense");
    assertThat(c.untold()).isEqualTo(1);
    assertThat(c.words()).hasSize(2);
    assertThat(c.checked()).isEqualTo(5);
  }
}
