package crankspar.daemon;

import crankspar.Router;
import crankspar.audit.Auditor;
import crankspar.audit.Digest;
import crankspar.audit.Pages;
import crankspar.audit.Stand.Origin;
import crankspar.audit.StandingSettings;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.core.Counters;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.discovery.Watch;
import crankspar.membership.Datagrams;
import crankspar.net.EventLoop;
import crankspar.store.Store;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.zip.CRC32;

/**
 * Puts the audit between the parts that it hears and those that carry out what it decides. The
 * first front is audited.
 */
final class Auditing implements AutoCloseable {
  private final EventLoop loop;
  private final Auditor auditor;
  private final Datagrams own;

  /**
   * What of the daemon it needs: the first front with its list and its watch (or null), and all
   * fronts to shut.
   */
  record Parts(
      EventLoop loop,
      Counters counters,
      Store store,
      Peering peering,
      List<Front> fronts,
      List<Directory> directories,
      Watch watch,
      BooleanSupplier leaving) {}

  Auditing(Parts parts, Operator.Audit setup, Config config, String name, Router.Settings settings)
      throws Config.Bad, IOException, InterruptedException {
    loop = parts.loop();
    Config.Peers given = config == null ? null : config.peers();
    if (setup.listen() == null && (given == null || !config.settings().limits().peerMessages())) {
      // Guards against a fleet of which each pooler takes itself for alone, and shuts itself out
      // with discovery.
      throw new Config.Bad(
          "audit.listen",
          "not set, and the platform "
              + (given == null ? "tells no peers" : "lets poolers tell each other nothing"));
    }
    List<InetSocketAddress> all = setup.listen() != null ? setup.peers() : given.all();
    int me = setup.listen() != null ? setup.me() : settings.instanceIndex();
    var standing =
        new StandingSettings(
            me, Math.min(Digest.POOLERS_MOST, all.size()), setup.lease(), setup.share());
    var to =
        new Auditor.Setup(
            name,
            build(),
            setup.folder(),
            setup.stragglers(),
            standing,
            settings.classes().stream().map(Router.RequestClass::name).toList(),
            ThreadLocalRandom.current().nextLong());
    var socket = new Datagrams[1];
    auditor =
        new Auditor(
            loop,
            parts.counters(),
            to,
            new Auditor.Hands() {
              @Override
              public void ask() {
                if (parts.watch() != null) {
                  parts.watch().ask();
                }
              }

              @Override
              public void fence(boolean on) {
                parts.directories().forEach(d -> d.fence(on));
                parts
                    .fronts()
                    .forEach(
                        f -> {
                          f.reportUnavailable(on || parts.leaving().getAsBoolean());
                          if (on) {
                            f.drain();
                          } else if (!parts.leaving().getAsBoolean()) {
                            f.resume();
                          }
                        });
              }

              @Override
              public void drained(Set<String> ids) {
                parts.directories().forEach(d -> d.byPeers(ids));
              }

              @Override
              public void tell(int pooler, byte[] bytes) {
                if (socket[0] != null) {
                  socket[0].send(all.get(pooler), bytes);
                } else {
                  parts.peering().tell(all.get(pooler), bytes);
                }
              }
            });
    if (setup.listen() != null) {
      var friends = Set.copyOf(all);
      socket[0] =
          new Datagrams(loop, parts.counters(), setup.listen(), friends::contains, auditor::told);
    } else {
      parts.peering().also(Digest.VERSION, auditor::told);
    }
    own = socket[0];
    loop.runAndWait(
        () -> {
          auditor.configured(shared(settings), Origin.FILE);
          if (parts.watch() != null) {
            auditor.discovery(parts.watch().address().toString(), Origin.FILE);
            parts.watch().onWord(auditor::word);
          }
          auditor.marked(0, parts.store().under(Directory.DRAIN).keySet(), Origin.FILE);
          long[] place = new long[1];
          parts
              .store()
              .onChange(
                  e -> {
                    if (e.key().startsWith(Directory.DRAIN)) {
                      auditor.marked(
                          ++place[0],
                          parts.store().under(Directory.DRAIN).keySet(),
                          Origin.OPERATOR);
                    }
                  });
          parts.directories().get(0).hearer(auditor::listed);
          auditor.start();
        });
  }

  /** From now on what this core sends is kept; {@code naming} gives a query's own name. */
  <Q> void attach(Pooler<Q, ?> core, Function<Q, String> naming) {
    core.setRequestNaming(naming);
    core.setAudit(auditor);
  }

  /** Files have been read anew. */
  void reloaded(Config config, Watch watch) {
    if (config != null) {
      auditor.configured(shared(config.settings()), Origin.OPERATOR);
    }
    if (watch != null) {
      auditor.discovery(watch.address().toString(), Origin.OPERATOR);
    }
  }

  void paused(double ms) {
    auditor.paused(ms);
  }

  boolean fenced() {
    return auditor.fenced();
  }

  String page(String page, Map<String, String> query) {
    return Pages.page(auditor, page, query);
  }

  Map<String, Long> figures() {
    return auditor.figures();
  }

  Map<String, Long> counts() {
    return auditor.counts();
  }

  /** What of the settings is the same at every pooler: not its number, its zone and its seed. */
  private static String shared(Router.Settings s) {
    return new Router.Settings(
            0,
            "",
            s.zones(),
            0,
            s.instanceCount(),
            s.batchInterval(),
            s.watchDiscovery(),
            s.classes(),
            s.laggingRead(),
            s.patience(),
            s.roleInList(),
            s.sessionMarks(),
            s.reportsPosition(),
            s.commitWaits(),
            s.positionEpoch(),
            s.reports(),
            s.guarantees(),
            s.limits(),
            s.prices())
        .toString();
  }

  /**
   * The version, and a checksum of the archive that runs: two builds of one version are told apart.
   */
  private static String build() {
    String version = Auditing.class.getPackage().getImplementationVersion();
    try {
      Path at = Path.of(Auditing.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      if (Files.isRegularFile(at)) {
        var crc = new CRC32();
        crc.update(Files.readAllBytes(at));
        return (version == null ? "" : version) + "+" + Long.toHexString(crc.getValue());
      }
    } catch (IOException | java.net.URISyntaxException | RuntimeException e) {
      // said as not packaged
    }
    return version == null ? "(not packaged)" : version;
  }

  @Override
  public void close() {
    try {
      loop.runAndWait(auditor::close);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (own != null) {
      own.close();
    }
  }
}
