package crankspar.store;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import crankspar.wal.CommitDriver;
import crankspar.wal.CommitQueue;
import crankspar.wal.FolderDisk;
import crankspar.wal.Recovery;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.logging.Logger;

/**
 * Keeps some of the store's entries in a {@link StateFile}: recovered before anything is served,
 * written as {@link CommitQueue} says, and followed where two processes of one pooler share the
 * file while one replaces the other.
 */
public final class LocalStateFile implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(LocalStateFile.class.getName());

  /** How often another process's writes are looked for (ms): well within the grace of a drain. */
  private static final long POLL = 50;

  /** One proposal a write: a rejected one is taken back without touching another's. */
  private static final int BATCH_MOST = 1;

  private static final int WAITING_MOST = 64;

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
  private final CommitDriver driver;
  // On the loop.
  private final Map<Long, Proposal> proposals = new HashMap<>();
  private Map<String, Store.Entry> onDisk = Map.of();
  // On the disk's thread.
  private boolean readFails;

  /**
   * Recovers what the file holds into the store; neither on the loop nor before it runs. Fails
   * where the file cannot be read, or is corrupt in all of its copies.
   */
  public static LocalStateFile open(EventLoop loop, Store store, Counters counters, Terms terms)
      throws IOException, InterruptedException {
    var file = new StateFile(FolderDisk.of(terms.file()), terms.file().getFileName().toString());
    List<Store.Entry> recovered =
        Recovery.of(
            "the local state",
            () -> loop.run(() -> counters.add("state_read_failures")),
            () -> recover(file));
    var opened = new LocalStateFile[1];
    loop.runAndWait(
        () -> opened[0] = new LocalStateFile(loop, store, counters, terms, file, recovered));
    return opened[0];
  }

  /**
   * Guards against a start that takes a torn file for an empty one: a database that an operator had
   * out got its requests.
   */
  private static List<Store.Entry> recover(StateFile file) throws IOException {
    try {
      return file.read();
    } catch (StateFile.Corrupt e) {
      throw new Recovery.Lost(
          "no copy of the local state "
              + file.name()
              + " is whole ("
              + e.getMessage()
              + "): it is not known which databases operators have taken out. To start without it,"
              + " move "
              + file.name()
              + " and "
              + file.name()
              + ".copy away and take them out again",
          e);
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
    var bounds =
        new CommitQueue.Bounds(terms.changeDelay(), BATCH_MOST, Integer.MAX_VALUE, WAITING_MOST);
    driver = new CommitDriver(loop, counters, "state", bounds, new Writes());
    take(recovered);
    if (!recovered.isEmpty()) {
      LOG.info("recovered " + recovered.size() + " entries from " + file.name());
    }
    store.onChange(this::changed);
    restoreCopies(file.degraded());
    driver.onDisk("clearing up", file::removeTemporaryFiles);
    if (terms.shared()) {
      driver.onDiskEvery(POLL, this::follow);
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
    propose(new Proposal(changes, false, done), CommitQueue.ACKNOWLEDGE_MOST);
  }

  private void propose(Proposal proposal, double waitMost) {
    long id = driver.nextId();
    proposals.put(id, proposal);
    driver.propose(id, waitMost, 0);
  }

  /**
   * Whether nothing has to be written. A call that takes a database out always has: a call back
   * that is on its way knows of the calls before, and not of this one.
   */
  private boolean isDurable(Change change) {
    Store.Entry kept = onDisk.get(change.key());
    boolean takesOut = change.key().startsWith(DrainCalls.MARK) && change.value() != null;
    return !takesOut
        && proposals.isEmpty()
        && kept != null
        && Objects.equals(kept.value(), change.value())
        && Objects.equals(store.get(change.key()), change.value());
  }

  // ---- On the loop.
  private void restoreCopies(boolean degraded) {
    if (degraded) {
      counters.add("state_copies_restored");
      LOG.warning(file.name() + " has one whole copy that is up to date: both are written anew");
      driver.changed();
    }
  }

  private void changed(Store.Entry e) {
    if (covers(e.key()) && !e.equals(onDisk.get(e.key()))) {
      driver.changed();
    }
  }

  private final class Writes implements CommitDriver.Client {
    @Override
    public CommitDriver.Write prepare(List<Long> batch) {
      List<Store.Entry> ours = store.all().stream().filter(e -> covers(e.key())).toList();
      EntryMerge.Changes changes =
          batch.isEmpty() ? EntryMerge.Changes.NONE : changes(proposals.get(batch.get(0)));
      return () -> {
        List<Store.Entry> written =
            file.update(
                theirs -> EntryMerge.merge(theirs, ours, changes, store.node(), store.writer()));
        return () -> written(batch, written);
      };
    }

    @Override
    public void committed(long id) {
      proposals.remove(id).done().accept(new CommitResult.Committed());
    }

    @Override
    public void rejected(CommitQueue.Effect.Reject e) {
      Proposal proposal = proposals.remove(e.proposal());
      if (e.attempted() && !driver.closed()) {
        propose(new Proposal(proposal.changes(), true, result -> {}), CommitQueue.UNTIL_WRITTEN);
      }
      proposal.done().accept(new CommitResult.NotDurable(e.reason()));
    }
  }

  private EntryMerge.Changes changes(Proposal proposal) {
    List<Change> changes =
        proposal.restores()
            ? proposal.changes().stream().map(c -> new Change(c.key(), store.get(c.key()))).toList()
            : proposal.changes();
    return new EntryMerge.Changes(changes, proposal.restores());
  }

  private void written(List<Long> batch, List<Store.Entry> written) {
    if (proposals.keySet().containsAll(batch)) {
      take(written);
    } else { // rejected: it must not come into force; what restores the file waits already
      counters.add("commits_late");
      onDisk = byKey(written);
    }
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
  private void follow() {
    try {
      List<Store.Entry> theirs = file.readIfChanged();
      readFails = false;
      if (theirs != null) {
        boolean degraded = file.degraded();
        loop.runUrgent(() -> followed(theirs, degraded));
      }
    } catch (IOException | RuntimeException e) {
      if (!readFails) {
        LOG.warning("the local state cannot be read, it is tried again: " + e);
        loop.run(() -> readFailed(e instanceof StateFile.Corrupt));
      }
      readFails = true;
    }
  }

  /** Where no copy is whole, what this process holds is all there is. */
  private void readFailed(boolean corrupt) {
    counters.add("state_read_failures");
    if (corrupt) {
      driver.changed();
    }
  }

  private void followed(List<Store.Entry> theirs, boolean degraded) {
    take(theirs);
    restoreCopies(degraded);
    boolean missing =
        store.all().stream().anyMatch(e -> covers(e.key()) && !e.equals(onDisk.get(e.key())));
    if (missing) { // overwritten by a process that does not take the lock
      driver.changed();
    }
  }

  /**
   * Nothing is acknowledged from now on; what has changed is written once more, for a bounded time.
   * Not on the loop.
   */
  @Override
  public void close() {
    driver.close();
  }
}
