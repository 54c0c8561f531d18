package crankspar.config;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.discovery.MemberList;
import crankspar.pooling.Pins;
import crankspar.pooling.Setup;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads {@code pooling} of the operator's file. */
final class PoolingReader {
  private static final Map<String, Setup.Mode> MODES =
      Map.of("session", Setup.Mode.SESSION, "transaction", Setup.Mode.TRANSACTION);
  private static final double DAY = 86_400_000;

  private PoolingReader() {}

  static Operator.Pooling read(Section p, Router.Settings settings) throws Config.Bad {
    if (p == null) {
      return null;
    }
    if (settings == null) {
      throw p.bad("databases", "needs settings at the top of this file");
    }
    InetSocketAddress listen = p.address("listen");
    boolean trusted = p.flag("trusted-network", false);
    if (!listen.getAddress().isLoopbackAddress() && !trusted) {
      throw p.bad(
          "listen",
          "found "
              + listen.getAddress().getHostAddress()
              + ", allowed is a loopback address: keys and TLS are not built"
              + " yet, so that another one needs trusted-network = true");
    }
    InetSocketAddress discovery = p.addressOrNull("discovery");
    MemberList members = Operator.members(p, discovery);
    int servers = p.count("servers", 300, 1, 20_000);
    Setup.Limits limits = limits(p.partOrEmpty("limits"));
    Set<Pins.Kind> refused = EnumSet.noneOf(Pins.Kind.class);
    Section pins = p.partOrEmpty("pins");
    for (Pins.Kind kind : Pins.Kind.values()) {
      if (pins.word(
          kind.name().toLowerCase(java.util.Locale.ROOT),
          "pin",
          Map.of("pin", false, "refuse", true))) {
        refused.add(kind);
      }
    }
    pins.done();
    var databases = new LinkedHashMap<String, Setup.Database>();
    for (Map.Entry<String, Section> e : p.parts("databases").entrySet()) {
      databases.put(e.getKey(), database(e.getKey(), e.getValue(), settings));
    }
    if (databases.isEmpty()) {
      throw p.bad("databases", "found none, allowed is one at least");
    }
    p.done();
    return new Operator.Pooling(
        new Setup(listen, limits, refused, databases), discovery, members, servers);
  }

  private static Setup.Limits limits(Section l) throws Config.Bad {
    Setup.Limits d = Setup.Limits.DEFAULT;
    var limits =
        new Setup.Limits(
            l.count("clients", d.maxClients(), 1, 100_000),
            l.count("waiting", d.maxWaiting(), 0, 100_000),
            l.millis("login", d.loginTimeout(), 50, 600_000),
            l.count("statements", d.maxStatements(), 1, 100_000),
            l.bytes("statement-bytes", d.maxStatementBytes(), 1024, 1 << 28),
            l.count("server-statements", d.maxServerStatements(), 1, 100_000),
            l.bytes("buffers", d.maxBufferedBytes(), 64 * 1024, 1 << 30),
            l.millis("idle-in-transaction", d.idleInTransactionTimeout(), 100, DAY),
            l.millis("transaction", d.transactionTimeout(), 100, DAY),
            l.millis("drain", d.drainTimeout(), 0, DAY),
            l.millis("cancel", d.cancelTimeout(), 50, 60_000));
    l.done();
    return limits;
  }

  private static Setup.Database database(String name, Section d, Router.Settings settings)
      throws Config.Bad {
    var classes = new TreeMap<String, Router.RequestClass>();
    settings.classes().forEach(c -> classes.put(c.name(), c));
    String serverName = d.text("name", name);
    Setup.Mode mode = d.word("mode", "transaction", MODES);
    int group = d.count("group", 1, 0, Integer.MAX_VALUE);
    String write =
        settings.classes().stream()
            .filter(c -> c.freshness() == Freshness.WRITE)
            .map(Router.RequestClass::name)
            .findFirst()
            .orElse(settings.classes().get(0).name());
    Router.RequestClass main = d.word("class", write, classes);
    String readOnly = readClass(d, "read-only-class", classes);
    String select = readClass(d, "select-class", classes);
    var users = new LinkedHashMap<String, Setup.UserSettings>();
    boolean anySession = mode == Setup.Mode.SESSION;
    boolean anyUser = d.flag("any-user", !d.has("users"));
    for (Map.Entry<String, Section> e : d.parts("users").entrySet()) {
      Section u = e.getValue();
      Setup.Mode own = u.has("mode") ? u.word("mode", "transaction", MODES) : null;
      anySession |= own == Setup.Mode.SESSION;
      users.put(e.getKey(), new Setup.UserSettings(own, u.count("places", 0, 0, 10_000)));
      u.done();
    }
    if (anySession
        && (main.freshness() == Freshness.BOUNDED || main.freshness() == Freshness.SESSION)) {
      throw d.bad(
          "class",
          "found "
              + main.name()
              + ", allowed in mode session is a class without a bound on its age: one connection"
              + " cannot keep it");
    }
    Setup.PoolLimits p = Setup.PoolLimits.DEFAULT;
    Section at = d.partOrEmpty("places");
    var places =
        new Setup.PoolLimits(
            at.count("most", p.maxSize(), 1, 10_000),
            at.count("least", p.minIdle(), 0, 10_000),
            at.count("reserve", p.reserve(), 0, 10_000),
            at.millis("reserve-after", p.reserveAfter(), 0, 600_000),
            at.millis("lifetime", p.maxLifetime(), 100, 30 * DAY),
            at.millis("idle", p.idleTimeout(), 100, DAY));
    if (places.minIdle() > places.maxSize()) {
      throw at.bad(
          "least",
          "found " + places.minIdle() + ", allowed is at most places.most, " + places.maxSize());
    }
    at.done();
    d.done();
    return new Setup.Database(
        name, serverName, mode, group, main.name(), readOnly, select, places, users, anyUser);
  }

  private static String readClass(Section d, String key, Map<String, Router.RequestClass> classes)
      throws Config.Bad {
    if (!d.has(key)) {
      d.text(key, null);
      return null;
    }
    var reads = new TreeMap<>(classes);
    reads.values().removeIf(c -> c.freshness() == Freshness.WRITE);
    return d.word(key, "", reads).name();
  }
}
