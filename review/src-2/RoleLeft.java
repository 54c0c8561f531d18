/**
 * A client that has set a role says RESET ALL, which leaves the role as it is; another client, that
 * has set none, asks next.
 */
public final class RoleLeft {
  private static final int ROUNDS = 10;
  private static final String READ = "SELECT lineup FROM my_roster";

  private RoleLeft() {}

  public static void main(String[] args) {
    Rig.main(args, RoleLeft::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front =
        PoolingSetup.start(rig, "league { mode = transaction, places { most = 4 } }", 1);
    int foreign = 0;
    for (int round = 0; round < ROUNDS; round++) {
      try (var a = Wire.Client.of(front.port(), "app", "league");
          // Without the disruption B has a connection that A never had: it is another user's.
          var b = Wire.Client.of(front.port(), rig.trouble ? "app" : "app2", "league")) {
        rig.note("A: SET ROLE manager_7 -> " + a.ask("SET ROLE manager_7").brief());
        rig.note("A: " + READ + " -> " + a.ask(READ).brief());
        rig.note("A: RESET ALL -> " + a.ask("RESET ALL").brief());
        Wire.Answer got = b.ask(READ);
        rig.note("B: " + READ + " -> " + got.brief());
        if (got.value() == null) {
          throw new java.io.IOException("B was not served");
        }
        foreign += got.value().contains("manager_7") ? 1 : 0;
      }
    }
    rig.note("B was given A's rows in " + foreign + " of " + ROUNDS + " rounds");
    return foreign == 0;
  }
}
