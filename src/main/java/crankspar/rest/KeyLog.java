package crankspar.rest;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import crankspar.wal.CommitQueue;
import crankspar.wal.FolderDisk;
import crankspar.wal.LogWriter;
import crankspar.wal.LogWriter.Result;
import crankspar.wal.RecordLog;
import crankspar.wal.RecordLog.Logged;
import crankspar.wal.Recovery;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The idempotency keys of this process, and the log that keeps them for the next one and for
 * another that serves beside it. Without a folder they are in memory only. On the loop.
 */
public final class KeyLog implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(KeyLog.class.getName());

  /** A key is kept for an hour (ms): far longer than any client asks again. */
  static final double KEEP_MS = 3_600_000;

  /** What all keys weigh in memory, and about what the log holds of them (bytes). */
  static final int KEYS_BYTES_MOST = 8 << 20;

  private static final CommitQueue.Bounds BOUNDS = new CommitQueue.Bounds(0, 256, 1 << 20, 4096);

  private final IdempotencyKeys keys;
  private final long writer;
  private LogWriter log;

  /** How far the keys' time is ahead of the loop's clock (ms). */
  private double ahead;

  /** A log that is damaged refuses new keys until then (ms of the keys' time). */
  private double damagedUntil = Double.NEGATIVE_INFINITY;

  private KeyLog(long writer) {
    this.writer = writer;
    keys = new IdempotencyKeys(KEYS_BYTES_MOST, KEEP_MS, writer);
  }

  /** Keys that are lost with this process. */
  public static KeyLog inMemory() {
    return new KeyLog(0);
  }

  /**
   * Recovers the keys of earlier processes, and of one that serves now; neither on the loop nor
   * before it runs. Fails where they cannot be read.
   */
  public static KeyLog open(EventLoop loop, Counters counters, Path file)
      throws IOException, InterruptedException {
    var keyLog = new KeyLog(ThreadLocalRandom.current().nextLong());
    var log =
        new RecordLog(
            FolderDisk.of(file),
            file.getFileName().toString(),
            () -> System.nanoTime() / 1e6,
            KEEP_MS,
            records -> LiveKeys.of(records, KEEP_MS));
    Recovery.of(
        "the log of idempotency keys",
        () -> loop.run(() -> counters.add("key_log_read_failures")),
        () -> {
          log.recover(logged -> keyLog.apply(logged, logged.time()));
          return log;
        });
    loop.runAndWait(() -> keyLog.start(loop, counters, log, file));
    return keyLog;
  }

  private void start(EventLoop loop, Counters counters, RecordLog recovered, Path file) {
    ahead = recovered.lastTime() - loop.now();
    if (recovered.isDamaged()) {
      damagedUntil = recovered.unreadableUntil() + KEEP_MS;
      counters.add("key_log_damaged");
      LOG.severe(
          recovered.unreadable()
              + " bytes of the log of idempotency keys cannot be read: new keys are refused for"
              + " an hour, as a lost one might run again. To take the risk, move "
              + file
              + " away and restart");
    }
    log =
        new LogWriter(
            loop, counters, "key-log", BOUNDS, recovered, records -> heard(records, loop.now()));
  }

  private void heard(List<Logged> records, double now) {
    records.forEach(logged -> apply(logged, time(now)));
  }

  private void apply(Logged logged, double since) {
    Optional<KeyRecord> record = KeyRecord.decode(logged.record());
    record.ifPresent(r -> keys.apply(r, since));
  }

  IdempotencyKeys keys() {
    return keys;
  }

  /** The keys' time at this time of the loop's clock: it goes on where the log's stood. */
  double time(double now) {
    return now + ahead;
  }

  /** Whether keys may have been lost that are not too old yet. */
  boolean damaged(double now) {
    return time(now) < damagedUntil;
  }

  /** {@code done} hears once, within this call or later: when it is logged, or will not be. */
  void begun(String key, KeyDigest digest, double waitMost, Consumer<Result> done) {
    append(new KeyRecord.Begun(key, writer, digest), waitMost, done);
  }

  void answered(String key, byte[] response, Consumer<Result> done) {
    append(new KeyRecord.Answered(key, writer, response), CommitQueue.UNTIL_WRITTEN, done);
  }

  void released(String key, Consumer<Result> done) {
    append(new KeyRecord.Released(key, writer), CommitQueue.UNTIL_WRITTEN, done);
  }

  private void append(KeyRecord record, double waitMost, Consumer<Result> done) {
    if (log == null) {
      done.accept(new Result.Written());
    } else {
      log.append(record.encode(), waitMost, done);
    }
  }

  /** When {@code done} hears, the keys are as the log has them. */
  void look(double waitMost, Consumer<Result> done) {
    if (log == null) {
      done.accept(new Result.Written());
    } else {
      log.look(waitMost, done);
    }
  }

  /** Nothing is logged from now on. Not on the loop. */
  @Override
  public void close() {
    if (log != null) {
      log.close();
    }
  }
}
