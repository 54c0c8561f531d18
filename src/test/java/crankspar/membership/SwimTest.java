package crankspar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.membership.News.State;
import crankspar.membership.Packet.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** SWIM's state machine, step by step. */
class SwimTest {
  private final Swim swim =
      new Swim(Swim.Settings.DEFAULT, 0, 4, 10, 0, 16, new SplittableRandom(1));

  private static Packet from(
      int who, int incarnation, Kind kind, int target, int call, News... news) {
    return new Packet(
        kind, who, incarnation, 1, 0, 0, 1, 16, target, call, List.of(news), List.of());
  }

  private static News news(int member, State state, int incarnation) {
    return new News(member, state, incarnation, 1, 16);
  }

  private List<Swim.Send> ticks(double from, double to) {
    var all = new ArrayList<Swim.Send>();
    for (double t = from; t <= to; t += 10) {
      all.addAll(swim.tick(t));
    }
    return all;
  }

  private void meet() {
    for (int i = 1; i < 4; i++) {
      swim.received(0, from(i, 5, Kind.GOSSIP, i, 0));
    }
  }

  @Test
  void whoIsHeardLives() {
    assertThat(swim.living()).containsExactly(0);
    meet();
    assertThat(swim.living()).containsExactly(0, 1, 2, 3);
    assertThat(swim.zone(2)).isEqualTo(1);
    assertThat(swim.received(1, from(1, 5, Kind.PING, 0, 9)))
        .containsExactly(new Swim.Send(1, Kind.ACK, 0, 9));
  }

  @Test
  void whoDoesNotAnswerIsAskedThroughOthersThenSuspectedThenDead() {
    meet();
    List<Swim.Send> sent = ticks(0, 190);
    int target = sent.get(0).to();
    assertThat(sent)
        .filteredOn(s -> s.kind() == Kind.PING_REQUEST)
        .hasSize(2)
        .allMatch(s -> s.target() == target && s.to() != target);
    ticks(200, 200);
    assertThat(swim.state(target)).isEqualTo(State.SUSPECT);
    assertThat(swim.living()).contains(target);
    long version = swim.version();
    // The others answer, that one never does.
    for (double t = 210; t < 20_000; t += 10) {
      for (Swim.Send s : swim.tick(t)) {
        if (s.to() != target && s.kind() == Kind.PING) {
          swim.received(t, from(s.to(), 5, Kind.ACK, s.to(), s.call()));
        }
      }
    }
    assertThat(swim.state(target)).isEqualTo(State.DEAD);
    assertThat(swim.living()).doesNotContain(target);
    assertThat(swim.version()).isGreaterThan(version);
    assertThat(swim.news(target, 6))
        .first()
        .matches(n -> n.member() == target && n.state() == State.DEAD);
    swim.received(20_000, from(target, 6, Kind.PING, 0, 1));
    assertThat(swim.state(target)).isEqualTo(State.ALIVE);
  }

  @Test
  void anAnswerThroughAnotherCounts() {
    meet();
    List<Swim.Send> sent = ticks(0, 100);
    int target = sent.get(0).to();
    int helper =
        sent.stream().filter(s -> s.kind() == Kind.PING_REQUEST).findFirst().orElseThrow().to();
    swim.received(150, from(helper, 5, Kind.ACK, target, sent.get(0).call()));
    ticks(160, 210);
    assertThat(swim.state(target)).isEqualTo(State.ALIVE);
  }

  @Test
  void aHelperPingsAndBringsTheAnswer() {
    meet();
    List<Swim.Send> asked = swim.received(1, from(1, 5, Kind.PING_REQUEST, 2, 77));
    assertThat(asked).hasSize(1).allMatch(s -> s.to() == 2 && s.kind() == Kind.PING);
    assertThat(swim.received(2, from(2, 5, Kind.ACK, 2, asked.get(0).call())))
        .containsExactly(new Swim.Send(1, Kind.ACK, 2, 77));
  }

  @Test
  void aWrongWordOfItselfIsWithdrawn() {
    meet();
    swim.received(5, from(1, 5, Kind.GOSSIP, 1, 0, news(0, State.DEAD, 10)));
    assertThat(swim.incarnation()).isEqualTo(11);
    assertThat(swim.withdrawn()).isEqualTo(1);
    assertThat(swim.health()).isEqualTo(1);
    assertThat(swim.news(1, 6))
        .anyMatch(n -> n.member() == 0 && n.state() == State.ALIVE && n.incarnation() == 11);
    swim.received(6, from(1, 5, Kind.GOSSIP, 1, 0, news(0, State.SUSPECT, 10)));
    assertThat(swim.incarnation()).isEqualTo(11);
  }

  @Test
  void anOlderWordChangesNothing() {
    meet();
    swim.received(1, from(1, 5, Kind.GOSSIP, 1, 0, news(2, State.DEAD, 4)));
    assertThat(swim.state(2)).isEqualTo(State.ALIVE);
    swim.received(2, from(1, 5, Kind.GOSSIP, 1, 0, news(2, State.DEAD, 5)));
    assertThat(swim.state(2)).isEqualTo(State.DEAD);
    swim.received(
        3, from(1, 5, Kind.GOSSIP, 1, 0, news(2, State.ALIVE, 5), news(2, State.SUSPECT, 5)));
    assertThat(swim.state(2)).isEqualTo(State.DEAD);
    swim.received(4, from(1, 5, Kind.GOSSIP, 1, 0, news(2, State.ALIVE, 6)));
    assertThat(swim.state(2)).isEqualTo(State.ALIVE);
    swim.received(5, from(1, 5, Kind.GOSSIP, 1, 0, news(900, State.DEAD, 5)));
  }

  @Test
  void oneThatStoodStillSuspectsNobodyForIt() {
    meet();
    swim.tick(0);
    swim.tick(2500); // stopped for 2.5 s: nobody could have answered it
    assertThat(swim.living()).containsExactly(0, 1, 2, 3);
    assertThat(swim.health()).isEqualTo(2);
  }

  @Test
  void oneThatNeverExistedCostsLittle() {
    swim.received(0, from(1, 5, Kind.GOSSIP, 1, 0));
    long toTheUnknown = 0;
    for (double t = 0; t < 10_000; t += 10) {
      for (Swim.Send s : swim.tick(t)) {
        toTheUnknown += s.to() != 1 ? 1 : 0;
        if (s.kind() == Kind.PING && s.to() == 1) {
          swim.received(t, from(1, 5, Kind.ACK, 1, s.call()));
        }
      }
    }
    assertThat(toTheUnknown).isBetween(1L, 20L);
    assertThat(swim.state(3)).isEqualTo(State.UNKNOWN);
    assertThat(swim.living()).containsExactly(0, 1);
  }

  @Test
  void oneThatLeavesSaysSo() {
    meet();
    assertThat(swim.leave(1)).hasSize(3);
    assertThat(swim.living()).doesNotContain(0);
    assertThat(swim.news(1, 6)).anyMatch(n -> n.member() == 0 && n.state() == State.LEFT);
  }
}
