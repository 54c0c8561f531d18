package crankspar.wal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when something is written and when what was proposed may be acknowledged: never before
 * the write that holds it has succeeded. It is stepped with what happened and hands out what to do;
 * it knows no file, no clock and no thread. Times are ms on a monotonic clock.
 *
 * <p>One write is under way at a time, with as many proposals as wait, within {@link Bounds}. A
 * write that failed is tried again as a whole, with a doubling wait and without end; a proposal
 * waits for as long as it says and is rejected then. A change that nobody waits for is written too,
 * however long the disk refuses.
 */
public final class CommitQueue {
  /** An operator's call waits for a second; the answer needs some of it. */
  public static final double ACKNOWLEDGE_MOST = 800;

  /** For a proposal that waits until the disk takes it. */
  public static final double UNTIL_WRITTEN = Double.POSITIVE_INFINITY;

  static final double RETRY_FIRST = 20;
  static final double RETRY_MOST = 500;

  /**
   * What is gathered.
   *
   * @param changeDelay how long (ms) changes that nobody waits for are gathered before they are
   *     written
   * @param batchMost proposals in one write
   * @param batchBytesMost bytes of them; one proposal is written however long it is
   * @param waitingMost proposals that wait, the ones being written included
   */
  public record Bounds(double changeDelay, int batchMost, int batchBytesMost, int waitingMost) {}

  public sealed interface Event {
    /** Somebody waits for this, for {@code waitMost} ms. */
    record Proposed(long id, double waitMost, int bytes) implements Event {}

    /** The state has changed otherwise, and differs from what the disk holds. */
    record Changed() implements Event {}

    /** The write under way is on disk. */
    record Persisted() implements Event {}

    /** The write under way failed; what the disk holds now is not known. */
    record Failed(String reason) implements Event {}

    /** Time has passed. */
    record Tick() implements Event {}

    /** This process ends: nothing further is acknowledged. */
    record Closed() implements Event {}
  }

  public sealed interface Effect {
    /** Write what has changed, with these proposals. */
    record Persist(List<Long> proposals) implements Effect {}

    record Commit(long proposal) implements Effect {}

    /** {@code attempted}: a write with it has begun, so that the disk may hold it. */
    record Reject(long proposal, String reason, boolean attempted) implements Effect {}
  }

  private static final class Pending {
    final long id;
    final double deadline;
    final int bytes;
    boolean attempted;

    Pending(long id, double deadline, int bytes) {
      this.id = id;
      this.deadline = deadline;
      this.bytes = bytes;
    }
  }

  private final Bounds bounds;
  private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
  private final List<Effect> effects = new ArrayList<>();

  /** The proposals of the write under way, but for those that were rejected meanwhile. */
  private final List<Pending> inFlight = new ArrayList<>();

  private boolean writing;
  private boolean changed;
  private boolean closed;
  private double changeDue;
  private double retryAt = Double.NEGATIVE_INFINITY;
  private double retryWait = RETRY_FIRST;
  private String lastFailure = "the disk did not answer in time";

  public CommitQueue(Bounds bounds) {
    this.bounds = bounds;
  }

  public List<Effect> step(double now, Event event) {
    effects.clear();
    if (event instanceof Event.Proposed e) {
      proposed(now, e);
    } else if (event instanceof Event.Changed) {
      changed(now + bounds.changeDelay());
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
  public double next() {
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
    var pending = new Pending(e.id(), now + e.waitMost(), e.bytes());
    if (closed) {
      reject(pending, "this process is ending");
    } else if (waiting.size() >= bounds.waitingMost()) {
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
    for (Pending written : inFlight) {
      waiting.remove(written);
      effects.add(new Effect.Commit(written.id));
    }
    inFlight.clear();
  }

  private void failed(double now, String reason) {
    writing = false;
    inFlight.clear();
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
    inFlight.remove(p);
  }

  private void startWrite(double now) {
    if (writing || now < retryAt) {
      return;
    }
    if (waiting.isEmpty() && !(changed && now >= changeDue)) {
      return;
    }
    writing = true;
    changed = false; // a write holds the whole state
    takeBatch();
    effects.add(new Effect.Persist(inFlight.stream().map(p -> p.id).toList()));
  }

  private void takeBatch() {
    int bytes = 0;
    for (Pending p : waiting) {
      bytes += p.bytes;
      boolean full = inFlight.size() >= bounds.batchMost() || bytes > bounds.batchBytesMost();
      if (full && !inFlight.isEmpty()) {
        return;
      }
      p.attempted = true;
      inFlight.add(p);
    }
  }
}
