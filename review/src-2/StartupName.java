import java.util.LinkedHashMap;
import java.util.Map;

/** One client's startup message with a parameter whose name has very many parts. */
public final class StartupName {
  /** A startup message may have 10,000 bytes; this one has 3,000. */
  private static final int NAME_PARTS = 1_400;

  private static final int ANSWER_MOST_MS = 3_500; // the write class's give-up time and 0.5 s

  private StartupName() {}

  public static void main(String[] args) {
    Rig.main(args, StartupName::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front = PoolingSetup.start(rig, "league { places { most = 4 } }", 1);
    var usual = Map.of("user", "manager", "database", "league");
    boolean held;
    try (var steady =
        new Steady(rig, front.port(), ANSWER_MOST_MS, usual, n -> "SELECT lineup FROM my_roster")) {
      Thread.sleep(3_000);
      var parameters = new LinkedHashMap<String, String>();
      parameters.put("user", "manager");
      parameters.put("database", "league");
      String name = rig.trouble ? "a" + ".a".repeat(NAME_PARTS) : "app.name";
      parameters.put(name, "1");
      rig.note("bad client: startup parameter of " + name.length() + " characters, one query");
      try (var bad = new Wire.Client(front.port(), ANSWER_MOST_MS, parameters)) {
        rig.note("bad client: logged in, " + bad.ask("SELECT 1").brief());
      } catch (java.io.IOException e) {
        rig.note("bad client: " + e);
      }
      Thread.sleep(5_000);
      boolean alive = front.process().isAlive();
      rig.note(steady.counts());
      rig.note(
          "the pooler " + (alive ? "runs" : "has ended with " + front.process().exitValue()));
      held = alive && steady.unanswered.get() == 0 && steady.served.get() > 50;
    }
    rig.noteLog("pooler", 3);
    return held;
  }
}
