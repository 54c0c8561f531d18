/**
 * Sessions that write by a function of the database, in the write class, and read their own data
 * soon after, while the replicas' replay is slow.
 */
public final class StaleOwnRead {
  /** The brief: a lag lasts 8 to 25 s and slows the replay by 3.3 to 20 times. */
  private static final int LAG_FACTOR = 10;

  private static final int LAG_MS = 20_000;
  private static final int LAG_BEFORE_MS = 3_000;

  /** A session's read comes 330 to 780 ms after its write. */
  private static final int GAP_MS = 450;

  private static final int SESSIONS = 16;

  private StaleOwnRead() {}

  public static void main(String[] args) {
    Rig.main(args, StaleOwnRead::play);
  }

  private static boolean play(Rig rig) throws Exception {
    var front =
        PoolingSetup.start(
            rig, "league { mode = transaction, class = claim, places { most = 8 } }", 3);
    Thread.sleep(2_000);
    if (rig.trouble) {
      try (var control = Wire.Client.of(front.databasePorts()[0], "control", "core")) {
        control.ask("CONTROL slow " + LAG_FACTOR + " " + LAG_MS);
      }
      rig.note("replay is " + LAG_FACTOR + " times slower for " + LAG_MS + " ms");
      Thread.sleep(LAG_BEFORE_MS);
    }
    int stale = 0;
    int seen = 0;
    int unserved = 0;
    for (int i = 0; i < SESSIONS; i++) {
      String key = "manager-" + i;
      String value = "trade-" + i;
      try (var client = Wire.Client.of(front.port(), "app", "league")) {
        Wire.Answer write =
            client.ask("/* c=claim */ SELECT claim_trade('%s', '%s')".formatted(key, value));
        rig.note("session " + i + " writes " + value + ": " + write.brief());
        Thread.sleep(GAP_MS);
        Wire.Answer read =
            client.ask("/* c=own */ SELECT val FROM state WHERE uid = '%s'".formatted(key));
        rig.note("session " + i + " reads its own: " + read.brief());
        if (write.code() != null || read.code() != null || !value.equals(write.value())) {
          unserved++;
        } else if (value.equals(read.value())) {
          seen++;
        } else {
          stale++;
        }
      }
    }
    rig.note(
        "%d reads saw their session's write, %d did not, %d were not served"
            .formatted(seen, stale, unserved));
    rig.noteLog("shard", 12);
    if (seen + stale < SESSIONS / 2) {
      throw new java.io.IOException("too few sessions were served");
    }
    return stale == 0;
  }
}
