import java.io.IOException;
import java.util.Map;

/** One client of the console that sends a long text of semicolons that is no command. */
public final class ConsoleText {
  private static final int TEXT_BYTES = 1_000_000;
  private static final int ANSWER_MOST_MS = 3_500; // the write class's give-up time and 0.5 s
  private static final int WATCHED_MS = 20_000;

  private ConsoleText() {}

  public static void main(String[] args) {
    Rig.main(args, ConsoleText::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front = PoolingSetup.start(rig, "league { places { most = 4 } }", 1);
    var usual = Map.of("user", "manager", "database", "league");
    boolean held;
    try (var steady =
        new Steady(rig, front.port(), ANSWER_MOST_MS, usual, n -> "SELECT lineup FROM my_roster")) {
      Thread.sleep(3_000);
      try (var console = Wire.Client.of(front.port(), "staff", "crankspar")) {
        rig.note("console: " + console.ask("SHOW databases").brief());
        String text = rig.trouble ? ";".repeat(TEXT_BYTES) + "x" : "x";
        rig.note("console: a text of " + text.length() + " bytes that is no command");
        rig.note("console: " + console.ask(text).brief());
      } catch (IOException e) {
        rig.note("console: " + e);
      }
      Thread.sleep(rig.trouble ? 3_000 : WATCHED_MS / 4);
      rig.note(steady.counts());
      held = steady.unanswered.get() == 0 && steady.served.get() > 50;
    }
    rig.noteLog("pooler", 3);
    return held;
  }
}
