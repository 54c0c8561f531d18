package crankspar.store;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.logging.Logger;

/**
 * Keeps some of the store's entries in a {@link StateFile}: recovered before anything is served,
 * written as {@link CommitQueue} says, and followed where two processes of one pooler share the
 * file while one replaces the other.
 *
 * <p>The disk is touched by a thread of its own, one task at a time; all else is on the loop.
 * Guards against a loop that stands still with its file system: of some 120 writes on a day one
 * took 39 ms and one 63.
 */
public final class LocalStateFile implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(LocalStateFile.class.getName());

  /** How often another process's writes are looked for (ms): well within the grace of a drain. */
  private static final long POLL = 50;

  /** How long a start tries to read a file that is there (ms), and how often. */
  private static final long RECOVER_MOST = 25_000;

  private static final long RECOVER_RETRY = 50;

  /** How long an end waits for the last write (ms). */
  private static final long CLOSE_MOST = 200;

  /**
   * What is kept where.
   *
   * @param covers which keys are kept
   * @param changeDelay how long (ms) changes that nobody waits for are gathered
   * @param shared whether another process may write it, too
   */
  public record Terms(Path file, Predicate<String> covers, double changeDelay, boolean shared) {}

  /**
   * {@code restores}: its keys get back what the store holds, over what a rejected proposal may
   * have left on disk.
   */
  private record Proposal(List<Change> changes, boolean restores, Consumer<CommitResult> done) {}

  private final EventLoop loop;
  private final Store store;
  private final Counters counters;
  private final Terms terms;
  private final StateFile file;
  private final CommitQueue queue;
  private final ScheduledExecutorService disk =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            var thread = new Thread(task, "local-state");
            thread.setDaemon(true);
            return thread;
          });
  // On the loop.
  private final Map<Long, Proposal> proposals = new HashMap<>();
  private Map<String, Store.Entry> onDisk = Map.of();
  private long ids;
  private int ticks;
  private boolean closed;
  // On the disk's thread.
  private boolean readFails;

  /**
   * Recovers what the file holds into the store; neither on the loop nor before it runs. Fails
   * where the file cannot be read.
   */
  public static LocalStateFile open(EventLoop loop, Store store, Counters counters, Terms terms)
      throws IOException, InterruptedException {
    var file = new StateFile(terms.file());
    List<Store.Entry> recovered = recover(file, counters);
    var opened = new LocalStateFile[1];
    loop.runAndWait(
        () -> opened[0] = new LocalStateFile(loop, store, counters, terms, file, recovered));
    return opened[0];
  }

  /**
   * Tries again for a while: what an earlier process has acknowledged is owed, and a disk may
   * refuse for a moment.
   */
  private static List<Store.Entry> recover(StateFile file, Counters counters)
      throws IOException, InterruptedException {
    long began = System.nanoTime();
    for (boolean first = true; ; first = false) {
      try {
        return file.read();
      } catch (StateFile.Corrupt e) {
        counters.add("state_file_corrupt");
        file.moveAside(e);
        return List.of();
      } catch (IOException e) {
        counters.add("state_read_failures");
        if (first) {
          LOG.warning(
              "the local state cannot be read, it is tried again before anything is served: " + e);
        }
        if (System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(RECOVER_MOST)) {
          throw new IOException("the local state cannot be read: " + e, e);
        }
        Thread.sleep(RECOVER_RETRY);
      }
    }
  }

  private LocalStateFile(
      EventLoop loop,
      Store store,
      Counters counters,
      Terms terms,
      StateFile file,
      List<Store.Entry> recovered) {
    this.loop = loop;
    this.store = store;
    this.counters = counters;
    this.terms = terms;
    this.file = file;
    queue = new CommitQueue(terms.changeDelay());
    take(recovered);
    if (!recovered.isEmpty()) {
      LOG.info("recovered " + recovered.size() + " entries from " + terms.file().getFileName());
    }
    store.onChange(this::changed);
    disk.execute(this::tidy);
    if (terms.shared()) {
      disk.scheduleWithFixedDelay(this::follow, POLL, POLL, TimeUnit.MILLISECONDS);
    }
  }

  boolean covers(String key) {
    return terms.covers().test(key);
  }

  /**
   * On the loop: {@code done} hears once, on the loop, when the changes are on disk and in the
   * store, or will not be.
   */
  void propose(List<Change> changes, Consumer<CommitResult> done) {
    if (changes.stream().allMatch(this::isDurable)) {
      done.accept(new CommitResult.Committed());
      return;
    }
    propose(new Proposal(changes, false, done));
  }

  private void propose(Proposal proposal) {
    long id = ids++;
    proposals.put(id, proposal);
    step(new CommitQueue.Event.Proposed(id, proposal.restores()));
  }

  private boolean isDurable(Change change) {
    Store.Entry kept = onDisk.get(change.key());
    return proposals.isEmpty()
        && kept != null
        && Objects.equals(kept.value(), change.value())
        && Objects.equals(store.get(change.key()), change.value());
  }

  // ---- On the loop.
  private void changed(Store.Entry e) {
    if (covers(e.key()) && !e.equals(onDisk.get(e.key()))) {
      step(new CommitQueue.Event.Changed());
    }
  }

  private void step(CommitQueue.Event event) {
    for (CommitQueue.Effect effect : queue.step(loop.now(), event)) {
      if (effect instanceof CommitQueue.Effect.Persist e) {
        persist(e.proposal());
      } else if (effect instanceof CommitQueue.Effect.Commit e) {
        proposals.remove(e.proposal()).done().accept(new CommitResult.Committed());
      } else if (effect instanceof CommitQueue.Effect.Reject e) {
        reject(e);
      }
    }
    double next = queue.next();
    if (next < Double.POSITIVE_INFINITY) {
      int mine = ++ticks; // only the last tick that was set counts
      loop.after(
          Math.max(0, next - loop.now()) + 1,
          () -> {
            if (mine == ticks) {
              step(new CommitQueue.Event.Tick());
            }
          });
    }
  }

  private void reject(CommitQueue.Effect.Reject e) {
    counters.add("commits_rejected");
    Proposal proposal = proposals.remove(e.proposal());
    if (e.attempted() && !closed) {
      propose(new Proposal(proposal.changes(), true, result -> {}));
    }
    proposal.done().accept(new CommitResult.NotDurable(e.reason()));
  }

  private void persist(long id) {
    List<Store.Entry> ours = store.all().stream().filter(e -> covers(e.key())).toList();
    List<Change> changes = id == CommitQueue.NO_PROPOSAL ? List.of() : changes(proposals.get(id));
    counters.add("state_writes");
    try {
      disk.execute(() -> write(id, ours, changes));
    } catch (RejectedExecutionException e) {
      LOG.fine("a change after the end");
    }
  }

  private List<Change> changes(Proposal proposal) {
    return proposal.restores()
        ? proposal.changes().stream().map(c -> new Change(c.key(), store.get(c.key()))).toList()
        : proposal.changes();
  }

  private void persisted(long id, List<Store.Entry> written) {
    boolean rejected = id != CommitQueue.NO_PROPOSAL && !proposals.containsKey(id);
    if (rejected) { // it must not come into force; what restores the file waits already
      counters.add("commits_late");
      onDisk = byKey(written);
    } else {
      take(written);
    }
    step(new CommitQueue.Event.Persisted());
  }

  private static Map<String, Store.Entry> byKey(List<Store.Entry> entries) {
    Map<String, Store.Entry> map = new HashMap<>();
    entries.forEach(e -> map.put(e.key(), e));
    return map;
  }

  private void take(List<Store.Entry> entries) {
    onDisk = byKey(entries);
    for (Store.Entry e : entries) {
      try {
        if (covers(e.key())) {
          store.take(e);
        }
      } catch (Store.Refused refused) {
        LOG.warning("an entry of the local state cannot be taken: " + refused.getMessage());
      }
    }
  }

  // ---- On the disk's thread.
  private void write(long id, List<Store.Entry> ours, List<Change> changes) {
    try {
      List<Store.Entry> written =
          file.update(theirs -> EntryMerge.merge(theirs, ours, changes, store.writer()));
      loop.runUrgent(() -> persisted(id, written));
    } catch (IOException | RuntimeException e) {
      loop.runUrgent(
          () -> {
            counters.add("state_write_failures");
            LOG.warning("the local state was not written, it is tried again: " + e);
            step(new CommitQueue.Event.Failed(String.valueOf(e.getMessage())));
          });
    }
  }

  private void follow() {
    try {
      List<Store.Entry> theirs = file.readIfChanged();
      readFails = false;
      if (theirs != null) {
        loop.runUrgent(() -> followed(theirs));
      }
    } catch (IOException | RuntimeException e) {
      if (!readFails) {
        LOG.warning("the local state cannot be read, it is tried again: " + e);
        counters.add("state_read_failures");
      }
      readFails = true;
    }
  }

  private void followed(List<Store.Entry> theirs) {
    take(theirs);
    boolean missing =
        store.all().stream().anyMatch(e -> covers(e.key()) && !e.equals(onDisk.get(e.key())));
    if (missing) { // overwritten by a process that does not take the lock
      step(new CommitQueue.Event.Changed());
    }
  }

  private void tidy() {
    try {
      file.removeTemporaryFiles();
    } catch (IOException e) {
      LOG.fine("temporary files are left: " + e);
    }
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
      if (!disk.awaitTermination(CLOSE_MOST, TimeUnit.MILLISECONDS)) {
        LOG.warning("the last changes of the local state may not be written");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
