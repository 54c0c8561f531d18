package crankspar.net;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/**
 * The bytes that peers make this process hold, counted against one limit for all of them. Each
 * connection has a {@link Share}. Where the limit is reached, who asks for more is refused if it
 * holds more than a fair part; otherwise the connection that holds most, the newest of these, gives
 * its share up. So peers that hold little are served while others fill the memory. Confined to the
 * event loop; O(1), and O(connections) where somebody has to give way.
 */
public final class MemoryBudget {
  /** What bytes are held for. */
  public enum Use {
    /** Received, and not passed on or answered yet. */
    INPUT,
    /** Requests in flight. */
    REQUEST,
    /** State of a client's session: options, names and prepared statements. */
    SESSION,
    /** Answers that a client has not read. */
    ANSWER,
    /** Parts of databases' answers. */
    SERVER
  }

  /** Whose bytes are counted. */
  public interface Holder {
    /** Gives up all that it holds, and tells its peer where that is possible. */
    void shed();
  }

  /** The limit's share of the heap: a collection, and what is not counted, need the rest. */
  private static final double HEAP_SHARE = 0.25;

  /** The limit's share of the process's memory: two processes share that in an upgrade. */
  private static final double MEMORY_SHARE = 0.05;

  /** A holder of at most this part of the limit is not refused while another one holds more. */
  private static final int FAIR_PARTS = 64;

  /** Shares of the limit at which memory is reported short, and sufficient again. */
  private static final double SHORT_SHARE = 0.75;

  private static final double SUFFICIENT_SHARE = 0.5;

  private static final long MIB = 1L << 20;
  private static final Logger LOG = Logger.getLogger(MemoryBudget.class.getName());

  private final Map<Use, Long> held = new EnumMap<>(Use.class);
  private final Set<Share> shares = new LinkedHashSet<>();
  private long limit = (long) (HEAP_SHARE * Runtime.getRuntime().maxMemory());
  private long total;
  private long refusals;
  private long sheds;
  private boolean isShort;

  /** Bounds it by the memory that the platform allows this process (MiB), too. */
  public void limitMemory(double memoryMb) {
    limit = Math.min(limit, (long) (MEMORY_SHARE * memoryMb * MIB));
  }

  /** Opens an empty share. */
  public Share open(Holder holder) {
    var share = new Share(holder);
    shares.add(share);
    return share;
  }

  /** The limit (bytes). */
  public long limit() {
    return limit;
  }

  /** Bytes that are held. */
  public long total() {
    return total;
  }

  /** Bytes that are held for this use. */
  public long held(Use use) {
    return held.getOrDefault(use, 0L);
  }

  /** How often a holder was refused more. */
  public long refusals() {
    return refusals;
  }

  /** How often a holder gave its share up for another one. */
  public long sheds() {
    return sheds;
  }

  private void count(Use use, long bytes) {
    total += bytes;
    held.merge(use, bytes, Long::sum);
    if (total > SHORT_SHARE * limit && !isShort) {
      isShort = true;
      LOG.warning("memory for peers is short: " + this);
    } else if (total < SUFFICIENT_SHARE * limit && isShort) {
      isShort = false;
      LOG.info("memory for peers is sufficient again: " + this);
    }
  }

  private boolean makeRoom(Share asking, long more) {
    while (total + more > limit) {
      Share heaviest = asking.total + more > limit / FAIR_PARTS ? asking : heaviest(asking);
      if (heaviest == asking) {
        refusals++;
        return false;
      }
      sheds++;
      heaviest.giveUp();
    }
    return true;
  }

  private Share heaviest(Share asking) {
    Share heaviest = asking;
    for (Share share : shares) {
      if (share.total >= heaviest.total && share.total > 0) {
        heaviest = share;
      }
    }
    return heaviest;
  }

  @Override
  public String toString() {
    return total
        + " of "
        + limit
        + " bytes "
        + held
        + ", "
        + refusals
        + " refusals, "
        + sheds
        + " shed";
  }

  /** What one holder holds. */
  public final class Share implements AutoCloseable {
    private final Holder holder;
    private final EnumMap<Use, Long> bytes = new EnumMap<>(Use.class);
    private long total;
    private boolean closed;

    private Share(Holder holder) {
      this.holder = holder;
    }

    /**
     * Sets how much is held for a use; nothing once the share is closed.
     *
     * @return false if there is no room for more: nothing is changed then, and the holder has to
     *     give up what it was about to hold
     */
    public boolean set(Use use, long now) {
      long more = now - bytes.getOrDefault(use, 0L);
      if (closed || more == 0) {
        return true;
      }
      if (more > 0 && !makeRoom(this, more)) {
        return false;
      }
      change(use, more);
      return true;
    }

    /** Sets how much is held for a use, where it is held already and cannot be given up. */
    public void force(Use use, long now) {
      if (!closed) {
        change(use, now - bytes.getOrDefault(use, 0L));
      }
    }

    private void change(Use use, long more) {
      bytes.merge(use, more, Long::sum);
      total += more;
      count(use, more);
    }

    private void giveUp() {
      holder.shed();
      close();
    }

    /** Gives the share back. */
    @Override
    public void close() {
      if (closed) {
        return;
      }
      bytes.forEach((use, held) -> count(use, -held));
      total = 0;
      closed = true;
      shares.remove(this);
    }
  }
}
