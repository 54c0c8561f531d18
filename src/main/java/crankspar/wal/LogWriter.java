package crankspar.wal;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Appends to a {@link RecordLog} from the loop: what waits is written together, with one sync, on a
 * thread of its own. The log is compacted in the background.
 */
public final class LogWriter implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(LogWriter.class.getName());

  /** A compaction that failed is tried again when the log has grown by this. */
  private static final long RETRY_GROWTH_BYTES = 1 << 20;

  /** How an append ended. */
  public sealed interface Result {
    /** It is on disk. */
    record Written() implements Result {}

    /** {@code attempted}: it may be on disk all the same. */
    record NotWritten(String reason, boolean attempted) implements Result {}
  }

  private record Append(ByteBuffer record, Consumer<Result> done) {}

  private final EventLoop loop;
  private final RecordLog log;
  private final Consumer<List<RecordLog.Logged>> others;
  private final CommitDriver driver;
  private final Map<Long, Append> appends = new HashMap<>();
  private volatile boolean compacting;

  /** After a compaction that failed the next one is tried once the log is longer than this. */
  private volatile long compactBeyond;

  /**
   * {@code others} hears on the loop of records that other processes have appended, before any of
   * our own that stand behind them in the log count as written.
   */
  public LogWriter(
      EventLoop loop,
      Counters counters,
      String name,
      CommitQueue.Bounds bounds,
      RecordLog log,
      Consumer<List<RecordLog.Logged>> others) {
    this.loop = loop;
    this.log = log;
    this.others = others;
    driver = new CommitDriver(loop, counters, name, bounds, new Batches());
    driver.onDisk("clearing up", log::deleteTemporaries);
  }

  /** On the loop: {@code done} hears once, within this call or later, after {@code waitMost} ms. */
  public void append(byte[] record, double waitMost, Consumer<Result> done) {
    propose(ByteBuffer.wrap(record), waitMost, done);
  }

  /** As an append of nothing: when {@code done} hears, all that others have appended is known. */
  public void look(double waitMost, Consumer<Result> done) {
    propose(null, waitMost, done);
  }

  private void propose(ByteBuffer record, double waitMost, Consumer<Result> done) {
    long id = driver.nextId();
    appends.put(id, new Append(record, done));
    driver.propose(id, waitMost, record == null ? 0 : record.remaining());
  }

  private final class Batches implements CommitDriver.Client {
    @Override
    public CommitDriver.Write prepare(List<Long> proposals) {
      List<ByteBuffer> batch =
          proposals.stream()
              .map(id -> appends.get(id).record())
              .filter(record -> record != null)
              .toList();
      return () -> {
        log.append(batch, LogWriter.this::tellOthers);
        compactIfLong();
        return () -> {};
      };
    }

    @Override
    public void committed(long proposal) {
      appends.remove(proposal).done().accept(new Result.Written());
    }

    @Override
    public void rejected(CommitQueue.Effect.Reject reject) {
      var result = new Result.NotWritten(reject.reason(), reject.attempted());
      appends.remove(reject.proposal()).done().accept(result);
    }
  }

  private void tellOthers(List<RecordLog.Logged> records) {
    if (!records.isEmpty()) {
      loop.runUrgent(() -> others.accept(records));
    }
  }

  private void compactIfLong() {
    boolean due = !compacting && log.size() > compactBeyond;
    Optional<RecordLog.Prefix> prefix = due ? log.compactable() : Optional.empty();
    if (prefix.isPresent()) {
      compacting = true;
      var thread = new Thread(() -> compact(prefix.get()), "log-compaction");
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void compact(RecordLog.Prefix prefix) {
    try {
      RecordLog.Compacted compacted = log.prepareCompaction(prefix);
      driver.onDisk("compaction", () -> finish(compacted));
    } catch (IOException | RuntimeException e) {
      LOG.log(Level.WARNING, "the log is not compacted, it is tried again: {0}", e.toString());
      failed(prefix);
    }
  }

  private void finish(RecordLog.Compacted compacted) throws IOException {
    try {
      log.finishCompaction(compacted, this::tellOthers);
    } catch (IOException | RuntimeException e) {
      failed(compacted.of());
      throw e;
    }
    compacting = false;
    compactIfLong(); // it may have grown meanwhile, and no append need follow
  }

  private void failed(RecordLog.Prefix prefix) {
    compactBeyond = prefix.upTo() + RETRY_GROWTH_BYTES;
    compacting = false;
  }

  /** Nothing is acknowledged from now on. Not on the loop. */
  @Override
  public void close() {
    driver.close();
  }
}
