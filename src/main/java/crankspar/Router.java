package crankspar;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Interface between the proxy and its routing policy: events go in by the methods here, commands
 * come out through {@link Actions}. All times are milliseconds on the proxy's monotonic clock,
 * passed as {@code now}. Calls for one instance come from one thread; actions performed within a
 * call take effect at that call's time.
 */
public interface Router {
  /** Whether requests of a class may be repeated: always, under an idempotency key, or never. */
  enum Repeat {
    SAFE,
    KEYED,
    UNSAFE
  }

  /**
   * Where repeats of a keyed request are deduplicated: in all databases, or in its own group only.
   */
  enum DedupScope {
    ALL,
    GROUP
  }

  /** How fresh a class's data must be; {@code WRITE} is served by the primary only. */
  enum Freshness {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  /** How a replica handles a read that needs a newer position than it has replayed. */
  enum LaggingRead {
    ANSWERS,
    REFUSES,
    WAITS
  }

  /** When the member list shows who is primary: with a delay, at the start only, or never. */
  enum RoleInList {
    LATE,
    AT_START,
    NEVER
  }

  /**
   * Who keeps the position that a session's reads must see: the request carries it, or the policy
   * remembers it.
   */
  enum SessionMarks {
    CARRIED,
    REMEMBERED
  }

  /** Where members report their position and role. */
  enum Reports {
    NONE,
    IN_ANSWERS,
    IN_PROBES
  }

  enum Health {
    RUNNING,
    DRAINING,
    GONE
  }

  enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
  }

  /**
   * Content of a member list. CHANGES: changed entries only; FULL: all entries; OLD_COPY: all
   * entries as last seen, possibly stale.
   */
  enum ListKind {
    CHANGES,
    FULL,
    OLD_COPY
  }

  /** How an attempt ended; {@code neverRan} holds where the status proves that it had no effect. */
  enum Status {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true),
    MISS(true);
    public final boolean neverRan;

    Status(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /**
   * A class of requests: target latency and timeout (ms), value of an answer, share of the value
   * that a late answer keeps, lifetime of idempotency keys and staleness bound (ms).
   */
  record RequestClass(
      String name,
      double targetLatency,
      double timeout,
      double value,
      double lateValueShare,
      Repeat repeat,
      DedupScope dedupScope,
      double keyTtl,
      Freshness freshness,
      double stalenessBound) {
    public RequestClass {
      requireSetting(targetLatency > 0, "class " + name + ": aim", targetLatency);
      requireSetting(timeout > 0, "class " + name + ": giveUp", timeout);
      requireSetting(value >= 0, "class " + name + ": worth", value);
      requireSetting(
          lateValueShare >= 0 && lateValueShare <= 1,
          "class " + name + ": lateShare",
          lateValueShare);
      requireSetting(keyTtl >= 0, "class " + name + ": keyTtl", keyTtl);
      requireSetting(stalenessBound >= 0, "class " + name + ": bound", stalenessBound);
    }
  }

  /**
   * Parameters of the guarantees, in ms except the ratios {@code initialColdShare} and {@code
   * fallMultiple}. With {@code softRemoval}, members listed as gone or missing stay in use; only
   * draining is binding.
   */
  record Guarantees(
      double answerSlack,
      double maxDiscoveryGap,
      double initialColdShare,
      double rampTime,
      double drainGrace,
      double fallMultiple,
      double fall,
      boolean softRemoval) {
    public Guarantees {
      requireSetting(answerSlack >= 0, "answerSlack", answerSlack);
      requireSetting(maxDiscoveryGap >= 0, "askEvery", maxDiscoveryGap);
      requireSetting(initialColdShare > 0 && initialColdShare <= 1, "coldFrom", initialColdShare);
      requireSetting(rampTime >= 0, "rampTime", rampTime);
      requireSetting(drainGrace >= 0, "drainGrace", drainGrace);
      requireSetting(fallMultiple > 0, "fallMultiple", fallMultiple);
      requireSetting(fall > 0, "fall", fall);
    }
  }

  /** What the deployment permits; times in ms. */
  record Limits(
      int maxAttempts,
      boolean hedging,
      boolean cancellation,
      boolean probes,
      boolean retryAfter,
      double maxRetryAfter,
      double connectTimeout,
      double connectionIdleTimeout,
      int maxConnections,
      boolean peerMessages) {
    public Limits {
      requireSetting(maxAttempts > 0, "mostTries", maxAttempts);
      requireSetting(maxRetryAfter >= 0, "maxRetryAfter", maxRetryAfter);
      requireSetting(connectTimeout >= 0, "dialTimeout", connectTimeout);
    }
  }

  /** Costs per unit, as the deployment's documentation defines them. */
  record Prices(double crossZone, double waste, double probe, double lateFail, double peer) {}

  /**
   * Start-up settings of one instance; {@code batchInterval} is the shortest gap between batches
   * (ms).
   */
  record Settings(
      long seed,
      String zone,
      List<String> zones,
      int instanceIndex,
      int instanceCount,
      double batchInterval,
      boolean watchDiscovery,
      List<RequestClass> classes,
      LaggingRead laggingRead,
      double patience,
      RoleInList roleInList,
      SessionMarks sessionMarks,
      boolean reportsPosition,
      boolean commitWaits,
      double positionEpoch,
      Reports reports,
      Guarantees guarantees,
      Limits limits,
      Prices prices) {
    public Settings {
      requireSetting(instanceCount > 0, "siblings", instanceCount);
      requireSetting(batchInterval >= 0, "round", batchInterval);
      requireSetting(patience >= 0, "patience", patience);
      zones = List.copyOf(zones);
      classes = List.copyOf(classes);
    }
  }

  /**
   * One entry of the member list; {@code lastStart} is a clock time, 0 where the start is long
   * past.
   */
  record Member(
      String id,
      String zone,
      boolean listedPrimary,
      double capacityHint,
      Health health,
      int group,
      String machine,
      double lastStart) {}

  /**
   * A client's request; {@code ttl} is the remaining time (ms); {@code markAge} is the time (ms)
   * since the session's last commit, or -1.
   */
  record Request(
      String id, int requestClass, double ttl, String session, double markAge, int group) {}

  /**
   * How attempt {@code number} ended; {@code position} is a clock time, NaN where none was
   * reported.
   */
  record Outcome(
      String request,
      int number,
      String member,
      Status status,
      double elapsed,
      boolean requestDone,
      Role role,
      double position) {}

  /**
   * Result of a probe; {@code position} is a clock time or NaN, and holds like {@code role} as of
   * the member's report.
   */
  record ProbeResult(String member, boolean ok, double elapsed, Role role, double position) {}

  /**
   * What peers reported about a member: its position (a clock time), last heard by another instance
   * at {@code heardAt}, its role as of that position, and how many requests of all peers are in
   * flight there. That number is negative where it is not or no longer known; within one call it is
   * known for all members or for none. Both times are negative infinity where only that number is
   * new: it is no sign of life.
   */
  record PeerReport(String member, Role role, double position, double heardAt, int inFlight) {}

  /**
   * Commands of the policy. Delays are positive, in ms; a {@code timeout} of 0 stands for the
   * client's own limit.
   */
  interface Actions {
    void send(String request, String member, double timeout);

    void refuse(String request, double retryIn);

    void fail(String request);

    void cancel(String request, int attempt);

    void setTimer(double delay, long cookie);

    void probe(String member);

    void watchDiscovery(boolean on);

    void log(String text);

    /** Sends a message of at most 256 bytes to every other instance; delivery is not guaranteed. */
    default void broadcast(byte[] message) {}
  }

  void onStart(double now);

  void onMembers(double now, ListKind kind, List<Member> members);

  /** A discovery call failed or the watch was lost; the last list stays valid. */
  void onWatchLost(double now);

  void onRequest(double now, Request request);

  void onOutcome(double now, Outcome outcome);

  void onProbe(double now, ProbeResult result);

  /** The process was stalled until now and could receive nothing in that time. */
  default void onStall(double now) {}

  /**
   * The databases' clock was found to be ahead of {@code now} by this much (ms). From now on
   * positions and marks are converted to the proxy's clock; positions reported before may be by the
   * databases' clock.
   */
  default void onDatabaseClock(double now, double ahead) {}

  /** A message from another instance, as received. */
  default void onPeerMessage(double now, byte[] message) {}

  /** What other instances observed themselves; see {@link PeerReport}. */
  default void onPeerReports(double now, List<PeerReport> reports) {}

  /** Counters since the start, for operators. */
  default Map<String, Long> counters() {
    return Map.of();
  }

  /** The client left: the request needs no final answer any more. */
  void onClientGone(double now, String request);

  void onTimer(double now, long cookie);

  /**
   * The listed members that currently get no requests, or trials only. Read-only view for
   * operators.
   */
  Set<String> avoided();

  private static void requireSetting(boolean holds, String setting, double value) {
    if (!holds || Double.isNaN(value)) {
      throw new IllegalArgumentException("setting " + setting + " is out of range: " + value);
    }
  }
}
