package crankspar.daemon;

import crankspar.Router;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.duties.SharedProbes;
import crankspar.duties.SharedWatch;
import crankspar.membership.Datagrams;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The ways to the other poolers: gossip's datagrams where these are plain, or membership's with
 * what is divided by it.
 */
final class Peering implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(Peering.class.getName());

  /** How often the peers' port is tried again while a predecessor has it (ms). */
  private static final double PORT_RETRY = 200;

  private final EventLoop loop;
  private final Counters counters;
  private volatile SharedProbes shared;
  private volatile Datagrams peers;

  /** Who takes datagrams that begin with this byte; all others are the core's. */
  private final Map<Byte, Consumer<byte[]>> takers = new ConcurrentHashMap<>();

  private volatile Consumer<byte[]> toAll = message -> {};

  Peering(EventLoop loop, Counters counters) {
    this.loop = loop;
    this.counters = counters;
  }

  /** Null where nothing is shared, or not yet. */
  SharedProbes shared() {
    return shared;
  }

  /**
   * Probing is divided with the other poolers, where the operator's file and the settings allow it.
   */
  void share(
      Operator.Membership m,
      Config config,
      Router.Settings settings,
      List<SharedProbes.Client> clients,
      SharedWatch watch)
      throws Config.Bad, IOException {
    Config.Peers given = config == null ? null : config.peers();
    if (m.listen() == null && given == null) {
      throw new Config.Bad("membership.listen", "not set, and the platform tells no peers");
    }
    if (m.probes() == null || !settings.limits().probes()) {
      LOG.info(
          "probing is not shared: "
              + (m.probes() == null ? "no duties are set" : "probes are not allowed here"));
      return;
    }
    share(
        new SharedProbes.Setup(
            m.listen() != null ? m.listen() : given.listen(),
            m.listen() != null ? m.peers() : given.all(),
            m.listen() != null ? m.me() : settings.instanceIndex(),
            settings.zone(),
            settings.zones(),
            m.weight(),
            m.keys(),
            m.swim(),
            m.probes()),
        clients,
        watch);
  }

  /**
   * Guards against a successor that ends because its predecessor still has the peers' port: it
   * probes alone until that is free. Only one of two processes with one number may speak.
   */
  private void share(SharedProbes.Setup setup, List<SharedProbes.Client> clients, SharedWatch watch)
      throws IOException {
    try {
      shared = new SharedProbes(loop, counters, setup, clients, watch);
      LOG.info(
          "probing is shared among "
              + setup.peers().size()
              + " poolers, this one at "
              + shared.address());
    } catch (java.net.BindException e) {
      again(() -> share(setup, clients, watch), "probing is not shared");
    }
  }

  private interface Opening {
    void open() throws IOException;
  }

  /** A predecessor still has the port. */
  private void again(Opening what, String without) {
    counters.add("peers_port_taken");
    loop.after(
        PORT_RETRY,
        () -> {
          try {
            what.open();
          } catch (IOException e) {
            LOG.warning(without + ": " + e.getMessage());
          }
        });
  }

  /**
   * From now on datagrams that begin with this byte go there, where poolers hear each other at the
   * platform's port.
   */
  void also(byte first, Consumer<byte[]> taker) {
    takers.put(first, taker);
  }

  /** Sends to all other poolers, where the platform's port is open; on the loop. */
  void tellAll(byte[] message) {
    toAll.accept(message);
  }

  /** Sends to a pooler of this number, where the platform's port is open; on the loop. */
  void tell(InetSocketAddress to, byte[] message) {
    if (peers != null) {
      peers.send(to, message);
    }
  }

  /**
   * The first front's core hears what the other poolers have learned, and tells them what it has.
   */
  void hear(Config.Peers given, int me, Pooler<?, ?> core) throws IOException {
    var others = new ArrayList<InetSocketAddress>(given.all());
    if (me < others.size()) {
      others.remove(me);
    }
    try {
      var friends = Set.copyOf(others);
      peers =
          new Datagrams(
              loop,
              counters,
              given.listen(),
              friends::contains,
              message -> {
                Consumer<byte[]> taker = message.length == 0 ? null : takers.get(message[0]);
                if (taker != null) {
                  taker.accept(message);
                } else {
                  core.peerMessageReceived(message);
                }
              });
      toAll =
          message -> {
            if (given.everyone() != null) {
              peers.send(given.everyone(), message);
            } else {
              others.forEach(to -> peers.send(to, message));
            }
          };
      loop.run(() -> core.setPeers(this::tellAll));
    } catch (java.net.BindException e) {
      again(() -> hear(given, me, core), "the peers are not heard");
    }
  }

  @Override
  public void close() {
    if (shared != null) {
      shared.close();
    }
    if (peers != null) {
      peers.close();
    }
  }
}
