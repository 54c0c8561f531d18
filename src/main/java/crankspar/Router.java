package crankspar;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a proxy tells the decision module, and what the module may do. All times are milliseconds on
 * the proxy's own clock, handed in as {@code now}; it never goes backwards. Calls for one instance
 * come from one thread; what the module does through {@link Actions} inside a call takes effect at
 * that call's time.
 */
public interface Router {
  /** How a class of requests may be repeated. */
  enum Repeat {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** Where a keyed request's repeats are dropped: in any database, or in its own group only. */
  enum DedupScope {
    ALL,
    GROUP
  }

  /** How fresh a class's data must be; WRITE is taken by the primary alone. */
  enum Freshness {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  /** What a replica does with a read it is too far behind for. */
  enum LaggingRead {
    ANSWERS,
    REFUSES,
    WAITS
  }

  /** How the member list follows the primary. */
  enum RoleInList {
    LATE,
    AT_START,
    NEVER
  }

  /**
   * How a session read's need is told: carried with the request, or to be remembered by the module.
   */
  enum SessionMarks {
    CARRIED,
    REMEMBERED
  }

  /** Where members put their own reports. */
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
   * CHANGES: changed entries only; FULL: everything; OLD_COPY: everything as last seen, perhaps
   * stale.
   */
  enum ListKind {
    CHANGES,
    FULL,
    OLD_COPY
  }

  /** How an attempt ended; {@code neverRan} is proof that it had no effect. */
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
   * A class of requests: aim and give-up time (ms), worth, share of it kept when late, bound and
   * key time (ms).
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

  /** Figures of the rules, ms but for the shares {@code coldFrom} and {@code fallMultiple}. */
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

  /** What the site permits; times in ms. */
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

  /** Points taken off per unit: see the deployment's own page. */
  record Prices(double crossZone, double waste, double probe, double lateFail, double peer) {}

  /** Start-up settings of one instance; {@code round} is the shortest gap between batches (ms). */
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

  /** One entry of the member list; {@code lastStart} is a clock time, 0 for the distant past. */
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
   * A client's request; {@code ttl} ms are left; {@code markAge} is ms since the session's last
   * commit, or -1.
   */
  record Request(
      String id, int requestClass, double ttl, String session, double markAge, int group) {}

  /**
   * How attempt {@code number} ended; {@code position} is a clock time, NaN where none was told.
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

  /** What a probe found; {@code position} is a clock time or NaN, both as of the report. */
  record ProbeResult(String member, boolean ok, double elapsed, Role role, double position) {}

  /**
   * What peers told of a member: its position (a clock time) as last heard {@code at} another, with
   * its role as of that position, and how many of all peers' requests are in flight there, negative
   * where that is not known (any more): in one call for all members or for none. Both times are
   * negative infinity where only that number is news: it is no sign of life.
   */
  record PeerReport(String member, Role role, double position, double heardAt, int inFlight) {}

  /** What the module may do. Positive delays in ms; times out at the client's own limit when 0. */
  interface Actions {
    void send(String request, String member, double timeout);

    void refuse(String request, double retryIn);

    void fail(String request);

    void cancel(String request, int attempt);

    void setTimer(double delay, long cookie);

    void probe(String member);

    void watchDiscovery(boolean on);

    void log(String text);

    /** Told to every other instance, if it arrives: 256 bytes at most. */
    default void broadcast(byte[] message) {}
  }

  void onStart(double now);

  void onMembers(double now, ListKind kind, List<Member> members);

  /** A discovery call failed or the watch was lost; the old list still holds. */
  void onWatchLost(double now);

  void onRequest(double now, Request request);

  void onOutcome(double now, Outcome outcome);

  void onProbe(double now, ProbeResult result);

  /** This process has stood still until now: nobody could be heard meanwhile. */
  default void onStall(double now) {}

  /**
   * The databases' clock is found to be ahead of {@code now} by this much (ms). Positions and marks
   * are told by our clock from now on; positions told before may be of theirs.
   */
  default void onDatabaseClock(double now, double ahead) {}

  /** A message from another instance, as it came. */
  default void onPeerMessage(double now, byte[] message) {}

  /** What another instance has learned first-hand. */
  default void onPeerReports(double now, List<PeerReport> reports) {}

  /** Counts since the start, for operators. */
  default Map<String, Long> counters() {
    return Map.of();
  }

  /** The client left: nothing is owed for the request any more. */
  void onClientGone(double now, String request);

  void onTimer(double now, long cookie);

  /**
   * The listed members that get no work now, or trials only: a view for operators, which changes
   * nothing.
   */
  Set<String> avoided();

  private static void requireSetting(boolean holds, String setting, double value) {
    if (!holds || Double.isNaN(value)) {
      throw new IllegalArgumentException("setting " + setting + " is out of range: " + value);
    }
  }
}
