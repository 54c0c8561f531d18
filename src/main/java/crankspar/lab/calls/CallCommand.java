package crankspar.lab.calls;

import java.nio.file.Path;
import java.util.List;

/**
 * Plays drawn runs of operators' calls by hand. Arguments: {@code FIRST COUNT}, seeds. The system
 * property {@code jar} names an earlier version.
 */
public final class CallCommand {
  private CallCommand() {}

  /** Exits with 1 if something was broken. */
  public static void main(String[] args) throws Exception {
    long first = Long.parseLong(args[0]);
    String jar = System.getProperty("jar");
    int failed = 0;
    for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
      List<String> broken = CallRun.play(seed, jar == null ? null : Path.of(jar));
      System.out.println(
          "seed " + seed + ": " + (broken.isEmpty() ? "kept" : String.join("\n  ", broken)));
      failed += broken.isEmpty() ? 0 : 1;
    }
    System.exit(failed == 0 ? 0 : 1);
  }
}
