package crankspar.lab;

import crankspar.net.Addresses;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The commands under {@code lab}: stand-ins and experiments, never part of what serves. */
@Command(
    name = "lab",
    description = "Stand-ins and experiments of our own.",
    synopsisSubcommandLabel = "COMMAND",
    mixinStandardHelpOptions = true,
    subcommands = {
      crankspar.lab.load.LoadCommand.class,
      crankspar.lab.experiment.ExperimentCommand.class,
      crankspar.lab.rig.RigCommand.class
    })
public final class LabCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "pg-server",
      description =
          "A stand-in for a PostgreSQL server, until it is ended. It answers what drivers"
              + " ask and keeps no tables.")
  int pgServer(
      @Option(
              names = "--listen",
              defaultValue = "127.0.0.1:5432",
              description = "address and port (${DEFAULT-VALUE})")
          String listen,
      @Option(names = "--replica", description = "a replica: it turns writes away") boolean replica,
      @Option(names = "--lag-ms", defaultValue = "0", description = "how far a replica is behind")
          double lag,
      @Option(names = "--work-ms", defaultValue = "0", description = "how long a statement takes")
          double work,
      @Option(
              names = "--cores",
              defaultValue = "64",
              description = "how many statements run at once")
          int cores)
      throws IOException, InterruptedException {
    var server =
        new PgServer(replica ? "replica" : "primary").role(!replica).lag(lag).work(work, cores);
    server.recording().whole = false;
    server.listen(Addresses.parse(listen));
    System.out.println(
        "a stand-in " + (replica ? "replica" : "primary") + " listens at " + server.address());
    System.out.flush();
    Thread.currentThread().join();
    return 0;
  }

  @Command(
      name = "host",
      description =
          "Serves an operator's file for an experiment, and tells its heap, allocated bytes and"
              + " processor time when asked on standard input.")
  int host(@CommandLine.Parameters(paramLabel = "FILE") java.nio.file.Path file) throws Exception {
    var daemon = new crankspar.daemon.Daemon(null, crankspar.config.Operator.read(file));
    System.out.println("pooling " + daemon.poolingAddress().getPort());
    System.out.flush();
    var in =
        new java.io.BufferedReader(
            new java.io.InputStreamReader(System.in, java.nio.charset.StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      System.out.println(
          switch (line) {
            case "allocated" -> HostFigures.allocated();
            case "cpu" -> HostFigures.cpuMicros();
            default -> HostFigures.heap();
          });
      System.out.flush();
    }
    daemon.close();
    return 0;
  }

  @Command(
      name = "pooling-bench",
      description = "Measures the pooling front's promises; exit 1 where one is broken.")
  int poolingBench(
      @Option(
              names = "--spoil",
              description =
                  "spoils one promise on purpose, to see the check fail: latency, memory, burst,"
                      + " lost or prepares")
          String fault)
      throws Exception {
    return new PoolingBench(fault).run();
  }

  /** Prints what a model found; 1 where something in it broke. */
  private static int told(java.util.function.Supplier<?> model) {
    try {
      System.out.println(model.get());
      return 0;
    } catch (Timeline.Broken e) {
      System.out.println("broken: " + e.getMessage());
      return 1;
    }
  }

  @Command(
      name = "duties-model",
      description =
          "Membership and duties in a deterministic model: the daemon's own classes at sizes that"
              + " sockets don't reach. A broken promise prints its seed and ends with 1.")
  int dutiesModel(
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--instances", defaultValue = "48") int instances,
      @Option(names = "--databases", defaultValue = "12") int databases,
      @Option(
              names = "--loss",
              defaultValue = "0.05",
              description = "share of datagrams lost (${DEFAULT-VALUE})")
          double loss,
      @Option(
              names = "--bound-ms",
              defaultValue = "500",
              description = "the longest that a database may go unprobed")
          double bound,
      @Option(names = "--kills", defaultValue = "0", description = "instances killed, one a second")
          int kills,
      @Option(names = "--seconds", defaultValue = "10") int seconds,
      @Option(names = "--alone", description = "each probes for itself: the present way")
          boolean alone) {
    var w = DutiesModel.World.of(seed, instances, databases, loss);
    var world =
        new DutiesModel.World(
            seed,
            instances,
            databases,
            w.zones(),
            loss,
            w.delayLeast(),
            w.delayMost(),
            w.drift(),
            bound,
            alone,
            w.duties(),
            w.swim());
    return told(
        () -> {
          var model = new DutiesModel(world).run(5000).measure();
          for (int i = 0; i < kills; i++) {
            model.kill(i).run(1000);
          }
          return model.run(1000.0 * Math.max(1, seconds - kills)).figures();
        });
  }

  @Command(
      name = "routing-model",
      description =
          "Routing by many poolers in a deterministic model: the daemon's own decisions at sizes that"
              + " sockets don't reach. Prints what all of them did together; a broken rule prints its seed and ends with 1.")
  int routingModel(
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--poolers", defaultValue = "100") int poolers,
      @Option(
              names = "--groups",
              defaultValue = "20",
              description = "each of six databases (${DEFAULT-VALUE})")
          int groups,
      @Option(
              names = "--per-second",
              defaultValue = "540",
              description = "requests of all clients (${DEFAULT-VALUE})")
          double rate,
      @Option(
              names = "--seconds",
              defaultValue = "20",
              description = "after 5 s that are not counted (${DEFAULT-VALUE})")
          int seconds,
      @Option(names = "--mute", description = "poolers' messages are all lost once it counts")
          boolean mute,
      @Option(names = "--cold", description = "a replica of each group starts cold once it counts")
          boolean cold,
      @Option(
              names = "--restart",
              defaultValue = "0",
              description = "share of the poolers that start anew once it counts")
          double restart) {
    return told(
        () -> {
          var model =
              new RoutingModel(RoutingModel.World.of(seed, poolers, groups, rate))
                  .run(5000)
                  .measure()
                  .mute(mute)
                  .restart(restart, 2000);
          for (int g = 0; cold && g < groups; g++) {
            model.cold(g, 1, 2000);
          }
          return model.run(1000.0 * seconds).figures() + " " + model.counts();
        });
  }

  @Command(
      name = "audit-model",
      description =
          "Stragglers in a deterministic model: the daemon's own decisions at sizes that sockets don't reach."
              + " One pooler is cut from discovery; a drain that does not reach all ends with 1.")
  int auditModel(
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(
              names = "--poolers",
              defaultValue = "3,14,100,500",
              split = ",",
              description = "sizes (${DEFAULT-VALUE})")
          java.util.List<Integer> sizes,
      @Option(
              names = "--loss",
              defaultValue = "0.2",
              description = "share of datagrams lost (${DEFAULT-VALUE})")
          double loss) {
    int broken = 0;
    for (int n : sizes) {
      broken = Math.max(broken, told(() -> AuditModel.figures(AuditModel.World.of(seed, n, loss))));
    }
    return broken;
  }

  @Command(
      name = "audit-bench",
      description =
          "Measures the audit's promises between real processes; exit 1 where one is broken.")
  int auditBench(
      @Option(names = "--spoil", description = "spoils one promise on purpose: drain or ledger")
          String fault,
      @Option(
              names = "--before",
              paramLabel = "JAR",
              description = "an earlier version that plays the same, beside it")
          java.nio.file.Path before)
      throws Exception {
    return new crankspar.lab.rig.AuditBench(fault, before).run();
  }

  @Command(
      name = "keys-bench",
      description = "Measures what idempotency keys on disk cost a write and a start.")
  int keysBench(
      @Option(
              names = "--folder",
              defaultValue = "target",
              description = "where the log lies meanwhile (${DEFAULT-VALUE})")
          java.nio.file.Path folder)
      throws Exception {
    return new KeysBench(folder).run();
  }

  @Command(
      name = "duties-bench",
      description = "Measures the promises of shared duties; exit 1 where one is broken.")
  int dutiesBench(
      @Option(names = "--spoil", description = "spoils one promise on purpose: gap or probes")
          String fault)
      throws Exception {
    return new DutiesBench(fault).run();
  }

  @Command(
      name = "duties-plot",
      description =
          "Plots cost and age by the number of instances, each alone and shared, from the model.")
  int dutiesPlot(@CommandLine.Parameters(paramLabel = "FILE.png") java.nio.file.Path file)
      throws IOException {
    return DutiesPlot.write(file);
  }

  @Command(
      name = "load-bench",
      description = "Measures the load generator's own promises; exit 1 where one is broken.")
  int loadBench(
      @Option(
              names = "--spoil",
              description = "spoils one promise on purpose: percentiles, late or memory")
          String fault)
      throws Exception {
    return new crankspar.lab.load.LoadBench(fault).run();
  }

  @Command(
      name = "fleet",
      description =
          "Stand-in league databases in groups, with troubles by a script in time (HOCON); prints their members.")
  int fleet(@CommandLine.Parameters(paramLabel = "FLEET.conf") java.nio.file.Path file)
      throws IOException, InterruptedException {
    try {
      var fleet = new Fleet(Fleet.read(file));
      fleet.recording().whole = false;
      System.out.println(fleet.members());
      System.out.flush();
      fleet.begin();
    } catch (crankspar.config.Config.Bad e) {
      System.err.println("fleet: " + e.getMessage());
      return 2;
    }
    Thread.currentThread().join();
    return 0;
  }

  @Command(
      name = "performance",
      description =
          "Finds the pooling front's knee on one core, and what a request costs at half of it; writes a plot.")
  int performance(@CommandLine.Parameters(paramLabel = "FOLDER") java.nio.file.Path folder)
      throws Exception {
    return new Performance().run(folder);
  }
}
