package crankspar.handover;

import crankspar.core.Ports;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import net.openhft.hashing.LongHashFunction;

/**
 * The ids of requests that may not run twice and may have run, for this process and the others of
 * its pooler: an id that comes again is not sent again, at whichever process.
 *
 * <p>A table of {@link #BUCKETS} buckets, each of {@link #WAYS} entries of 16 bytes: an id's hash,
 * and the number of its entry, which orders a bucket's entries by age. Behind a full bucket the
 * oldest entry is overwritten. Two processes that write to one bucket at the same moment may lose
 * one of two entries, an id's own process knows it all the same while it is open. O({@link #WAYS}).
 * One process's calls come from one thread.
 */
public final class SentIds implements Ports.SentIds {
  private static final int BUCKETS = 4096;
  private static final int WAYS = 8;
  private static final int HEAD = 8;
  private static final int ENTRY = 16;
  private static final int BYTES = HEAD + BUCKETS * WAYS * ENTRY;
  private static final LongHashFunction HASH = LongHashFunction.xx();
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer table;

  private SentIds(ByteBuffer table) {
    this.table = table;
  }

  /** Shared with the processes that open the same file; made where there is none. */
  public static SentIds open(Path file) throws IOException {
    return new SentIds(SharedFile.map(file, BYTES));
  }

  /** Known to this process only. */
  public static SentIds inMemory() {
    return new SentIds(ByteBuffer.allocateDirect(BYTES).order(ByteOrder.nativeOrder()));
  }

  @Override
  public void add(String id) {
    long hash = hash(id);
    int at = find(hash);
    int slot = at >= 0 ? at : oldest(bucket(hash));
    LONGS.setRelease(table, slot, hash);
    LONGS.setRelease(table, slot + 8, (long) LONGS.getAndAdd(table, 0, 1L) + 1);
  }

  @Override
  public void remove(String id) {
    int at = find(hash(id));
    if (at >= 0) {
      LONGS.setRelease(table, at, 0L);
      LONGS.setRelease(table, at + 8, 0L);
    }
  }

  @Override
  public boolean contains(String id) {
    return find(hash(id)) >= 0;
  }

  private int find(long hash) {
    int bucket = bucket(hash);
    for (int way = 0; way < WAYS; way++) {
      if ((long) LONGS.getAcquire(table, bucket + way * ENTRY) == hash) {
        return bucket + way * ENTRY;
      }
    }
    return -1;
  }

  private int oldest(int bucket) {
    int oldest = bucket;
    long least = Long.MAX_VALUE;
    for (int way = 0; way < WAYS; way++) {
      long number = (long) LONGS.getAcquire(table, bucket + way * ENTRY + 8);
      if (number < least) {
        least = number;
        oldest = bucket + way * ENTRY;
      }
    }
    return oldest;
  }

  private static int bucket(long hash) {
    return HEAD + (int) Math.floorMod(hash, (long) BUCKETS) * WAYS * ENTRY;
  }

  /** Never 0, which marks an empty entry. */
  private static long hash(String id) {
    long hash = HASH.hashChars(id);
    return hash == 0 ? 1 : hash;
  }
}
