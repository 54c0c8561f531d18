package crankspar.lab.rig;

import crankspar.lab.load.Generator;
import crankspar.lab.load.Recorder;
import crankspar.lab.load.Shape;
import crankspar.lab.load.Workload;
import java.io.IOException;
import java.util.List;

/**
 * Nine reads of the board for each claim at one pooler, open loop, on a thread of its own; ids
 * begin with the pooler's name.
 */
public final class RigLoad implements AutoCloseable {
  /** After the last has left, this long (ms) for its answer. */
  private static final double GRACE = 3500;

  private final Generator generator;
  private final Thread thread;
  private final String name;

  public RigLoad(Rig rig, int pooler, double perSecond, double ms, int connections)
      throws IOException {
    var kinds =
        List.of(
            new Workload.Kind("board", 9, 600, false, "SELECT applied_ms()"),
            new Workload.Kind(
                "claim", 1, 3000, true, "INSERT INTO t VALUES ($n) RETURNING applied_ms()"));
    var w =
        new Workload(
            kinds,
            List.of(new Shape.Constant(perSecond)),
            false,
            100,
            1,
            ms,
            7 + pooler,
            Workload.Front.PLATFORM,
            connections,
            1000,
            1);
    name = "p" + pooler;
    generator = Generator.platform(w, rig.fromClients(pooler).address(), name);
    thread =
        new Thread(
            () -> {
              try {
                generator.run(connections, GRACE);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "load-" + name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits for its end. */
  public Recorder ended() throws InterruptedException {
    thread.join();
    return generator.result(true);
  }

  /**
   * Ids of requests that left and whose client saw no answer in time; the pooler's audit says what
   * it made of them.
   */
  public List<String> silent() {
    return generator.silent().stream().map(q -> name + "." + q.number()).toList();
  }

  @Override
  public void close() {
    generator.close();
  }
}
