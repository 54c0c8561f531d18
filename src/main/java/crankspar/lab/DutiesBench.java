package crankspar.lab;

import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The promises of shared duties, measured: three poolers as processes of the built jar before
 * stand-in databases that count their probes, with a relay between them that loses one datagram in
 * five, and one of them killed again and again; beside them the present way in the same run, and
 * the model for sizes that sockets don't reach.
 */
final class DutiesBench {
  private static final int DATABASES = 12;
  private static final int POOLERS = 3;
  private static final double LOSS = 0.2;
  private static final int KILLS = 6;

  private final Promises promises = new Promises();
  private final String fault;
  private final EventLoop loop = new EventLoop("stand-ins");
  private final List<PgServer> databases = new ArrayList<>();
  private final List<Relay> relays = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();

  DutiesBench(String fault) throws IOException {
    this.fault = fault == null ? "" : fault;
  }

  private String operator(int number, boolean shared, boolean alone) throws IOException {
    var members = new ArrayList<String>();
    for (int i = 0; i < DATABASES; i++) {
      String member =
          LabSettings.member("db-" + i, databases.get(i).address().getPort(), i % 4 == 0);
      members.add(
          member
              .replace("east", List.of("east", "west", "south").get(i % 3))
              .replace("cell = 1", "cell = " + i / 4));
    }
    var peers = new ArrayList<String>();
    for (int i = 0; i < POOLERS; i++) {
      peers.add(
          "\"127.0.0.1:"
              + (alone ? LoopbackPorts.free().getPort() : relays.get(i).address().getPort())
              + "\"");
    }
    return "name = p"
        + number
        + "\n"
        + LabSettings.text(POOLERS)
            .replace(
                "Locality = east", "Locality = " + List.of("east", "west", "south").get(number))
            .replace("Discovery = on_request", "Discovery = pushed")
        + "pooling { listen = \"127.0.0.1:0\"\n members { revision = 1, complete = true, members = [\n"
        + String.join("\n", members)
        + "\n] }\n databases { db { } } }\n"
        + (shared
            ? "membership { listen = \"127.0.0.1:"
                + ports.get(number)
                + "\", number = "
                + number
                + ", peers = ["
                + String.join(", ", peers)
                + "] }\nduties { }\n"
            : "");
  }

  private PoolerProcess pooler(int number, boolean shared, boolean alone) throws IOException {
    return new PoolerProcess(operator(number, shared, alone), "-Xmx64m");
  }

  /** Probes a second for each database over so many ms. */
  private double rate(int ms) throws InterruptedException {
    loop.runAndWait(() -> databases.forEach(d -> d.probes.reset(loop.now())));
    long start = System.nanoTime();
    Thread.sleep(ms);
    double seconds = (System.nanoTime() - start) / 1e9;
    long[] n = new long[1];
    loop.runAndWait(() -> n[0] = databases.stream().mapToLong(d -> d.probes.count()).sum());
    return n[0] / seconds / DATABASES;
  }

  private double longest() throws InterruptedException {
    double[] most = new double[1];
    loop.runAndWait(
        () ->
            most[0] =
                databases.stream().mapToDouble(d -> d.probes.longest(loop.now())).max().orElse(0));
    return most[0];
  }

  int run() throws IOException, InterruptedException {
    for (int i = 0; i < DATABASES; i++) {
      var server = new PgServer(loop, "db-" + i, new Recording()).role(i % 4 == 0);
      server.recording().whole = false;
      databases.add(server.listen(new InetSocketAddress("127.0.0.1", 0)));
    }
    for (int i = 0; i < POOLERS; i++) {
      ports.add(LoopbackPorts.free().getPort());
      relays.add(
          new Relay(loop, new InetSocketAddress("127.0.0.1", ports.get(i)), LOSS, 1.4, 29, i));
    }
    processes();
    model();
    for (Relay r : relays) {
      r.close();
    }
    databases.forEach(PgServer::close);
    loop.close();
    return promises.tell();
  }

  private void processes() throws IOException, InterruptedException {
    double one;
    try (var alone = pooler(0, true, true)) {
      Thread.sleep(1500);
      one = rate(3000);
    }
    double present;
    try (var a = pooler(0, false, false);
        var b = pooler(1, false, false);
        var c = pooler(2, false, false)) {
      Thread.sleep(2000);
      present = rate(3000);
    }
    var poolers = new ArrayList<PoolerProcess>();
    try {
      for (int i = 0; i < POOLERS; i++) {
        poolers.add(pooler(i, true, false));
      }
      Thread.sleep(3000);
      double three = rate(4000) * (fault.equals("probes") ? 2 : 1);
      double steady = longest();
      loop.runAndWait(() -> databases.forEach(d -> d.probes.reset(loop.now())));
      for (int k = 0; k < KILLS; k++) {
        int who = k % POOLERS;
        poolers.get(who).close();
        Thread.sleep(700);
        poolers.set(who, pooler(who, true, false));
        Thread.sleep(1200);
      }
      double gap = longest() + (fault.equals("gap") ? 500 : 0);
      promises.put("probes_a_second_one_alone", Promises.round(one));
      promises.put("probes_a_second_three_present_way", Promises.round(present));
      promises.put("probes_a_second_three_shared", Promises.round(three));
      promises.put("longest_gap_steady_ms", Promises.round(steady));
      promises.put("kills", KILLS);
      promises.put("longest_gap_with_kills_ms", Promises.round(gap));
      promises.keep(
          three <= 1.3 * one,
          "three poolers probe "
              + Promises.round(three)
              + " times a second, one alone "
              + Promises.round(one));
      promises.keep(
          gap <= 500, "a database went unprobed for " + Promises.round(gap) + " ms after a kill");
    } finally {
      for (PoolerProcess p : poolers) {
        p.close();
      }
    }
  }

  private void model() {
    var base =
        new DutiesModel(DutiesModel.World.of(1, 1, DATABASES, 0))
            .run(3000)
            .measure()
            .run(8000)
            .figures();
    var datagrams = new ArrayList<Double>();
    for (int n : new int[] {3, 14, 48}) {
      DutiesModel.World world = DutiesModel.World.of(n, n, DATABASES, 0.05);
      try {
        var model = new DutiesModel(world).run(5000).measure().run(4000);
        double steady = model.figures().age95();
        model.kill(1).run(4000);
        var f = model.figures();
        var alone = new DutiesModel(world.apart()).run(3000).measure().run(4000).figures();
        promises.put("model_" + n + "_probes_a_second", Promises.round(f.probesByDatabase()));
        promises.put(
            "model_" + n + "_probes_a_second_each_alone", Promises.round(alone.probesByDatabase()));
        promises.put("model_" + n + "_longest_gap_ms", Promises.round(f.longestGap()));
        promises.put("model_" + n + "_datagrams_a_second", Promises.round(f.datagramsByInstance()));
        promises.put("model_" + n + "_age_p95_ms", Promises.round(steady));
        promises.put("model_" + n + "_age_p95_each_alone_ms", Promises.round(alone.age95()));
        datagrams.add(f.datagramsByInstance());
        promises.keep(
            f.probesByDatabase() <= 1.3 * base.probesByDatabase(),
            n
                + " instances probe "
                + Promises.round(f.probesByDatabase())
                + " times a second, one alone "
                + Promises.round(base.probesByDatabase()));
        promises.keep(
            f.longestGap() <= 500,
            "with "
                + n
                + " instances a database went unprobed for "
                + Promises.round(f.longestGap())
                + " ms");
        promises.keep(
            steady <= alone.age95() + 60,
            "with "
                + n
                + " instances positions are "
                + Promises.round(steady)
                + " ms old, each alone "
                + Promises.round(alone.age95()));
      } catch (Timeline.Broken e) {
        promises.keep(false, e.getMessage());
      }
    }
    promises.keep(
        datagrams.size() == 3 && datagrams.get(2) <= 1.2 * datagrams.get(1),
        "datagrams grow with the instances: " + datagrams);
  }
}
