package crankspar.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.config.Config;
import crankspar.lab.Recording.Executed;
import crankspar.lab.RecordingFake;
import crankspar.lab.rig.Rules.Asked;
import crankspar.lab.rig.Rules.Cold;
import crankspar.lab.rig.Rules.Drain;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each checker passes a sound recording and rejects one that is spoilt in one place. */
class RulesTest {
  private static final String READ =
      "/* id=p0.%d,c=scoreboard,d=600,cluster=0 */ SELECT applied_ms()";
  private static final String WRITE =
      "/* id=p0.%d,c=trade-claim,d=%d,cluster=0 */ INSERT INTO t VALUES (%d)";

  private static Executed at(String server, long at, String sql) {
    return RecordingFake.executed(server, sql, at);
  }

  @Test
  void aRequestWithoutAnAnswerIsRejectedUnlessItsPoolerWasKilled() {
    assertThat(
            new Rules()
                .answers(List.of(new Asked("p0", 0, false), new Asked("p1", 3, true)))
                .broken())
        .isEmpty();
    assertThat(new Rules().answers(List.of(new Asked("p0", 1, false))).broken()).hasSize(1);
  }

  @Test
  void aWriteThatRanTwiceIsRejected() {
    var sound =
        List.of(
            at("db-0", 1, WRITE.formatted(1, 3000, 1)),
            at("db-0", 2, WRITE.formatted(2, 3000, 2)),
            at("db-1", 3, READ.formatted(3)),
            at("db-2", 4, READ.formatted(3)));
    assertThat(new Rules().once(sound).broken()).isEmpty();
    var spoilt = new ArrayList<>(sound);
    spoilt.add(at("db-1", 9, WRITE.formatted(1, 2500, 1)));
    assertThat(new Rules().once(spoilt).broken())
        .singleElement()
        .asString()
        .contains("p0.1 ran at db-0 and at db-1");
  }

  @Test
  void newWorkAfterADrainWasToldIsRejected() {
    var drain = new Drain("db-1", 1000, 20_000, Map.of("p0", 1010.0));
    var sound =
        List.of(
            at("db-1", 1309, READ.formatted(1)),
            at("db-2", 5000, READ.formatted(2)),
            at("db-1", 20_001, READ.formatted(3)));
    assertThat(new Rules().drains(List.of(drain), sound).broken()).isEmpty();
    assertThat(
            new Rules()
                .drains(List.of(drain), List.of(at("db-1", 1311, READ.formatted(4))))
                .broken())
        .hasSize(1);
    var untold = new Drain("db-1", 1000, Double.POSITIVE_INFINITY, Map.of());
    assertThat(
            new Rules()
                .drains(List.of(untold), List.of(at("db-1", 7299, READ.formatted(4))))
                .broken())
        .as("not told yet")
        .isEmpty();
    assertThat(
            new Rules()
                .drains(List.of(untold), List.of(at("db-1", 7301, READ.formatted(4))))
                .broken())
        .as("counts as told")
        .hasSize(1);
  }

  @Test
  void aColdDatabasePushedOverIsRejected() {
    // 15 statements in 1.5 s at first
    var cold = new Cold("db-1", 0, new ColdStartRule(0.25, 4, 1500, 15_000, 0.04, 1));
    var sound = new ArrayList<Executed>();
    for (int i = 0; i < 60; i++) {
      sound.add(at("db-1", 10 + i * 25, READ.formatted(i)));
    }
    assertThat(new Rules().cold(List.of(cold), sound, e -> 1).broken()).isEmpty();
    for (int i = 0; i < 25; i++) {
      sound.add(at("db-1", 10 + 1490, READ.formatted(100 + i)));
    }
    assertThat(new Rules().cold(List.of(cold), sound, e -> 1).broken()).hasSize(1);
  }

  @Test
  void staleAndUnseenReadsAreRejected() {
    assertThat(new Rules().fresh(0, 0, List.of()).broken()).isEmpty();
    assertThat(new Rules().fresh(1, 1, List.of("a scoreboard")).broken()).hasSize(2);
  }

  @Test
  void aScenarioWithAnUnknownKeyOrNobodyNamesFileLineAndKey(@TempDir Path folder) throws Exception {
    String good = Files.readString(Path.of("example/rig-drain.conf"));
    Path file = folder.resolve("s.conf");
    Files.writeString(file, good);
    assertThat(Scenario.read(file).steps()).hasSize(4);
    Files.writeString(file, good.replace("replicas = 2", "replicants = 2"));
    assertThatThrownBy(() -> Scenario.read(file))
        .isInstanceOf(Config.Bad.class)
        .hasMessageContaining("s.conf:3: replicants")
        .hasMessageContaining("replicas");
    Files.writeString(file, good.replace("who = p1", "who = p7"));
    assertThatThrownBy(() -> Scenario.read(file))
        .hasMessageContaining("s.conf:16: timeline.2-cut.who")
        .hasMessageContaining("p0 to p2");
    Files.writeString(file, good.replace("fault = cut", "fault = cuts"));
    assertThatThrownBy(() -> Scenario.read(file)).hasMessageContaining("stall-back");
  }
}
