package crankspar.wal;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.core.Counters;
import crankspar.net.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Appends from the loop to a log on a real disk. */
class LogWriterTest {
  private static final int RECORDS = 400;
  private static final int RECORD_BYTES = 16 * 1024;
  private static final double PATIENCE_MS = 10_000;

  @TempDir Path dir;
  private final Counters counters = new Counters();

  /** A log whose compactions go on once this latch is open. */
  private RecordLog log(CountDownLatch compact) {
    return new RecordLog(
        new FolderDisk(dir),
        "log",
        () -> System.nanoTime() / 1e6,
        1000,
        records -> {
          awaitOpen(compact);
          return records.subList(Math.max(0, records.size() - 2), records.size());
        });
  }

  private static void awaitOpen(CountDownLatch latch) {
    try {
      assertThat(latch.await((long) PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Six MiB, of which the last two records are worth keeping; what waits shares a sync. */
  @Test
  void aLongLogIsCompactedBesideItsAppendsAndAcknowledgesThemTogether() throws Exception {
    aLongLogIsCompacted(new CountDownLatch(RECORDS), new CountDownLatch(0));
  }

  /** Guards against a log that stays as long as a slow compaction found it when it was done. */
  @Test
  void whatIsAppendedDuringACompactionIsCompactedByTheNextOne() throws Exception {
    var written = new CountDownLatch(RECORDS);
    aLongLogIsCompacted(written, written);
  }

  private void aLongLogIsCompacted(CountDownLatch written, CountDownLatch compact)
      throws Exception {
    var bounds = new CommitQueue.Bounds(0, 256, 1 << 20, RECORDS);
    List<LogWriter.Result> failed = new ArrayList<>();
    try (var loop = new EventLoop("test")) {
      var opened = new LogWriter[1];
      loop.runAndWait(
          () ->
              opened[0] = new LogWriter(loop, counters, "log", bounds, log(compact), others -> {}));
      try (LogWriter writer = opened[0]) {
        loop.run(
            () -> {
              for (int i = 0; i < RECORDS; i++) {
                var record = new byte[RECORD_BYTES];
                record[0] = (byte) i;
                writer.append(
                    record,
                    PATIENCE_MS,
                    result -> {
                      if (!(result instanceof LogWriter.Result.Written)) {
                        failed.add(result);
                      }
                      written.countDown();
                    });
              }
            });
        assertThat(written.await((long) PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) PATIENCE_MS);
        while (Files.size(dir.resolve("log")) > RECORDS * RECORD_BYTES / 2) {
          assertThat(System.nanoTime()).as("it is compacted").isLessThan(until);
          TimeUnit.MILLISECONDS.sleep(5);
        }
      }
    }
    assertThat(failed).isEmpty();
    assertThat(counters.get("log_writes")).as("syncs").isLessThan(RECORDS / 10);
    var records = new ArrayList<RecordLog.Logged>();
    log(compact).recover(records::add);
    var last = records.get(records.size() - 1).record();
    assertThat(last.get(last.position())).isEqualTo((byte) (RECORDS - 1));
  }
}
