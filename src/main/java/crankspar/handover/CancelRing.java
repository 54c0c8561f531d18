package crankspar.handover;

import crankspar.core.Ports;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/**
 * Cancels that reached a process of this pooler which does not know their key, for the others.
 * Guards against a cancel that does nothing during an upgrade: the old process has the request and
 * no longer listens, the new one listens and knows no key of the old one's.
 *
 * <p>A ring of {@link #SLOTS} entries of 16 bytes behind a count of 8: the entry's number, which is
 * written last, and the key. Whoever opens it hears of what is added from then on. An entry whose
 * writer died on the way is passed over. A reader that stood still while the ring went round is
 * told that it was overtaken: it does not know which keys it has missed. One process's calls come
 * from one thread.
 */
public final class CancelRing implements Ports.SharedCancels {
  /** More cancels than connections come within a pause of a process. */
  static final int SLOTS = 8192;

  private static final int HEAD = 8;
  private static final int SLOT = 16;
  static final int BYTES = HEAD + SLOTS * SLOT;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer shared;

  /** Entries that were claimed and not complete when they were last looked at. */
  private final TreeSet<Long> incomplete = new TreeSet<>();

  private long next;

  /** What was looked at last was overwritten. */
  private boolean overtaken;

  private CancelRing(ByteBuffer shared) {
    this.shared = shared;
    next = count();
  }

  /** The ring of this pooler's processes; made where there is none. */
  public static CancelRing open(Path file) throws IOException {
    return new CancelRing(SharedFile.map(file, BYTES));
  }

  @Override
  public void add(long key) {
    long entry = (long) LONGS.getAndAdd(shared, 0, 1L);
    int at = at(entry);
    LONGS.setRelease(shared, at, 0L); // whoever reads it now reads it as not there yet
    LONGS.setRelease(shared, at + 8, key);
    LONGS.setRelease(shared, at, entry + 1);
  }

  /** May be called again by what it tells: a cancel lets another request be sent. */
  @Override
  public boolean takeNew(LongConsumer told) {
    long count = count();
    if (next == count && incomplete.isEmpty()) {
      return true;
    }
    var keys = new ArrayList<Long>();
    long oldest = count - SLOTS;
    overtaken = next < oldest;
    incomplete.removeIf(entry -> entry < oldest || take(entry, keys));
    for (next = Math.max(next, oldest); next < count; next++) {
      if (!take(next, keys)) {
        incomplete.add(next);
      }
    }
    boolean whole = !overtaken;
    keys.forEach(told::accept);
    return whole;
  }

  /** False where its writer is still on the way, or died there. */
  private boolean take(long entry, List<Long> keys) {
    int at = at(entry);
    long number = (long) LONGS.getAcquire(shared, at);
    long key = (long) LONGS.getAcquire(shared, at + 8);
    if (number < entry + 1) {
      return false;
    }
    if (number == entry + 1 && (long) LONGS.getAcquire(shared, at) == number) {
      keys.add(key);
    } else {
      overtaken = true;
    }
    return true;
  }

  private long count() {
    return (long) LONGS.getAcquire(shared, 0);
  }

  private static int at(long entry) {
    return HEAD + (int) (entry % SLOTS) * SLOT;
  }
}
