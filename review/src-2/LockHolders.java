/**
 * A client takes two advisory locks with one statement and gives one back; another client asks for
 * the one that is still held.
 */
public final class LockHolders {
  private static final int ROUNDS = 10;

  private LockHolders() {}

  public static void main(String[] args) {
    Rig.main(args, LockHolders::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front =
        PoolingSetup.start(rig, "league { mode = transaction, places { most = 4 } }", 1);
    int twice = 0;
    for (int round = 0; round < ROUNDS; round++) {
      int first = 100 + 2 * round;
      int second = first + 1;
      try (var a = Wire.Client.of(front.port(), "app", "league");
          var b = Wire.Client.of(front.port(), "app", "league")) {
        String takes = "SELECT pg_advisory_lock(%d), pg_advisory_lock(%d)".formatted(first, second);
        String gives = "SELECT pg_advisory_unlock(%d)".formatted(first);
        rig.note("A: " + takes + " -> " + a.ask(takes).brief());
        if (rig.trouble) { // A's connection may go to another client from here on
          rig.note("A: " + gives + " -> " + a.ask(gives).brief());
        }
        String tries = "SELECT pg_try_advisory_lock(%d)".formatted(second);
        Wire.Answer got = b.ask(tries);
        rig.note("B: " + tries + " -> " + got.brief() + ", while A holds it");
        if (!"t".equals(got.value()) && !"f".equals(got.value())) {
          throw new java.io.IOException("B was not served");
        }
        twice += got.value().equals("t") ? 1 : 0;
      }
    }
    rig.note("two clients held one lock in " + twice + " of " + ROUNDS + " rounds");
    rig.noteLog("shard", 8);
    return twice == 0;
  }
}
