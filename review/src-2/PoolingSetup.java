import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A pooler with its pooling front, as a small deployment sets it up, before one shard. */
record PoolingSetup(int port, Process process, int[] databasePorts) {
  /**
   * Starts a shard and a pooler, and waits until both serve.
   *
   * @param databases the text of the front's {@code databases}
   * @param members how many databases the shard has, the primary first
   */
  static PoolingSetup start(Rig rig, String databases, int members) throws Exception {
    int[] ports = new int[members];
    for (int i = 0; i < members; i++) {
      ports[i] = Rig.freePort();
    }
    String[] arguments = IntStream.of(ports).mapToObj(Integer::toString).toArray(String[]::new);
    Process shard = rig.standIn("shard", "LeagueDb", arguments);
    rig.await("shard", shard, "serves");
    return start(rig, databases, ports, ports);
  }

  /** Starts a pooler that reaches the members at {@code listed}. */
  static PoolingSetup start(Rig rig, String databases, int[] ports, int[] listed) throws Exception {
    int port = Rig.freePort();
    String list =
        IntStream.range(0, listed.length)
            .mapToObj(
                i ->
                    ("      {id = db-%d, host_port = \"127.0.0.1:%d\", locality = east, cell = 1,"
                            + " phase = up, size = 1.0, up_since_ms = 0, role = %s}")
                        .formatted(i + 1, listed[i], i == 0 ? "primary" : "replica"))
            .collect(Collectors.joining("\n"));
    String text =
        """
        name = review
        pooling {
          listen = "127.0.0.1:%d"
          members {
            revision = 1, complete = true
            members = [
        %s
            ]
          }
          databases { %s }
        }
        """
            .formatted(port, list, databases);
    Process pooler = rig.pooler("pooler", rig.operatorFile(text), Map.of());
    rig.await("pooler", pooler, "the pooling front listens at");
    return new PoolingSetup(port, pooler, ports);
  }
}
