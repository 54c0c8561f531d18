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
final class Places {
  /** What follows for one who asked. */
  sealed interface Effect {
    long ticket();

    /** It has a place now, after so long a wait (ms). */
    record Granted(long ticket, double waited) implements Effect {}

    /** It has none, and waits no more. */
    record Refused(long ticket, String why) implements Effect {}
  }

  private record Waiting(long ticket, String user, double since, double deadline) {}

  private static final class User {
    final ArrayDeque<Waiting> line = new ArrayDeque<>();
    int held;
  }

  private final Map<String, User> users = new LinkedHashMap<>();
  private final Map<Long, String> holders = new HashMap<>();
  private Setup.Database database;
  private int waitingMost;
  private int waiting;
  private boolean paused;
  private double longestWait;
  private long granted;

  Places(Setup.Database database, int waitingMost) {
    set(database, waitingMost);
  }

  /** Changed settings hold for turns to come; nobody loses the place that it has. */
  void set(Setup.Database database, int waitingMost) {
    this.database = database;
    this.waitingMost = waitingMost;
  }

  int held() {
    return holders.size();
  }

  int waiting() {
    return waiting;
  }

  int waiting(String user) {
    return users.containsKey(user) ? users.get(user).line.size() : 0;
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
  List<Effect> ask(double now, String user, long ticket, double deadline) {
    if (waiting >= waitingMost) {
      return List.of(new Effect.Refused(ticket, "more than " + waitingMost + " clients wait"));
    }
    users.computeIfAbsent(user, k -> new User()).line.add(new Waiting(ticket, user, now, deadline));
    waiting++;
    return serve(now);
  }

  /** A transaction has ended, and its place is free. */
  List<Effect> free(double now, long ticket) {
    String user = holders.remove(ticket);
    if (user != null) {
      users.get(user).held--;
      tidy(user);
    }
    return serve(now);
  }

  /** One who waits has gone; one who holds a place must free it instead. */
  void leave(String user, long ticket) {
    User u = users.get(user);
    if (u != null && u.line.removeIf(w -> w.ticket() == ticket)) {
      waiting--;
      tidy(user);
    }
  }

  /** Nothing new begins until it resumes; who waits does so until its deadline. */
  void pause() {
    paused = true;
  }

  List<Effect> resume(double now) {
    paused = false;
    return serve(now);
  }

  /** Called now and then: waits that are over, and the reserve for those who have waited long. */
  List<Effect> tick(double now) {
    var effects = new ArrayList<Effect>();
    for (User u : new ArrayList<>(users.values())) {
      while (!u.line.isEmpty() && u.line.peek().deadline() <= now) {
        effects.add(new Effect.Refused(u.line.poll().ticket(), "no place came free in time"));
        waiting--;
      }
    }
    users.values().removeIf(u -> u.line.isEmpty() && u.held == 0);
    effects.addAll(serve(now));
    return effects;
  }

  private void tidy(String user) {
    User u = users.get(user);
    if (u.line.isEmpty() && u.held == 0) {
      users.remove(user);
    }
  }

  private List<Effect> serve(double now) {
    if (waiting == 0 || paused) {
      return List.of();
    }
    var effects = new ArrayList<Effect>(1);
    for (Waiting next = next(now); next != null; next = next(now)) {
      User u = users.get(next.user());
      u.line.poll();
      waiting--;
      if (next.deadline() <= now) {
        effects.add(new Effect.Refused(next.ticket(), "no place came free in time"));
        tidy(next.user());
        continue;
      }
      u.held++;
      holders.put(next.ticket(), next.user());
      longestWait = Math.max(longestWait, now - next.since());
      granted++;
      effects.add(new Effect.Granted(next.ticket(), now - next.since()));
    }
    return effects;
  }

  /**
   * Of the users with somebody in line and room of their own: who holds fewest, then whose first
   * waits longest.
   */
  private Waiting next(double now) {
    Waiting best = null;
    int fewest = Integer.MAX_VALUE;
    for (Map.Entry<String, User> e : users.entrySet()) {
      User u = e.getValue();
      Waiting first = u.line.peek();
      if (first == null || u.held >= most(e.getKey())) {
        continue;
      }
      if (u.held < fewest || u.held == fewest && first.since() < best.since()) {
        best = first;
        fewest = u.held;
      }
    }
    if (best == null || holders.size() < database.places().most()) {
      return best;
    }
    boolean reserve = holders.size() < database.places().most() + database.places().reserve();
    return reserve ? longWaiting(now) : null;
  }

  private Waiting longWaiting(double now) {
    Waiting longest = null;
    for (Map.Entry<String, User> e : users.entrySet()) {
      Waiting first = e.getValue().line.peek();
      if (first != null
          && e.getValue().held < most(e.getKey())
          && (longest == null || first.since() < longest.since())) {
        longest = first;
      }
    }
    return longest != null && now - longest.since() >= database.places().reserveAfter()
        ? longest
        : null;
  }

  private int most(String user) {
    Setup.User own = database.users().get(user);
    return own == null || own.most() == 0 ? Integer.MAX_VALUE : own.most();
  }
}
