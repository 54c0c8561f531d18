package crankspar.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when the local state file is written and when a proposed change may be acknowledged:
 * never before the write that holds it has succeeded. It is stepped with what happened and hands
 * out what to do; it knows no file, no clock and no thread. Times are ms on a monotonic clock.
 *
 * <p>One write is under way at a time, with one proposal at most. A write that failed is tried
 * again as a whole, with a doubling wait and without end; a proposal waits for {@link
 * #ACKNOWLEDGE_MOST} and is rejected then. A change that nobody waits for is written too, however
 * long the disk refuses.
 */
final class CommitQueue {
  /** An operator's call waits for a second; the answer needs some of it. */
  static final double ACKNOWLEDGE_MOST = 800;

  static final double RETRY_FIRST = 20;
  static final double RETRY_MOST = 500;
  static final int WAITING_MOST = 64;

  /** In {@link Effect.Persist}: the write carries no proposal. */
  static final long NO_PROPOSAL = -1;

  sealed interface Event {
    /** Somebody waits for this change; {@code patient} ones wait until the disk takes it. */
    record Proposed(long id, boolean patient) implements Event {}

    /** The state has changed otherwise, and differs from what the file holds. */
    record Changed() implements Event {}

    /** The write under way is on disk. */
    record Persisted() implements Event {}

    /** The write under way failed; what the file holds now is not known. */
    record Failed(String reason) implements Event {}

    /** Time has passed. */
    record Tick() implements Event {}

    /** This process ends: nothing further is acknowledged. */
    record Closed() implements Event {}
  }

  sealed interface Effect {
    /** Write the present state, with this proposal's changes if there is one. */
    record Persist(long proposal) implements Effect {}

    record Commit(long proposal) implements Effect {}

    /** {@code attempted}: a write with it has begun, so that the file may hold it. */
    record Reject(long proposal, String reason, boolean attempted) implements Effect {}
  }

  private static final class Pending {
    final long id;
    final double deadline;
    boolean attempted;

    Pending(long id, double deadline) {
      this.id = id;
      this.deadline = deadline;
    }
  }

  private final double changeDelay;
  private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
  private final List<Effect> effects = new ArrayList<>();

  /** The proposal of the write under way; null where there is none or it was rejected meanwhile. */
  private Pending inFlight;

  private boolean writing;
  private boolean changed;
  private boolean closed;
  private double changeDue;
  private double retryAt = Double.NEGATIVE_INFINITY;
  private double retryWait = RETRY_FIRST;
  private String lastFailure = "the disk did not answer in time";

  /**
   * {@code changeDelay} is how long (ms) changes that nobody waits for are gathered before they are
   * written.
   */
  CommitQueue(double changeDelay) {
    this.changeDelay = changeDelay;
  }

  List<Effect> step(double now, Event event) {
    effects.clear();
    if (event instanceof Event.Proposed e) {
      proposed(now, e);
    } else if (event instanceof Event.Changed) {
      changed(now + changeDelay);
    } else if (event instanceof Event.Persisted) {
      persisted();
    } else if (event instanceof Event.Failed e) {
      failed(now, e.reason());
    } else if (event instanceof Event.Closed) {
      closed = true;
      waiting.forEach(p -> reject(p, "this process is ending"));
      waiting.clear();
    }
    expire(now);
    startWrite(now);
    return List.copyOf(effects);
  }

  /**
   * When it has to be stepped with {@link Event.Tick} at the latest; infinite where nothing is due.
   */
  double next() {
    double next = Double.POSITIVE_INFINITY;
    for (Pending p : waiting) {
      next = Math.min(next, p.deadline);
    }
    if (!writing && !waiting.isEmpty()) {
      next = Math.min(next, retryAt);
    }
    if (!writing && changed) {
      next = Math.min(next, Math.max(retryAt, changeDue));
    }
    return next;
  }

  private void proposed(double now, Event.Proposed e) {
    var pending =
        new Pending(e.id(), e.patient() ? Double.POSITIVE_INFINITY : now + ACKNOWLEDGE_MOST);
    if (closed) {
      reject(pending, "this process is ending");
    } else if (waiting.size() >= WAITING_MOST) {
      reject(pending, "too many changes wait for the disk");
    } else {
      waiting.add(pending);
    }
  }

  private void changed(double due) {
    changeDue = changed ? Math.min(changeDue, due) : due;
    changed = true;
  }

  private void persisted() {
    writing = false;
    retryAt = Double.NEGATIVE_INFINITY;
    retryWait = RETRY_FIRST;
    if (inFlight != null) {
      waiting.remove(inFlight);
      effects.add(new Effect.Commit(inFlight.id));
      inFlight = null;
    }
  }

  private void failed(double now, String reason) {
    writing = false;
    inFlight = null;
    lastFailure = reason;
    retryAt = now + retryWait;
    retryWait = Math.min(RETRY_MOST, 2 * retryWait);
    changed(now);
  }

  private void expire(double now) {
    for (Pending p : List.copyOf(waiting)) {
      if (now >= p.deadline) {
        waiting.remove(p);
        reject(p, lastFailure);
      }
    }
  }

  private void reject(Pending p, String reason) {
    effects.add(new Effect.Reject(p.id, reason, p.attempted));
    if (inFlight == p) {
      inFlight = null;
    }
  }

  private void startWrite(double now) {
    if (writing || now < retryAt) {
      return;
    }
    inFlight = waiting.peek();
    if (inFlight == null && !(changed && now >= changeDue)) {
      return;
    }
    writing = true;
    changed = false; // a write holds the whole state
    if (inFlight != null) {
      inFlight.attempted = true;
    }
    effects.add(new Effect.Persist(inFlight == null ? NO_PROPOSAL : inFlight.id));
  }
}
