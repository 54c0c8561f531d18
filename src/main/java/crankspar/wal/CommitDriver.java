package crankspar.wal;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Carries out a {@link CommitQueue}: its steps on the loop, its writes on a thread of its own, one
 * at a time. Guards against a loop that stands still with its file system.
 */
public final class CommitDriver implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(CommitDriver.class.getName());

  /** How long an end waits for the last write (ms). */
  private static final long CLOSE_MOST_MS = 200;

  /** A write, on the disk's thread. */
  public interface Write {
    /** Returns what the loop has to do before the proposals count as committed. */
    Runnable run() throws IOException;
  }

  /** What is written, and who waits for it; called on the loop. */
  public interface Client {
    /** A write of what has changed, with these proposals. */
    Write prepare(List<Long> proposals);

    void committed(long proposal);

    void rejected(CommitQueue.Effect.Reject reject);
  }

  /** A task on the disk's thread; its failure is the task's own to tell. */
  public interface DiskTask {
    void run() throws IOException;
  }

  private final EventLoop loop;
  private final Counters counters;
  private final CommitQueue queue;
  private final Client client;
  private final String name;
  private final ScheduledExecutorService disk;
  // On the loop.
  private long proposals;
  private int ticks;
  private boolean closed;

  /** {@code name} is its thread's, and stands before its counters. */
  public CommitDriver(
      EventLoop loop, Counters counters, String name, CommitQueue.Bounds bounds, Client client) {
    this.loop = loop;
    this.counters = counters;
    this.name = name;
    this.client = client;
    queue = new CommitQueue(bounds);
    disk =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              var thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
  }

  /** A name for a proposal. */
  public long nextId() {
    return proposals++;
  }

  /** On the loop: {@link Client} hears of this proposal's end once, within this call or later. */
  public void propose(long id, double waitMost, int bytes) {
    step(new CommitQueue.Event.Proposed(id, waitMost, bytes));
  }

  /** On the loop: there is something to write for which nobody waits. */
  public void changed() {
    step(new CommitQueue.Event.Changed());
  }

  /** On the loop. */
  public boolean closed() {
    return closed;
  }

  /** Runs between two writes; what it throws is logged and counted. */
  public void onDisk(String what, DiskTask task) {
    execute(() -> attempt(what, task));
  }

  /** Runs between two writes, again and again, this long (ms) after the last time. */
  public void onDiskEvery(long ms, Runnable task) {
    var unused = disk.scheduleWithFixedDelay(task, ms, ms, TimeUnit.MILLISECONDS);
  }

  private void attempt(String what, DiskTask task) {
    try {
      task.run();
    } catch (IOException | RuntimeException e) {
      LOG.warning(name + ": " + what + " failed: " + e);
      loop.run(() -> counters.add(counter("failures")));
    }
  }

  private void step(CommitQueue.Event event) {
    for (CommitQueue.Effect effect : queue.step(loop.now(), event)) {
      if (effect instanceof CommitQueue.Effect.Persist e) {
        persist(e.proposals());
      } else if (effect instanceof CommitQueue.Effect.Commit e) {
        client.committed(e.proposal());
      } else if (effect instanceof CommitQueue.Effect.Reject e) {
        counters.add("commits_rejected");
        client.rejected(e);
      }
    }
    awaitNext();
  }

  private void awaitNext() {
    double next = queue.next();
    if (next == Double.POSITIVE_INFINITY) {
      return;
    }
    int mine = ++ticks; // only the last tick that was set counts
    loop.after(
        Math.max(0, next - loop.now()) + 1,
        () -> {
          if (mine == ticks) {
            step(new CommitQueue.Event.Tick());
          }
        });
  }

  private void persist(List<Long> batch) {
    counters.add(counter("writes"));
    Write write = client.prepare(batch);
    execute(() -> write(write));
  }

  private void execute(Runnable task) {
    try {
      disk.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.fine("a change after the end");
    }
  }

  private void write(Write write) {
    try {
      Runnable written = write.run();
      loop.runUrgent(
          () -> {
            written.run();
            step(new CommitQueue.Event.Persisted());
          });
    } catch (IOException | RuntimeException e) {
      loop.runUrgent(
          () -> {
            counters.add(counter("write_failures"));
            LOG.warning(name + ": not written, it is tried again: " + e);
            step(new CommitQueue.Event.Failed(String.valueOf(e.getMessage())));
          });
    }
  }

  private String counter(String what) {
    return name.replace('-', '_') + "_" + what;
  }

  /**
   * Nothing is acknowledged from now on; what has changed is written once more, for a bounded time.
   * Not on the loop.
   */
  @Override
  public void close() {
    if (disk.isShutdown()) {
      return;
    }
    try {
      loop.runAndWait(
          () -> {
            closed = true;
            step(new CommitQueue.Event.Closed());
          });
      disk.shutdown();
      if (!disk.awaitTermination(CLOSE_MOST_MS, TimeUnit.MILLISECONDS)) {
        LOG.warning(name + ": the last changes may not be written");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
