package crankspar.lab;

import crankspar.config.Config;
import crankspar.config.OperatorFile;
import crankspar.config.Section;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in league databases in groups, each with a primary and replicas that apply its log with one
 * thread, and the troubles of the brief as a script in time. One loop, one clock and one recording
 * for all.
 */
public final class Fleet implements AutoCloseable {
  /** What a fleet is like; times in ms. */
  public record Setup(
      int groups,
      int replicas,
      double work,
      int cores,
      double logDelay,
      double applyCost,
      int connections,
      List<Trouble> troubles) {}

  /**
   * One trouble: what, to whom (an id, a prefix with {@code *}), from when for how long, and how
   * hard.
   */
  public record Trouble(Kind kind, String who, double at, double lasts, double factor) {
    public enum Kind {
      CRASH,
      FREEZE,
      SLOW_REPLAY,
      SLOW_ALL,
      DRAIN,
      SWAP_PRIMARY
    }

    boolean hits(String id) {
      return who.endsWith("*") ? id.startsWith(who.substring(0, who.length() - 1)) : id.equals(who);
    }
  }

  private static final double DAY = 86_400_000;
  private static final List<String> ZONES = List.of("east", "west", "south");

  private final EventLoop loop = new EventLoop("fleet");
  private final Recording recording = new Recording();
  private final Setup setup;
  private final Map<String, PgServer> servers = new LinkedHashMap<>();

  public Fleet(Setup setup) throws IOException {
    this.setup = setup;
    for (int g = 1; g <= setup.groups(); g++) {
      var group = new ArrayList<PgServer>();
      for (int i = 0; i <= setup.replicas(); i++) {
        String id = "g" + g + "-" + (i == 0 ? "p" : "r" + i);
        var server =
            new PgServer(loop, id, recording)
                .role(i == 0)
                .work(setup.work(), setup.cores())
                .connectionsMost(setup.connections());
        server.listen(new InetSocketAddress("127.0.0.1", 0));
        servers.put(id, server);
        group.add(server);
      }
      group.forEach(s -> s.group(group, setup.logDelay(), setup.applyCost()));
    }
  }

  public static Setup read(Path file) throws Config.Bad {
    Section f = OperatorFile.read(file, new ArrayList<>());
    var troubles = new ArrayList<Trouble>();
    for (Map.Entry<String, Section> e : f.parts("troubles").entrySet()) {
      Section t = e.getValue();
      troubles.add(
          new Trouble(
              t.word(
                  "kind",
                  "crash",
                  Map.of(
                      "crash",
                      Trouble.Kind.CRASH,
                      "freeze",
                      Trouble.Kind.FREEZE,
                      "slow-replay",
                      Trouble.Kind.SLOW_REPLAY,
                      "slow-all",
                      Trouble.Kind.SLOW_ALL,
                      "drain",
                      Trouble.Kind.DRAIN,
                      "swap-primary",
                      Trouble.Kind.SWAP_PRIMARY)),
              t.text("who", "*"),
              t.millis("at", 0, 0, DAY),
              t.millis("lasts", 2000, 0, DAY),
              t.number("factor", 4, 0, 1000)));
      t.done();
    }
    var setup =
        new Setup(
            f.count("groups", 1, 1, 100),
            f.count("replicas", 2, 0, 20),
            f.millis("work", 2, 0, 60_000),
            f.count("cores", 3, 1, 1000),
            f.millis("log-delay", 8, 0, 60_000),
            f.millis("apply", 1, 0, 60_000),
            f.count("connections", 500, 1, 100_000),
            troubles);
    f.done();
    return setup;
  }

  public Recording recording() {
    return recording;
  }

  public PgServer server(String id) {
    return servers.get(id);
  }

  /** {@code members { ... }} for an operator's file. */
  public String members() {
    var all = new ArrayList<String>();
    servers.forEach(
        (id, s) -> {
          int group = Integer.parseInt(id.substring(1, id.indexOf('-')));
          all.add(
              LabSettings.member(id, s.address().getPort(), id.endsWith("-p"))
                  .replace("east", ZONES.get(all.size() % 3))
                  .replace("cell = 1", "cell = " + group));
        });
    return "members { revision = 1, complete = true, members = [\n"
        + String.join("\n", all)
        + "\n] }\n";
  }

  /** Begins the script: troubles count their time from now. */
  public Fleet begin() {
    for (Trouble t : setup.troubles()) {
      loop.after(
          t.at(),
          () ->
              servers.forEach(
                  (id, s) -> {
                    if (t.hits(id)) {
                      on(t, s);
                    }
                  }));
    }
    return this;
  }

  private void on(Trouble t, PgServer s) {
    switch (t.kind()) {
      case CRASH -> {
        s.crashed(true);
        loop.after(
            t.lasts(),
            () -> {
              s.crashed(false);
              s.cold(t.factor(), 5000);
            });
      }
      case FREEZE -> s.stalled(loop.now() + t.lasts());
      case SLOW_REPLAY -> {
        s.replay().slower(t.factor());
        loop.after(t.lasts(), () -> s.replay().slower(1));
      }
      case SLOW_ALL -> {
        double before = s.work;
        s.work = before * t.factor();
        loop.after(t.lasts(), () -> s.work = before);
      }
      case DRAIN -> {
        s.draining(true);
        loop.after(t.lasts(), () -> s.draining(false));
      }
      case SWAP_PRIMARY -> s.swapPrimary();
    }
  }

  @Override
  public void close() {
    servers.values().forEach(PgServer::close);
    loop.close();
  }
}
