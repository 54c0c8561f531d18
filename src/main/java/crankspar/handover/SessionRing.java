package crankspar.handover;

import crankspar.core.Ports;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Commits by session, shared by the processes of one pooler while one replaces the other: each
 * write that a client is answered goes in before the answer does, and each session's read looks
 * here first. Guards against a stale read: where marks are remembered, a successor knew those of
 * its own writes only, and a read that came soon after a write through its predecessor was served
 * by a replica half a second behind.
 *
 * <p>A ring of {@link #SLOTS} entries of 24 bytes behind a head of 16: the entries so far and, of
 * what was overwritten, the newest commit. A session is known by the hash of its name: two that
 * share one wait for the later commit of both, which is never wrong. An entry counts once its
 * number is in place; one whose writer died on the way is passed over. Times are Unix ms. One
 * process's calls come from one thread.
 */
public final class SessionRing implements Ports.SharedSessionMarks {
  /**
   * At seven writes a second ten minutes' worth, at a hundred 40 s; what is older is known as one
   * common commit.
   */
  static final int SLOTS = 4096;

  /**
   * Writers on their way at once are two at most; what those that died have left is looked at again
   * until then.
   */
  private static final int INCOMPLETE_MOST = 64;

  private static final int HEAD = 16;
  private static final int SLOT = 24;
  static final int BYTES = HEAD + SLOTS * SLOT;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer shared;
  private final Map<Integer, Long> commits = new HashMap<>();

  /** Entries that were claimed and not complete when they were last looked at. */
  private final TreeSet<Long> incomplete = new TreeSet<>();

  private final LinkedHashMap<Integer, Long> written =
      new LinkedHashMap<>(); // hash by the entry that told it last
  private long read, floor;

  SessionRing(ByteBuffer shared) {
    this.shared = shared.order(ByteOrder.nativeOrder());
    read = Math.max(0, count() - SLOTS);
  }

  /** The ring of this pooler's processes; made where there is none. */
  public static SessionRing open(Path file) throws IOException {
    return new SessionRing(SharedFile.map(file, BYTES));
  }

  /**
   * Takes one entry; false where its writer is still on the way, or died there. Such an entry holds
   * up nothing behind it: its write was not answered yet, and what comes later may have been.
   */
  private boolean take(long entry) {
    int at = at(entry);
    long number = (long) LONGS.getAcquire(shared, at);
    long hash = (long) LONGS.getAcquire(shared, at + 8);
    long commit = (long) LONGS.getAcquire(shared, at + 16);
    if (number < entry + 1) {
      return false;
    }
    if (number == entry + 1 && (long) LONGS.getAcquire(shared, at) == number) {
      commits.merge((int) hash, commit, Math::max);
      written.remove((int) hash);
      written.put((int) hash, entry);
    } else {
      floor = Math.max(floor, (long) LONGS.getAcquire(shared, 8)); // overwritten meanwhile
    }
    return true;
  }

  private long count() {
    return (long) LONGS.getAcquire(shared, 0);
  }

  private static int at(long entry) {
    return HEAD + (int) (entry % SLOTS) * SLOT;
  }

  @Override
  public void writeCommitted(String session, double commit) {
    if (session == null || Double.isNaN(commit)) {
      return;
    }
    long entry = (long) LONGS.getAndAdd(shared, 0, 1L);
    int at = at(entry);
    if (entry >= SLOTS) {
      dropped((long) LONGS.getAcquire(shared, at + 16));
    }
    LONGS.setRelease(shared, at, 0L); // whoever reads it now reads it as not there yet
    LONGS.setRelease(shared, at + 8, (long) session.hashCode());
    LONGS.setRelease(shared, at + 16, (long) Math.ceil(commit));
    LONGS.setRelease(shared, at, entry + 1);
  }

  private void dropped(long commit) {
    long before = (long) LONGS.getAcquire(shared, 8);
    while (before < commit && !LONGS.compareAndSet(shared, 8, before, commit)) {
      before = (long) LONGS.getAcquire(shared, 8);
    }
  }

  /**
   * The position that a read of this session must see by what has been written; NaN where nothing
   * is known.
   */
  @Override
  public double requiredPosition(String session) {
    follow();
    long need = Math.max(floor, session == null ? 0 : commits.getOrDefault(session.hashCode(), 0L));
    return need == 0 ? Double.NaN : need;
  }

  private void follow() {
    long count = count();
    if (read < count - SLOTS) {
      read = count - SLOTS; // overwritten before it was read: known as what was dropped
    }
    floor = Math.max(floor, (long) LONGS.getAcquire(shared, 8));
    incomplete.removeIf(entry -> entry < count - SLOTS || take(entry));
    for (; read < count; read++) {
      if (!take(read)) {
        incomplete.add(read);
        while (incomplete.size() > INCOMPLETE_MOST) {
          incomplete.remove(incomplete.first());
        }
      }
    }
    for (Iterator<Integer> i = written.keySet().iterator();
        written.size() > SLOTS && i.hasNext(); ) {
      int oldest = i.next();
      i.remove();
      floor = Math.max(floor, commits.remove(oldest));
    }
  }
}
