package crankspar.audit;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.audit.Findings.View;
import crankspar.audit.Ledger.Kind;
import crankspar.audit.Ledger.Touch;
import crankspar.audit.Stand.Origin;
import java.util.List;
import org.junit.jupiter.api.Test;

class FindingsTest {
  private static Stands listed(double start, double... at) {
    var s = new Stands(start, "1+a");
    for (int i = 0; i < at.length; i++) {
      s.step(
          at[i],
          new Stands.Event.Listed(
              i + 1,
              List.of(new Member("db-" + i, "z", false, 1, Health.RUNNING, 1, "m", 0)),
              Origin.DISCOVERY));
    }
    return s;
  }

  private static View view(
      String name,
      double offset,
      double error,
      Stands stands,
      List<Touch> touches,
      List<Auditor.Notice> notices) {
    return new View(
        name,
        offset,
        error,
        "current",
        100,
        List.of("scoreboard"),
        stands.all(),
        List.of(),
        touches,
        notices);
  }

  private static Touch sent(String id, String db, double at) {
    return new Touch(id, 2, Kind.SENT, db, 0, at);
  }

  /** The clocks are 10 s apart: what counts is the offset that was measured. */
  @Test
  void aSpanInWhichTwoActedOnDifferentListsIsFoundWithItsRequests() {
    var a =
        view(
            "a",
            0,
            1,
            listed(0, 0.5, 5000),
            List.of(sent("r1", "db-0", 4000), sent("r2", "db-1", 5500)),
            List.of());
    var b =
        view(
            "b",
            10_000,
            1,
            listed(10_000, 10_000.5, 17_000),
            List.of(sent("r3", "db-0", 16_000), sent("r4", "db-1", 17_500)),
            List.of());
    List<Findings.Conflict> found = Findings.conflicts(List.of(a, b), 9000);
    assertThat(found)
        .singleElement()
        .satisfies(
            c -> {
              assertThat(c.begin()).isEqualTo(5000);
              assertThat(c.end()).isEqualTo(7000);
              assertThat(c.requests()).containsExactly("r2", "r3");
              assertThat(c.by()).hasSize(2);
            });
    assertThat(
            Findings.conflicts(
                List.of(
                    a,
                    view(
                        "b", 10_000, 1500, listed(10_000, 10_000.5, 17_000), List.of(), List.of())),
                9000))
        .as("no longer than the clocks can tell")
        .isEmpty();
  }

  @Test
  void oneThatIsBehindIsBehindTheMost() {
    var lines =
        Findings.fleet(
            List.of(
                view("a", 0, 0, listed(0, 1, 5000), List.of(), List.of()),
                view("b", 0, 0, listed(0, 1, 5100), List.of(), List.of()),
                view("c", 0, 0, listed(0, 1), List.of(), List.of())),
            9000);
    assertThat(lines).extracting(Findings.Line::behind).containsExactly(0.0, 0.0, 4000.0);
  }

  @Test
  void sendsBeyondTheBoundOfADrainAreTold() {
    var drains = List.of(new Auditor.Notice("db-1", 1000, true, Origin.DISCOVERY));
    var kept =
        view(
            "a",
            0,
            0,
            listed(0, 1),
            List.of(sent("r1", "db-1", 900), sent("r2", "db-1", 1240)),
            drains);
    assertThat(Findings.database(List.of(kept), "db-1"))
        .singleElement()
        .satisfies(
            s -> {
              assertThat(s.late()).isZero();
              assertThat(s.after()).isEqualTo(1);
            });
    var broken = view("b", 0, 0, listed(0, 1), List.of(sent("r1", "db-1", 1300)), drains);
    assertThat(Findings.database(List.of(broken), "db-1").get(0).late()).isEqualTo(50);
    var back =
        view(
            "c",
            0,
            0,
            listed(0, 1),
            List.of(sent("r1", "db-1", 5000)),
            List.of(drains.get(0), new Auditor.Notice("db-1", 4000, false, Origin.DISCOVERY)));
    assertThat(Findings.database(List.of(back), "db-1").get(0).late())
        .as("it may be used again")
        .isZero();
    assertThat(
            Findings.database(
                    List.of(
                        view(
                            "d", 0, 0, listed(0, 1), List.of(sent("r1", "db-1", 5000)), List.of())),
                    "db-1")
                .get(0)
                .origin())
        .isEqualTo("never told");
  }

  @Test
  void aRequestThatTwoTouchedIsPutInTime() {
    var a = view("a", 0, 0, listed(0, 1), List.of(sent("r1", "db-1", 900)), List.of());
    var b = view("b", 100, 0, listed(0, 1), List.of(sent("r1", "db-2", 950)), List.of());
    assertThat(Findings.request(List.of(a, b), "r1"))
        .extracting(e -> e.getKey().pooler())
        .containsExactly("b", "a");
  }
}
