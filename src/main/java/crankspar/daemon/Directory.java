package crankspar.daemon;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.discovery.MemberList;
import crankspar.net.MemberAddresses;
import crankspar.store.Store;
import crankspar.syslog.StructuredData;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One front's members: discovery's word, with the operator's drain marks from the store laid over
 * it. A mark ({@code drain/ID}) reaches the module as if discovery had listed the member as
 * draining.
 */
final class Directory {
  static final String DRAIN = "drain/";

  /** When a mark was taken back (Unix ms). */
  static final String RETURNED = "returned/";

  /** A return that was noted so short a time ago (ms) is the same one. */
  private static final double SAME_RETURN = 2000;

  private static final Logger LOG = Logger.getLogger(Directory.class.getName());

  private final Ports.Time clock;
  private final double ramp;
  private final Store store;
  private final String key;
  private final MemberAddresses pool;
  private final Pooler<?, ?> pooler;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
  private Hearer hearer = (revision, all, byDiscovery) -> {};
  private long revision;
  private boolean fenced, unheard;
  private Set<String> byPeers = Set.of();

  /** Who hears each list as it comes in force, whole. */
  interface Hearer {
    void listed(long revision, Collection<Member> members, boolean byDiscovery);
  }

  Directory(
      Ports.Time clock,
      double ramp,
      Store store,
      String front,
      MemberAddresses pool,
      Pooler<?, ?> pooler) {
    this.clock = clock;
    this.ramp = ramp;
    this.store = store;
    this.key = "members/" + store.node() + "/" + front;
    this.pool = pool;
    this.pooler = pooler;
    store.onChange(this::changed);
  }

  /**
   * The list to start from: the given one, or the last one kept. Told to the module as the old copy
   * it is.
   */
  void start(MemberList known) {
    MemberList list = known;
    String kept = store.get(key);
    if (known.members().isEmpty() && kept != null) {
      try {
        list = MemberList.read(crankspar.json.Json.object(kept));
      } catch (IOException | IllegalArgumentException e) {
        LOG.warning("the kept member list cannot be read: " + e.getMessage());
      }
    }
    take(list);
    revision = list.revision();
    List<String> out = members.keySet().stream().filter(this::banned).toList();
    if (!out.isEmpty()) {
      LOG.info("out by an operator's call before this start: " + out);
    }
    pooler.start(marked(list.members()));
    forgetUnusable(list);
  }

  void listed(MemberList list) {
    Set<String> before = Set.copyOf(members.keySet());
    logStarts(list);
    take(list);
    pooler.membersChanged(
        list.complete() ? ListKind.FULL : ListKind.CHANGES, marked(list.members()));
    before.stream().filter(id -> !members.containsKey(id)).forEach(pool::forget);
    forgetUnusable(list);
    keep(list.revision());
    revision = list.revision();
    hearer.listed(revision, members.values(), true);
  }

  /**
   * Nothing is sent to any member before discovery's first word. Guards against the list to start
   * from where lists are pushed: what the agent has counts as told from this process's first moment
   * on.
   */
  void await() {
    unheard = true;
  }

  /** Discovery has spoken: what is in force is the present list. */
  void word() {
    if (unheard) {
      unheard = false;
      overlaid(List.copyOf(members.keySet()));
    }
  }

  /** Hears of the list that is in force, and of each that follows. */
  void hearer(Hearer hearer) {
    this.hearer = hearer;
    hearer.listed(revision, members.values(), false);
  }

  /**
   * Nothing is sent to any member, or what the list says holds again: the module hears that all
   * drain. Guards against a pooler that acts on a list which may be too old; the module alone still
   * says what becomes of each request.
   */
  void fence(boolean on) {
    if (fenced != on) {
      fenced = on;
      overlaid(members.keySet());
    }
  }

  /** These drain, as other poolers say; what the own list says of all others holds. */
  void byPeers(Set<String> ids) {
    var changed = new HashSet<>(ids);
    changed.addAll(byPeers);
    changed.removeIf(id -> ids.contains(id) && byPeers.contains(id));
    byPeers = ids;
    overlaid(changed);
  }

  private void overlaid(Collection<String> ids) {
    var told = new ArrayList<Member>();
    for (String id : ids) {
      Member m = members.get(id);
      if (m != null) {
        if (usable(m) && addresses.containsKey(id)) {
          pool.locate(id, addresses.get(id));
        }
        told.add(mark(m));
      }
    }
    pooler.membersChanged(ListKind.CHANGES, told);
    told.stream().map(Member::id).filter(id -> !usable(members.get(id))).forEach(pool::forget);
  }

  /**
   * After the module has heard: what waited for a connection is told elsewhere then, and the module
   * must not choose the same member again.
   */
  private void forgetUnusable(MemberList list) {
    list.members().stream()
        .map(Member::id)
        .filter(id -> members.containsKey(id) && !usable(members.get(id)))
        .forEach(pool::forget);
  }

  private boolean usable(Member m) {
    return m.health() == Health.RUNNING && !kept(m.id());
  }

  /**
   * Whether something beside the list has it drain: an operator's mark, peers' word, or that
   * nothing may be sent at all (yet).
   */
  private boolean kept(String id) {
    return fenced || unheard || byPeers.contains(id) || banned(id);
  }

  void watchLost() {
    pooler.watchLost();
  }

  /** Whether discovery lists it. */
  boolean lists(String id) {
    return members.containsKey(id);
  }

  /** Those that run and are not marked, with their zones: what may be probed. */
  Map<String, String> running() {
    var all = new LinkedHashMap<String, String>();
    for (Member m : members.values()) {
      if (usable(m)) {
        all.put(m.id(), m.zone());
      }
    }
    return all;
  }

  Collection<String> ids() {
    return members.keySet();
  }

  /** The list that told of a start: what slow start goes by from here on. */
  private void logStarts(MemberList list) {
    for (Member m : list.members()) {
      Member known = members.get(m.id());
      if (m.lastStart() > 0 && (known == null || known.lastStart() != m.lastStart())) {
        LOG.info(
            "list %d: member %s started %.0f ms ago by the wall clock"
                .formatted(list.revision(), m.id(), clock.now() - m.lastStart()));
      }
    }
  }

  private void take(MemberList list) {
    if (list.complete()) {
      members.keySet().retainAll(list.addresses().keySet());
      addresses.keySet().retainAll(list.addresses().keySet());
    }
    list.addresses().forEach(pool::locate);
    addresses.putAll(list.addresses());
    for (Member m : list.members()) {
      if (m.health() == Health.GONE) {
        members.remove(m.id());
        addresses.remove(m.id());
      } else {
        members.put(m.id(), m);
      }
    }
  }

  private List<Member> marked(List<Member> list) {
    var all = new ArrayList<Member>(list.size());
    list.forEach(m -> all.add(mark(m)));
    return all;
  }

  private boolean banned(String id) {
    return store.get(DRAIN + id) != null;
  }

  /**
   * A member that an operator has put back counts as started then. Guards against pushing it over:
   * it was restarted meanwhile, and discovery tells that late or not at all.
   */
  private Member mark(Member m) {
    return m.health() != Health.RUNNING
        ? m
        : new Member(
            m.id(),
            m.zone(),
            m.listedPrimary(),
            m.capacityHint(),
            kept(m.id()) ? Health.DRAINING : Health.RUNNING,
            m.group(),
            m.machine(),
            Math.max(m.lastStart(), returned(m.id())));
  }

  /** Whether a key says that an operator has a member out, or when one was put back. */
  static boolean isDrainOverride(String key) {
    return key.startsWith(DRAIN) || key.startsWith(RETURNED) || Store.isDrainCall(key);
  }

  /** Who ends a drain with a call notes the return in the same step. */
  private boolean returnNoted(String id) {
    String at = store.get(RETURNED + id);
    return at != null
        && at.matches("[0-9]{1,15}")
        && Math.abs(clock.now() - Long.parseLong(at)) < SAME_RETURN;
  }

  private double returned(String id) {
    String at = store.get(RETURNED + id);
    return at != null && at.matches("[0-9]{1,15}") && clock.now() - Long.parseLong(at) < ramp
        ? Long.parseLong(at)
        : 0;
  }

  private void changed(Store.Entry e) {
    if (!e.key().startsWith(DRAIN)) {
      return;
    }
    String id = e.key().substring(DRAIN.length());
    if (e.value() == null && !returnNoted(id)) {
      try {
        store.put(RETURNED + id, Long.toString((long) clock.now()));
      } catch (Store.Refused refused) {
        LOG.warning("not noted when it came back: " + refused.getMessage());
      }
    }
    Member m = members.get(id);
    if (m != null) {
      LOG.log(
          Level.INFO,
          "operator's drain override: " + m.id() + (e.value() == null ? " may serve" : " drains"),
          StructuredData.of("member", "id", m.id(), "drain", e.value() != null, "by", e.node()));
      overlaid(List.of(id));
    }
  }

  private void keep(long revision) {
    try {
      store.put(
          key, new MemberList(revision, true, List.copyOf(members.values()), addresses).write());
    } catch (Store.Refused e) {
      LOG.warning("the member list was not kept: " + e.getMessage());
    }
  }
}
