package crankspar.duties;

import crankspar.Router.Role;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.membership.Datagrams;
import crankspar.membership.News.State;
import crankspar.membership.Seal;
import crankspar.membership.Swim;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Drives one {@link Node} in the daemon: its datagrams, its time, and the probes that it decides
 * on, which go out over the connections of the first front that lists the database. Each result
 * goes to every core that lists it, as the probe result that it is: its position is the database's
 * own, and it took as long as it is old. What the module asks for is answered from what is known,
 * or comes with the next result; what is no duty it probes itself.
 */
public final class SharedProbes implements Ports.SharedProber, AutoCloseable {
  /**
   * How an instance takes part.
   *
   * @param peers all instances' addresses, in one order for all, its own among them as number
   *     {@code me}
   * @param zones names by which its zone and the databases' are numbered
   */
  public record Setup(
      InetSocketAddress listen,
      List<InetSocketAddress> peers,
      int me,
      String zone,
      List<String> zones,
      int weight,
      List<byte[]> keys,
      Swim.Settings swim,
      Duties.Settings duties) {
    /** Lists that number their peers otherwise must not be taken for one. */
    int hash() {
      int hash = peers.size();
      for (InetSocketAddress p : peers) {
        hash = 31 * hash + p.getPort() * 7 + p.getAddress().hashCode();
      }
      return hash;
    }
  }

  /** One front: its core, and its databases that run with their zones' names. */
  public record Client(Pooler<?, ?> core, Supplier<Map<String, String>> databases) {}

  /**
   * For the one instance that is told: a watch that is shared, or null where each keeps its own.
   */
  private final SharedWatch watch;

  private static final double TICK = 10;
  private static final double LOOK = 100;

  private final EventLoop loop;
  private final Counters counters;
  private final Setup setup;
  private final List<Client> clients;
  private final Datagrams datagrams;
  private final Node node;
  private Map<String, Client> lists = Map.of();
  private double lastLook = Double.NEGATIVE_INFINITY;
  private boolean closed;

  public SharedProbes(
      EventLoop loop, Counters counters, Setup setup, List<Client> clients, SharedWatch watch)
      throws IOException {
    this.loop = loop;
    this.counters = counters;
    this.setup = setup;
    this.clients = List.copyOf(clients);
    this.watch = watch;
    int zone = zone(setup.zone());
    // A restart's numbers are higher than any before, as long as fewer than 256 datagrams a second
    // are sent.
    int seq = (int) (System.currentTimeMillis() / 1000 * 256);
    node =
        Node.of(
            setup.swim(),
            setup.duties(),
            setup.me(),
            setup.peers().size(),
            seconds(),
            zone,
            setup.weight(),
            new Seal(setup.keys()),
            setup.hash(),
            seq,
            new java.util.SplittableRandom());
    datagrams = new Datagrams(loop, counters, setup.listen(), this::received);
    loop.run(
        () -> {
          clients.forEach(c -> c.core().setSharedProber(this));
          tick();
        });
  }

  private int zone(String name) {
    return Math.max(0, setup.zones().indexOf(name));
  }

  private int seconds() {
    return (int) (loop.now() / 1000);
  }

  /** Keys read anew. */
  public void keys(List<byte[]> keys) {
    loop.run(() -> node.seal(new Seal(keys)));
  }

  private void tick() {
    if (closed) {
      return;
    }
    double now = loop.now();
    if (now - lastLook >= LOOK) {
      lastLook = now;
      look(now);
    }
    carryOut(node.tick(now, seconds()));
    loop.after(TICK, this::tick);
  }

  private void look(double now) {
    var all = new LinkedHashMap<String, Client>();
    var zones = new LinkedHashMap<String, Integer>();
    for (Client c : clients) {
      c.databases()
          .get()
          .forEach(
              (id, zone) -> {
                all.putIfAbsent(id, c);
                zones.put(id, zone(zone));
              });
    }
    if (watch != null) {
      zones.put(SharedWatch.ID, 0);
    }
    lists = all;
    node.duties().databases(now, zones);
  }

  private void received(byte[] bytes) {
    if (!closed) {
      carryOut(node.received(loop.now(), seconds(), bytes, bytes.length));
    }
  }

  private void carryOut(List<Node.Effect> effects) {
    for (Node.Effect e : effects) {
      if (e instanceof Node.Effect.Send s) {
        datagrams.send(setup.peers().get(s.to()), s.bytes());
      } else if (e instanceof Node.Effect.Duty d && d.what() instanceof Duties.Effect.Probe p) {
        probe(p.id());
      } else if (e instanceof Node.Effect.Duty d && d.what() instanceof Duties.Effect.Heard h) {
        heard(h.result());
      }
    }
  }

  private void probe(String id) {
    double startedAt = loop.now();
    if (id.equals(SharedWatch.ID)) {
      boolean up = watch.hold();
      loop.run(
          () ->
              carryOut(node.probed(loop.now(), seconds(), id, up, 0, watch.revision(), startedAt)));
      return;
    }
    Client c = lists.get(id);
    if (c == null) {
      return; // it has left since the last look: the duty ends with the next one
    }
    c.core()
        .probeNow(
            id,
            (ok, elapsed, role, position) -> {
              int number = role == Role.PRIMARY ? 1 : role == Role.REPLICA ? 2 : 0;
              long at = Double.isNaN(position) ? 0 : (long) position;
              carryOut(node.probed(loop.now(), seconds(), id, ok, number, at, startedAt));
            });
  }

  private void heard(Duties.Result r) {
    if (r.id().equals(SharedWatch.ID)) {
      if (r.by() != setup.me() && r.ok()) {
        watch.heard(r.position());
      }
      return;
    }
    if (r.by() != setup.me()) {
      counters.add("duties_heard");
    }
    clients.forEach(c -> tell(c, r));
  }

  private void tell(Client c, Duties.Result r) {
    Role role = r.role() == 1 ? Role.PRIMARY : r.role() == 2 ? Role.REPLICA : Role.UNKNOWN;
    c.core()
        .probeCompleted(
            r.id(),
            r.ok(),
            Math.max(0.1, loop.now() - r.probedAt()),
            role,
            r.position() == 0 ? Double.NaN : r.position());
  }

  @Override
  public boolean handles(Pooler<?, ?> core, String id) {
    if (!node.duties().covers(id)) {
      return false;
    }
    Duties.Result known = node.duties().wanted(loop.now(), id);
    if (known != null) {
      clients.stream().filter(c -> c.core() == core).forEach(c -> tell(c, known));
    }
    return true;
  }

  /** Goes: the others hear it at once. */
  public void leave() {
    if (!closed) {
      carryOut(node.leave(loop.now(), seconds()));
    }
  }

  /** Present values for operators. */
  public Map<String, Long> figures() {
    var all = new LinkedHashMap<String, Long>();
    for (State s : State.values()) {
      long n = 0;
      for (int i = 0; i < node.swim().size(); i++) {
        n += node.swim().state(i) == s ? 1 : 0;
      }
      all.put("members_" + s.name().toLowerCase(java.util.Locale.ROOT), n);
    }
    all.put("members_own_health", (long) node.swim().health());
    all.put("duties", (long) node.duties().size());
    all.put("duties_held", node.duties().held());
    return all;
  }

  /** Counts since the start. */
  public Map<String, Long> counts() {
    var all = new LinkedHashMap<String, Long>();
    all.put("duties_probes", node.duties().probes());
    all.put("duties_taken_over", node.duties().takeovers());
    all.put("duties_handed_over", node.duties().handed());
    all.put("members_withdrawn", node.swim().withdrawn());
    all.put("peers_sent", node.sent());
    all.put("peers_received", node.received());
    Node.Drops d = node.drops();
    all.put("peers_dropped_seal", d.seal);
    all.put("peers_dropped_malformed", d.malformed);
    all.put("peers_dropped_list", d.list);
    all.put("peers_dropped_stale", d.stale);
    all.put("peers_dropped_replayed", d.replayed);
    all.put("peers_dropped_unknown", d.unknown);
    return all;
  }

  public InetSocketAddress address() throws IOException {
    return datagrams.address();
  }

  @Override
  public void close() {
    closed = true;
    datagrams.close();
  }

  /** The members of a list as numbers, for tests and logs. */
  public List<Integer> living() {
    return new ArrayList<>(node.swim().living());
  }
}
