package crankspar.lab.hostile;

import java.nio.file.Path;
import java.util.List;

/**
 * Plays runs by hand. Arguments: either {@code drawn FIRST COUNT} for seeds, or {@code KIND COUNT
 * [upgrade]}. The system property {@code jar} names an earlier version, {@code logs} a folder for
 * the poolers' logs.
 */
public final class HostileCommand {
  private HostileCommand() {}

  /** Exits with 1 if something was broken. */
  public static void main(String[] args) throws Exception {
    int failed = 0;
    if (args[0].equals("drawn")) {
      long first = Long.parseLong(args[1]);
      for (long seed = first; seed < first + Integer.parseInt(args[2]); seed++) {
        failed += play("seed " + seed, HostileRun.Plan.drawn(seed));
      }
    } else {
      var plan = HostileRun.Plan.of(HostileKind.valueOf(args[0]), Integer.parseInt(args[1]));
      failed += play("", args.length > 2 ? plan.inUpgrade() : plan);
    }
    System.exit(failed == 0 ? 0 : 1);
  }

  private static int play(String name, HostileRun.Plan plan) throws Exception {
    String jar = System.getProperty("jar");
    HostileRun.Result result = HostileRun.play(jar == null ? plan : plan.before(Path.of(jar)));
    List<String> broken = result.broken();
    System.out.println(
        "%s %s%s: %d KiB, beside %s, after %s: %s"
            .formatted(
                name,
                plan.hostile(),
                plan.upgrade() ? " in an upgrade" : "",
                result.peakKib(),
                result.beside(),
                result.after(),
                broken.isEmpty() ? "kept" : "BROKEN " + broken));
    return broken.isEmpty() ? 0 : 1;
  }
}
