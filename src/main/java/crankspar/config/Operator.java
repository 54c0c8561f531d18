package crankspar.config;

import crankspar.Router;
import crankspar.discovery.MemberList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;

/**
 * What an operator's own file sets up besides the platform: the REST front, the pooling front, the
 * store's peers, syslog and, where the platform names none, the address for operators' calls
 * ({@code mgmt}, or null). Every error is one line with file, line, key, what was found and what is
 * allowed.
 */
public record Operator(
    String name,
    String text,
    Router.Settings settings,
    InetSocketAddress mgmt,
    Rest rest,
    StoreSetup store,
    Syslog syslog,
    Pooling pooling,
    Membership membership,
    Audit audit,
    List<String> inForce) {
  /** The REST front, with a discovery to watch, a fixed list of members, or both. */
  public record Rest(InetSocketAddress listen, InetSocketAddress discovery, MemberList members) {}

  /**
   * The pooling front, with its members as {@link Rest} has them, and the most connections to
   * servers.
   */
  public record Pooling(
      crankspar.pooling.Setup setup,
      InetSocketAddress discovery,
      MemberList members,
      int servers) {}

  /**
   * Membership and what is shared by it. Without addresses of its own ({@code listen} null) the
   * platform's are taken. {@code probes} is null where probing is not shared; {@code watch} has one
   * watch discovery for all.
   */
  public record Membership(
      InetSocketAddress listen,
      List<InetSocketAddress> peers,
      int me,
      int weight,
      List<byte[]> keys,
      crankspar.membership.Swim.Settings swim,
      crankspar.duties.Duties.Settings probes,
      boolean watch) {}

  /**
   * The audit: where its datagrams come (without an address of its own, {@code listen} null, the
   * platform's peers are taken), the ledger's folder or null, and whether a straggler shuts itself
   * out.
   */
  public record Audit(
      InetSocketAddress listen,
      List<InetSocketAddress> peers,
      int me,
      Path folder,
      boolean stragglers,
      double lease,
      double share) {
    /**
     * The audit's own bounds and defaults, which it must not be asked for from here: poolers, ms, a
     * share.
     */
    static final int POOLERS_MOST = 1024;

    static final double LEASE = 6000;
    static final double SHARE = 0.333;
  }

  /** The store: a snapshot's file (or null) and the peers whose changes are pulled. */
  public record StoreSetup(Path snapshot, List<InetSocketAddress> peers, double periodMs) {}

  public record Syslog(
      InetSocketAddress collector, boolean tcp, int facility, Level level, String enterprise) {}

  private static final List<String> FACILITIES =
      List.of(
          "kern",
          "user",
          "mail",
          "daemon",
          "auth",
          "syslog",
          "lpr",
          "news",
          "uucp",
          "cron",
          "authpriv",
          "ftp",
          "ntp",
          "audit",
          "alert",
          "clock",
          "local0",
          "local1",
          "local2",
          "local3",
          "local4",
          "local5",
          "local6",
          "local7");

  public static Operator read(Path file) throws Config.Bad {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException | RuntimeException e) {
      throw new Config.Bad(file + ": operator", "cannot be read: " + Config.brief(e));
    }
    var inForce = new ArrayList<Section.InForce>();
    Section o = OperatorFile.read(file, inForce);
    String name = o.text("name");
    InetSocketAddress mgmt = o.addressOrNull("mgmt");
    Rest rest = rest(o.part("rest"));
    StoreSetup store = store(o.partOrEmpty("store"));
    Syslog syslog = syslog(o.part("syslog"));
    Router.Settings settings = settings(o);
    Pooling pooling = PoolingReader.read(o.part("pooling"), settings);
    Membership membership = MembershipReader.read(o.part("membership"), o.part("duties"), file);
    Audit audit = AuditReader.read(o.part("audit"), membership);
    o.done();
    return new Operator(
        name,
        text,
        settings,
        mgmt,
        rest,
        store,
        syslog,
        pooling,
        membership,
        audit,
        OperatorFile.lines(inForce));
  }

  private static Router.Settings settings(Section o) throws Config.Bad {
    Map<?, ?> raw = o.raw("settings");
    if (raw == null) {
      return null;
    }
    try {
      return SettingsReader.read(raw, java.util.concurrent.ThreadLocalRandom.current().nextLong());
    } catch (IllegalArgumentException e) {
      throw o.badInside("settings", Config.brief(e));
    }
  }

  private static Rest rest(Section r) throws Config.Bad {
    if (r == null) {
      return null;
    }
    InetSocketAddress listen = r.address("listen");
    InetSocketAddress discovery = r.addressOrNull("discovery");
    MemberList members = members(r, discovery);
    r.done();
    return new Rest(listen, discovery, members);
  }

  /** A front's fixed list; there is something to send to, from it or from discovery. */
  static MemberList members(Section part, InetSocketAddress discovery) throws Config.Bad {
    MemberList members;
    try {
      Map<?, ?> raw = part.raw("members");
      members = raw == null ? MemberList.EMPTY : MemberList.read(raw);
    } catch (IllegalArgumentException e) {
      throw part.badInside("members", Config.brief(e));
    }
    if (discovery == null && members.members().isEmpty()) {
      throw part.bad("members", "neither discovery nor members");
    }
    return members;
  }

  private static StoreSetup store(Section s) throws Config.Bad {
    String snapshot = s.text("snapshot", null);
    List<InetSocketAddress> peers = s.addresses("peers");
    double period = s.millis("period_ms", 1000, 10, 3_600_000);
    s.done();
    return new StoreSetup(snapshot == null ? null : Path.of(snapshot), peers, period);
  }

  private static Syslog syslog(Section s) throws Config.Bad {
    if (s == null) {
      return null;
    }
    var facilities = new TreeMap<String, Integer>();
    FACILITIES.forEach(f -> facilities.put(f, facilities.size()));
    int facility = s.word("facility", "daemon", facilities);
    boolean tcp = s.word("transport", "udp", Map.of("udp", false, "tcp", true));
    Level level =
        s.word(
            "level",
            "INFO",
            Map.of(
                "ALL",
                Level.ALL,
                "FINEST",
                Level.FINEST,
                "FINER",
                Level.FINER,
                "FINE",
                Level.FINE,
                "CONFIG",
                Level.CONFIG,
                "INFO",
                Level.INFO,
                "WARNING",
                Level.WARNING,
                "SEVERE",
                Level.SEVERE,
                "OFF",
                Level.OFF));
    InetSocketAddress collector = s.address("collector");
    String enterprise = s.text("enterprise", "32473");
    s.done();
    return new Syslog(collector, tcp, facility, level, enterprise);
  }
}
