package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns at one database's places. A transaction takes a place before the module hears of it and
 * keeps it to its end, so that there are never more connections at work than places. Those who wait
 * are served first come, first served within a user; between users the one that holds fewest goes
 * first, so that no user's burst starves another. A wait ends with its deadline. It knows no socket
 * and no clock: each call tells the time (ms) and hands out what follows.
 */
final class AdmissionQueue {
  /** What follows for one who asked. */
  sealed interface Decision {
    long ticket();

    /** It has a place now, after so long a wait (ms). */
    record Granted(long ticket, double waitMs) implements Decision {}

    /** It has none, and waits no more. */
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

  /** Changed settings hold for turns to come; nobody loses the place that it has. */
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

  /** The longest wait (ms) of all that ended with a place. */
  double longestWait() {
    return longestWait;
  }

  long granted() {
    return granted;
  }

  /** Asks for a place until {@code deadline}. */
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

  /** A transaction has ended, and its place is free. */
  List<Decision> release(double now, long ticket) {
    String user = holders.remove(ticket);
    if (user != null) {
      users.get(user).held--;
      removeIfEmpty(user);
    }
    return grantWaiting(now);
  }

  /** One who waits has gone; one who holds a place must free it instead. */
  void cancel(String user, long ticket) {
    UserQueue u = users.get(user);
    if (u != null && u.waiters.removeIf(w -> w.ticket() == ticket)) {
      waiting--;
      removeIfEmpty(user);
    }
  }

  /** Nothing new begins until it resumes; who waits does so until its deadline. */
  void pause() {
    paused = true;
  }

  List<Decision> resume(double now) {
    paused = false;
    return grantWaiting(now);
  }

  /** Called now and then: waits that are over, and the reserve for those who have waited long. */
  List<Decision> expireAndGrant(double now) {
    var decisions = new ArrayList<Decision>();
    for (UserQueue u : new ArrayList<>(users.values())) {
      while (!u.waiters.isEmpty() && u.waiters.peek().deadline() <= now) {
        decisions.add(
            new Decision.Refused(u.waiters.poll().ticket(), "no place came free in time"));
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
        decisions.add(new Decision.Refused(next.ticket(), "no place came free in time"));
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
   * Of the users with somebody in line and room of their own: who holds fewest, then whose first
   * waits longest.
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
