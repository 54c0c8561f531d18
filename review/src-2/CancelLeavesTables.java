/**
 * A client that has a temporary table cancels what it asked for and leaves; the cancel reaches the
 * database while the connection is being cleaned. Another client uses the connection next.
 */
public final class CancelLeavesTables {
  private static final int ROUNDS = 10;

  private CancelLeavesTables() {}

  public static void main(String[] args) {
    Rig.main(args, CancelLeavesTables::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front =
        PoolingSetup.start(rig, "league { mode = transaction, places { most = 4 } }", 1);
    int foreign = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String secret = "secret bid " + round;
      String table = "draft_" + round;
      String read = "SELECT val FROM " + table;
      try (var a = Wire.Client.of(front.port(), "app", "league")) {
        String create = "CREATE TEMP TABLE %s AS SELECT '%s' AS val".formatted(table, secret);
        rig.note("A: " + create + " -> " + a.ask(create).brief());
        rig.note("A: " + read + " -> " + a.ask(read).brief());
        if (rig.trouble) {
          a.cancel(front.port());
          rig.note("A: cancel");
        }
      }
      rig.note("A has left");
      Thread.sleep(500);
      try (var b = Wire.Client.of(front.port(), "app", "league")) {
        Wire.Answer got = b.ask(read);
        rig.note("B: " + read + " -> " + got.brief());
        if (got.ended() || got.value() == null && !"42P01".equals(got.code())) {
          throw new java.io.IOException("B was not served");
        }
        foreign += secret.equals(got.value()) ? 1 : 0;
      }
    }
    rig.note("B was given A's table in " + foreign + " of " + ROUNDS + " rounds");
    rig.noteLog("shard", 30);
    return foreign == 0;
  }
}
