package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.gossip.GossipReceiver;
import crankspar.lab.RoutingModel;
import crankspar.policy.RequestRouter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays recorded events and compares the policy's actions byte for byte, so that a refactoring is
 * shown to change no decision. A commit that changes decisions on purpose records the traces again
 * ({@code main}) and says what changed.
 */
class ReplayTest {
  private static final Path FOLDER = Path.of("src/test/resources/traces");

  /** Numbers of poolers in the simulated fleets; pooler 0 of each is recorded. */
  private static final List<Integer> SIZES = List.of(3, 14, 100);

  private static final int SEEDS = 8;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "fleet-3",
        "fleet-14",
        "fleet-100",
        "random-0",
        "random-1",
        "random-2",
        "random-3",
        "random-4",
        "random-5",
        "random-6",
        "random-7"
      })
  void theSameEventsGiveTheRecordedActions(String name) throws IOException {
    String text;
    try (var in = new GZIPInputStream(Files.newInputStream(FOLDER.resolve(name + ".gz")))) {
      text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    List<String> was = text.lines().toList();
    assertThat(was)
        .as("a trace that says something")
        .hasSizeGreaterThan(500)
        .anyMatch(l -> l.startsWith("> send"));
    List<String> is = Trace.replay(was, settings(name), RequestRouter::new).lines().toList();
    assertThat(Trace.difference(was, is)).isNull();
  }

  private static Router.Settings settings(String name) {
    int n = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    return name.startsWith("fleet") ? TestSettings.platform(n) : PropertyTest.fake(n).settings();
  }

  /** Pooler 0 runs with the recorded settings, the others with those of the simulated world. */
  private static String fleet(int poolers) {
    Router.Settings mine = TestSettings.platform(poolers);
    var trace = new Trace[1];
    var world =
        new RoutingModel.World(
            poolers, poolers, poolers / 8 + 1, 6, Math.min(900, 60.0 * poolers), 0.1, mine);
    var model =
        new RoutingModel(
            world,
            GossipReceiver.before(
                (settings, actions) -> {
                  if (settings.instanceIndex() != 0 || trace[0] != null) {
                    return new RequestRouter(settings, actions);
                  }
                  trace[0] = new Trace(actions);
                  return Trace.recording(mine, trace[0], RequestRouter::new);
                }));
    model
        .run(3000)
        .cold(0, 1, 500)
        .cutZone(1, true)
        .run(2500)
        .cutZone(1, false)
        .rate(world.perSecond() * 2)
        .run(3000);
    return trace[0].text.toString();
  }

  /** Records all traces again. */
  public static void main(String[] args) throws IOException {
    Files.createDirectories(FOLDER);
    for (int n : SIZES) {
      write("fleet-" + n, fleet(n));
    }
    for (int seed = 0; seed < SEEDS; seed++) {
      write("random-" + seed, PropertyTest.trace(seed));
    }
  }

  private static void write(String name, String text) throws IOException {
    try (var out = new GZIPOutputStream(Files.newOutputStream(FOLDER.resolve(name + ".gz")))) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    }
    System.out.println(
        name
            + ": "
            + Arrays.stream(text.split("\n")).filter(l -> l.startsWith("> ")).count()
            + " actions");
  }
}
