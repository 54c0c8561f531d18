package crankspar.store;

import crankspar.wal.Disk;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * A small file of entries that outlives the process, kept in two copies. Every update replaces both
 * as a whole ({@link Disk#replace}), one after the other, and returns once both are on disk. A
 * crash at any step leaves the old content or the new one; a failed step leaves no claim about
 * which, and the next update starts from the beginning. What counts is the merge of the copies that
 * are whole, so that one torn copy loses nothing. Processes that share the file update it one at a
 * time, under a lock that the kernel frees when its holder dies. The content carries a checksum
 * (CRC-32C); earlier releases wrote none and read past it. They know the first copy only.
 *
 * <p>Calls block on the disk and belong on a thread of their own. Not thread-safe.
 */
final class StateFile {
  /** Signs what follows from two copies that differ. */
  private static final String COPIES = "state-file";

  private static final Logger LOG = Logger.getLogger(StateFile.class.getName());
  private static final String COPY = ".copy";
  private static final String LOCK = ".lock";

  /** How long an update waits for another process's (ms). */
  private static final long LOCK_MOST_MS = 400;

  /** The content is not what was written: nothing of it can be trusted. */
  static final class Corrupt extends IOException {
    private static final long serialVersionUID = 1;

    Corrupt(String message) {
      super(message);
    }
  }

  private final Disk disk;
  private final String name;
  private final List<String> copies;

  /** What the copies were when they were last read or written here; null where not known. */
  private Object seen;

  private boolean degraded;

  StateFile(Disk disk, String name) {
    this.disk = disk;
    this.name = name;
    copies = List.of(name, name + COPY);
  }

  String name() {
    return name;
  }

  /**
   * The entries; none where there is no copy yet.
   *
   * @throws Corrupt if copies are there and none is whole
   */
  List<Store.Entry> read() throws IOException {
    Copies copies = readCopies();
    if (copies.whole().isEmpty() && !copies.corrupt().isEmpty()) {
      throw copies.corrupt().values().iterator().next();
    }
    return copies.merged();
  }

  /** What the copies hold: the entries of those that are whole, and what is wrong with others. */
  private record Copies(List<List<Store.Entry>> whole, Map<String, Corrupt> corrupt) {
    List<Store.Entry> merged() {
      List<Store.Entry> first = whole.isEmpty() ? List.of() : whole.get(0);
      return whole.size() < 2 || whole.get(1).equals(first)
          ? first
          : EntryMerge.merge(whole.get(1), first, EntryMerge.Changes.NONE, COPIES, COPIES);
    }

    boolean degraded() {
      return !whole.isEmpty() && !whole.equals(List.of(whole.get(0), whole.get(0)));
    }
  }

  private Copies readCopies() throws IOException {
    Object version = version();
    var whole = new ArrayList<List<Store.Entry>>();
    var corrupt = new LinkedHashMap<String, Corrupt>();
    for (String copy : copies) {
      try {
        whole.add(StoreJson.readState(disk.readAll(copy)));
      } catch (Corrupt e) {
        corrupt.put(copy, e);
      } catch (NoSuchFileException e) {
        // not written yet, or by an earlier release, which keeps one copy
      }
    }
    var read = new Copies(whole, corrupt);
    if (!whole.isEmpty() || corrupt.isEmpty()) {
      seen = version;
      degraded = read.degraded();
    }
    return read;
  }

  /** Whether what was last read stands in one copy only, so that it should be written once more. */
  boolean degraded() {
    return degraded;
  }

  /**
   * The entries if another process has replaced the file since it was last read or written here,
   * else null.
   */
  List<Store.Entry> readIfChanged() throws IOException {
    Object version = version();
    return version.equals(NONE) || version.equals(seen) ? null : read();
  }

  private static final List<Object> NONE = Arrays.asList(null, null);

  private Object version() throws IOException {
    var versions = new ArrayList<Object>();
    for (String copy : copies) {
      versions.add(disk.version(copy));
    }
    return versions;
  }

  /**
   * Replaces the entries by what {@code change} makes of them, and returns that; when this returns
   * it is on disk, twice. A corrupt copy is moved aside; where none is whole, {@code change} gets
   * nothing.
   */
  List<Store.Entry> update(UnaryOperator<List<Store.Entry>> change) throws IOException {
    try (Closeable lock = disk.lock(name + LOCK, LOCK_MOST_MS)) {
      Copies present = readCopies();
      moveAside(present.corrupt());
      List<Store.Entry> updated = change.apply(present.merged());
      byte[] content = StoreJson.writeState(updated);
      // The first copy last: what an earlier release finds there is the last one to change.
      disk.replace(copies.get(1), content);
      disk.replace(copies.get(0), content);
      seen = version();
      degraded = false;
      return updated;
    }
  }

  /** Removes what writers that were killed have left beside the file. */
  void removeTemporaryFiles() throws IOException {
    try (Closeable lock = disk.lock(name + LOCK, LOCK_MOST_MS)) {
      disk.deleteTemporaries(name);
    }
  }

  /** Keeps corrupt copies for who wants to look at them. */
  private void moveAside(Map<String, Corrupt> corrupt) throws IOException {
    for (Map.Entry<String, Corrupt> e : corrupt.entrySet()) {
      String copy = e.getKey();
      String aside = name + ".corrupt-" + Long.toHexString(ThreadLocalRandom.current().nextLong());
      LOG.severe(copy + " is corrupt (" + e.getValue().getMessage() + "), moved to " + aside);
      disk.rename(copy, aside);
    }
  }
}
