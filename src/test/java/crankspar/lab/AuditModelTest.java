package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.audit.Standing.State;
import crankspar.lab.AuditModel.World;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The hard cases of stragglers, at 3, 14, 100 and 500 poolers, with a fifth of all datagrams lost
 * and clocks up to 20 s apart.
 */
class AuditModelTest {
  private static AuditModel of(int poolers, long seed) {
    return new AuditModel(World.of(seed, poolers, 0.2)).run(4000);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100, 500})
  void oneWithoutDiscoveryIsBroughtUpByItsPeers(int poolers) {
    for (long seed = 1; seed <= (poolers > 100 ? 1 : 5); seed++) {
      AuditModel m = of(poolers, seed).cutFromDiscovery(1, true).run(300).drain(50);
      assertThat(m.untilAvoided(50, 1500)).as("seed " + seed).isLessThan(1500);
      assertThat(m.fenced(1)).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void oneCutFromAllIsOutInTimeAndComesBack(int poolers) {
    for (long seed = 1; seed <= 5; seed++) {
      AuditModel m =
          of(poolers, seed)
              .cutFromDiscovery(1, true)
              .cutFromPeers(1, true)
              .run(100)
              .drain(50)
              .run(6250);
      assertThat(m.avoids(1, 50)).as("seed " + seed).isTrue();
      assertThat(m.state(1)).isEqualTo(State.FENCED);
      m.cutFromDiscovery(1, false).cutFromPeers(1, false).run(4000);
      assertThat(m.allCurrent()).as("seed " + seed).isTrue();
      assertThat(m.fenced(1)).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void discoveryDownForAllShutsNobodyOut(int poolers) {
    AuditModel m = of(poolers, 3).discoveryDown(true).run(30_000);
    assertThat(m.fences()).isZero();
    assertThat(m.unconfirmed(0)).isTrue();
    long before = m.calls();
    m.run(10_000);
    assertThat((m.calls() - before) / (double) poolers)
        .as("calls for each pooler in 10 s")
        .isLessThan(3);
    m.discoveryDown(false).run(4000);
    assertThat(m.allCurrent()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void oneThatTellsNonsenseShutsNobodyOut(int poolers) {
    AuditModel m = of(poolers, 4).lies(2).run(20_000);
    assertThat(m.fences()).isZero();
    assertThat(m.avoids(0, 7)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void aDiscoveryThatCountsAnewIsHeardByAll(int poolers) {
    AuditModel m = of(poolers, 5).drain(50).run(500).renumber().run(3000);
    assertThat(m.allCurrent()).isTrue();
    assertThat(m.fences()).isZero();
    m.cutFromDiscovery(1, true).run(500).renumber().run(8000);
    assertThat(m.state(1)).as("it holds the former count").isEqualTo(State.FENCED);
    m.cutFromDiscovery(1, false).run(4000);
    assertThat(m.allCurrent()).isTrue();
  }

  /** Both halves hear discovery: nobody is harmed by not hearing the other half. */
  @ParameterizedTest
  @ValueSource(ints = {4, 14, 100})
  void aFleetInHalvesGoesOn(int poolers) {
    AuditModel m = of(poolers, 6).halves(true).run(500).drain(50).run(10_000);
    assertThat(m.fences()).isZero();
    assertThat(m.halves(false).run(2000).allCurrent()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 14, 100})
  void ofManyBehindAtOnceNoMoreThanTheShareIsOut(int poolers) {
    AuditModel m = of(poolers, 7);
    for (int i = 0; i < poolers / 2; i++) {
      m.cutFromDiscovery(i, true);
    }
    m.run(500).drain(50).run(15_000);
    assertThat(m.mostOut()).as("half are behind, and a third may be out").isBetween(1, poolers / 3);
    for (int i = 0; i < poolers; i++) {
      assertThat(m.avoids(i, 50))
          .as("pooler " + i + " has heard of the drain by two peers")
          .isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100, 500})
  void messagesAreFlatInTheNumberOfPoolers(int poolers) {
    assertThat(of(poolers, 8).run(10_000).messagesPerSecond()).isLessThan(30);
  }
}
