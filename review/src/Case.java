import java.io.IOException;
import java.nio.file.Path;
import java.util.Timer;
import java.util.TimerTask;

/** One case of the review: it plays, and says by its exit status what became of its rule. */
interface Case {
  int HELD = 0;
  int BROKEN = 1;
  int COULD_NOT_RUN = 2;

  /** A case that has not ended by then ends without a verdict (ms). */
  long MOST_MS = 110_000;

  /**
   * Whether the rule held.
   *
   * @param root the repository
   * @param trouble whether the disruption takes place
   */
  boolean play(Path root, boolean trouble, Transcript transcript)
      throws IOException, InterruptedException;

  /** Runs a case and ends this process. */
  static void run(Case played, String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    new Timer(true).schedule(end(), MOST_MS);
    int status = COULD_NOT_RUN;
    try (var transcript = new Transcript(Path.of(args[1]))) {
      status = played.play(Path.of(args[0]), trouble, transcript) ? HELD : BROKEN;
      transcript.add("verdict", status == HELD ? "held" : "BROKEN");
    } catch (IOException | RuntimeException e) {
      System.err.println("the case could not run: " + e);
    } catch (InterruptedException e) {
      System.err.println("interrupted");
    }
    System.exit(status);
  }

  private static TimerTask end() {
    return new TimerTask() {
      @Override
      public void run() {
        System.err.println("the case took too long");
        System.exit(COULD_NOT_RUN);
      }
    };
  }
}
