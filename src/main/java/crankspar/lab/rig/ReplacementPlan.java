package crankspar.lab.rig;

import crankspar.lab.LabSettings.ColdStart;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What a {@link ReplacementRig} plays.
 *
 * @param members of each group, its primary among them
 * @param allReplicas whether every replica of a group is replaced, or one
 * @param burst times the usual load while they are replaced
 * @param loss share of the messages between poolers that is lost
 * @param restarted share of the poolers that are killed and start anew meanwhile
 */
public record ReplacementPlan(
    long seed,
    int poolers,
    int members,
    boolean allReplicas,
    double burst,
    double loss,
    ColdStart start,
    double restarted) {
  /** One of the settings that the platform's pages allow, by a seed. */
  public static ReplacementPlan drawn(long seed, int poolers) {
    var random = new SplittableRandom(seed);
    return new ReplacementPlan(
        seed,
        poolers,
        random.nextBoolean() ? 3 : 5,
        random.nextInt(3) > 0,
        List.of(1, 4, 8).get(random.nextInt(3)),
        random.nextBoolean() ? 1 : 0.3,
        new ColdStart(
            between(random, 0.05, 0.5),
            between(random, 1.5, 6),
            between(random, 500, 3000),
            between(random, 5000, 30_000)),
        random.nextInt(3) == 0 ? 0.3 : 0);
  }

  private static double between(SplittableRandom random, double least, double most) {
    return least + (most - least) * random.nextDouble();
  }
}
