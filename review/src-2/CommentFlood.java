import java.io.IOException;
import java.util.ArrayList;
import java.util.Map;

/** A few clients that send statements of a megabyte, whose comments hold very many names. */
public final class CommentFlood {
  private static final int BAD_CLIENTS = 12;

  /** A name of four letters and a value of one: seven bytes each. */
  private static final int NAMES = 158_000;

  private static final int GIVE_UP_MS = 750;
  private static final int LOST_AFTER_MS = GIVE_UP_MS + 500;
  private static final int REPORT_MS = 8_000;

  private CommentFlood() {}

  public static void main(String[] args) {
    Rig.main(args, CommentFlood::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var pooler = PlatformSetup.start(rig, 3);
    var parameters = Map.of("user", "client", "database", "core");
    boolean held;
    try (var steady =
        new Steady(rig, pooler.port(), LOST_AFTER_MS, parameters, CommentFlood::usual)) {
      Thread.sleep(3_000);
      String extra = rig.trouble ? names() : "";
      var bad = new ArrayList<Wire.Client>();
      for (int i = 0; i < BAD_CLIENTS; i++) {
        bad.add(new Wire.Client(pooler.port(), REPORT_MS + 500, parameters));
      }
      for (int i = 0; i < BAD_CLIENTS; i++) {
        String sql =
            "/* id=bad%04d,c=report,d=%d,cluster=1%s */ SELECT val FROM state WHERE uid = 'm%d'"
                .formatted(i, REPORT_MS, extra, i);
        rig.note("bad client " + i + ": a statement of " + sql.length() + " bytes");
        send(rig, bad.get(i), sql);
      }
      for (int i = 0; i < BAD_CLIENTS; i++) {
        try (var client = bad.get(i)) {
          rig.note("bad client " + i + ": " + client.receive().brief());
        } catch (IOException e) {
          rig.note("bad client " + i + ": " + e);
        }
      }
      Thread.sleep(3_000);
      boolean alive = pooler.process().isAlive();
      noteCounter(rig, pooler.port(), parameters);
      rig.note(steady.counts());
      rig.note("the pooler " + (alive ? "runs" : "ended with " + pooler.process().exitValue()));
      held = alive && steady.unanswered.get() == 0 && steady.served.get() > 50;
    }
    rig.noteLog("pooler", 4);
    return held;
  }

  /** How often the pooler has begun a send anew, because its last check was too long ago. */
  private static void noteCounter(Rig rig, int port, Map<String, String> parameters) {
    try (var client = new Wire.Client(port, LOST_AFTER_MS, parameters)) {
      var all = client.ask("SHOW counters").values();
      int at = all.indexOf("sends_checked_again");
      rig.note("counter sends_checked_again: " + (at < 0 ? "0" : all.get(at + 1)));
    } catch (IOException e) {
      rig.note("counters: " + e);
    }
  }

  private static void send(Rig rig, Wire.Client client, String sql) {
    try {
      client.send(sql);
    } catch (IOException e) {
      rig.note("bad client: " + e);
    }
  }

  private static String usual(int number) {
    return "/* id=u%08x,c=own,d=%d,cluster=1 */ SELECT val FROM state WHERE uid = 'manager'"
        .formatted(number, GIVE_UP_MS);
  }

  private static String names() {
    var all = new StringBuilder(8 * NAMES);
    for (int i = 0; i < NAMES; i++) {
      all.append(',');
      for (int n = i, letter = 0; letter < 4; n /= 26, letter++) {
        all.append((char) ('a' + n % 26));
      }
      all.append("=b");
    }
    return all.toString();
  }
}
