package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control for one database: a fixed number of slots and a fair queue for them. A
 * transaction acquires a slot before it is submitted to the decision module and holds it to its
 * end, so that never more connections are in use than there are slots. Requests of one user are
 * granted first come, first served; between users, the one that holds the fewest slots goes first,
 * so that a burst of one user cannot starve another. A waiting request is refused at its deadline.
 * The class uses no sockets and no clock: each call passes the time (ms) and returns the decisions
 * that follow.
 */
final class AdmissionQueue {
  /** The decision on one request. */
  sealed interface Decision {
    long ticket();

    /** The request holds a slot now; it waited {@code waitMs}. */
    record Granted(long ticket, double waitMs) implements Decision {}

    /** The request got no slot and has left the queue. */
    record Refused(long ticket, String reason) implements Decision {}
  }

  private record Waiter(long ticket, String user, double since, double deadline) {}

  private static final class UserQueue {
    final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    int held;
  }

  private final Map<String, UserQueue> users = new LinkedHashMap<>();
  private final Map<Long, String> holders = new HashMap<>();
  private Setup.Database database;
  private int maxWaiting;
  private int waiting;
  private boolean paused;
  private double longestWait;
  private long granted;

  AdmissionQueue(Setup.Database database, int maxWaiting) {
    configure(database, maxWaiting);
  }

  /** Applies changed settings to future grants; slots already held are not revoked. */
  void configure(Setup.Database database, int maxWaiting) {
    this.database = database;
    this.maxWaiting = maxWaiting;
  }

  int held() {
    return holders.size();
  }

  int waiting() {
    return waiting;
  }

  int waiting(String user) {
    return users.containsKey(user) ? users.get(user).waiters.size() : 0;
  }

  int held(String user) {
    return users.containsKey(user) ? users.get(user).held : 0;
  }

  boolean paused() {
    return paused;
  }

  /** The longest wait (ms) that ended with a slot. */
  double longestWait() {
    return longestWait;
  }

  long granted() {
    return granted;
  }

  /**
   * Requests a slot and waits for it until {@code deadline}; refuses at once if the queue is full.
   */
  List<Decision> acquire(double now, String user, long ticket, double deadline) {
    if (waiting >= maxWaiting) {
      return List.of(new Decision.Refused(ticket, "more than " + maxWaiting + " clients wait"));
    }
    users
        .computeIfAbsent(user, k -> new UserQueue())
        .waiters
        .add(new Waiter(ticket, user, now, deadline));
    waiting++;
    return grantWaiting(now);
  }

  /** Releases the slot of a transaction that has ended. */
  List<Decision> release(double now, long ticket) {
    String user = holders.remove(ticket);
    if (user != null) {
      users.get(user).held--;
      removeIfEmpty(user);
    }
    return grantWaiting(now);
  }

  /** Removes a waiting request; a slot that is already held must be released instead. */
  void cancel(String user, long ticket) {
    UserQueue u = users.get(user);
    if (u != null && u.waiters.removeIf(w -> w.ticket() == ticket)) {
      waiting--;
      removeIfEmpty(user);
    }
  }

  /**
   * Stops granting slots until {@link #resume}; waiting requests still expire at their deadline.
   */
  void pause() {
    paused = true;
  }

  List<Decision> resume(double now) {
    paused = false;
    return grantWaiting(now);
  }

  /**
   * Refuses requests whose deadline has passed, and grants reserve slots to those that have waited
   * long enough. Must be called periodically.
   */
  List<Decision> expireAndGrant(double now) {
    var decisions = new ArrayList<Decision>();
    for (UserQueue u : new ArrayList<>(users.values())) {
      while (!u.waiters.isEmpty() && u.waiters.peek().deadline() <= now) {
        decisions.add(
            new Decision.Refused(
                u.waiters.poll().ticket(), "no connection slot became free in time"));
        waiting--;
      }
    }
    users.values().removeIf(u -> u.waiters.isEmpty() && u.held == 0);
    decisions.addAll(grantWaiting(now));
    return decisions;
  }

  private void removeIfEmpty(String user) {
    UserQueue u = users.get(user);
    if (u.waiters.isEmpty() && u.held == 0) {
      users.remove(user);
    }
  }

  private List<Decision> grantWaiting(double now) {
    if (waiting == 0 || paused) {
      return List.of();
    }
    var decisions = new ArrayList<Decision>(1);
    for (Waiter next = nextWaiter(now); next != null; next = nextWaiter(now)) {
      UserQueue u = users.get(next.user());
      u.waiters.poll();
      waiting--;
      if (next.deadline() <= now) {
        decisions.add(
            new Decision.Refused(next.ticket(), "no connection slot became free in time"));
        removeIfEmpty(next.user());
        continue;
      }
      u.held++;
      holders.put(next.ticket(), next.user());
      longestWait = Math.max(longestWait, now - next.since());
      granted++;
      decisions.add(new Decision.Granted(next.ticket(), now - next.since()));
    }
    return decisions;
  }

  /**
   * The next request to be granted. Among users below their own limit, the one that holds the
   * fewest slots goes first, then the one whose first request has waited longest. When all regular
   * slots are taken, a reserve slot goes to the longest waiting request.
   */
  private Waiter nextWaiter(double now) {
    Waiter best = null;
    int fewest = Integer.MAX_VALUE;
    for (Map.Entry<String, UserQueue> e : users.entrySet()) {
      UserQueue u = e.getValue();
      Waiter first = u.waiters.peek();
      if (first == null || u.held >= userLimit(e.getKey())) {
        continue;
      }
      if (u.held < fewest || u.held == fewest && first.since() < best.since()) {
        best = first;
        fewest = u.held;
      }
    }
    if (best == null || holders.size() < database.poolLimits().maxSize()) {
      return best;
    }
    boolean reserve =
        holders.size() < database.poolLimits().maxSize() + database.poolLimits().reserve();
    return reserve ? longestWaiter(now) : null;
  }

  /** The request that has waited longest, if it has waited long enough for a reserve slot. */
  private Waiter longestWaiter(double now) {
    Waiter longest = null;
    for (Map.Entry<String, UserQueue> e : users.entrySet()) {
      Waiter first = e.getValue().waiters.peek();
      if (first != null
          && e.getValue().held < userLimit(e.getKey())
          && (longest == null || first.since() < longest.since())) {
        longest = first;
      }
    }
    return longest != null && now - longest.since() >= database.poolLimits().reserveAfter()
        ? longest
        : null;
  }

  private int userLimit(String user) {
    Setup.UserSettings settings = database.users().get(user);
    return settings == null || settings.maxSize() == 0 ? Integer.MAX_VALUE : settings.maxSize();
  }
}
