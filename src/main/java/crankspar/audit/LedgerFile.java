package crankspar.audit;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The ledger's file, written behind the loop by one thread. A start never writes over what an
 * earlier life has left: that is set aside under its time, and what of it cannot be read is named
 * in one line. A disk that is full or read-only stops the file, not the pooler: it is logged once,
 * and counted, and the file is written anew from what is in memory once the disk takes it.
 *
 * <p>Bounds: {@link #WAITING} batches on their way, further ones are dropped and told; a file of
 * {@link #BYTES_MOST}, then it is written anew from what is in memory; {@link #LIVES} earlier
 * lives.
 */
public final class LedgerFile implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(LedgerFile.class.getName());
  private static final String NAME = "ledger";
  private static final String SUFFIX = ".log";
  private static final int WAITING = 64;
  static final long BYTES_MOST = 8 << 20;
  static final int LIVES = 8;
  private static final long END_MOST = 2000;
  private static final long POLL_MS = 50;

  /** {@code whole} batches replace the file. */
  private record Batch(byte[] bytes, boolean whole) {}

  private final Path file;
  private final BlockingQueue<Batch> waiting = new ArrayBlockingQueue<>(WAITING);
  private final Thread thread;
  private final Consumer<String> failed;
  private volatile boolean over;

  /** A write has failed and no whole one has succeeded since. */
  private volatile boolean broken;

  /** Of the writing thread; null before the first write. */
  private FileChannel out;

  private volatile long size;

  /**
   * Sets aside what an earlier life left; {@code failed} hears, on the writing thread, of what
   * could not be written.
   */
  public LedgerFile(Path folder, double now, byte[] head, Consumer<String> failed)
      throws IOException {
    Files.createDirectories(folder);
    file = folder.resolve(NAME + SUFFIX);
    this.failed = failed;
    setAside(folder, now);
    thread = new Thread(this::write, "ledger");
    thread.setDaemon(true);
    waiting.add(new Batch(head, true));
    thread.start();
  }

  private void setAside(Path folder, double now) throws IOException {
    if (Files.exists(file)) {
      String said = null;
      try {
        LedgerCodec.Read r = LedgerCodec.read(Files.readAllBytes(file));
        said = r.torn() > 0 ? "its last " + r.torn() + " bytes are torn" : null;
      } catch (LedgerCodec.Foreign e) {
        said = e.getMessage();
      }
      Path aside = folder.resolve(NAME + "-" + (long) now + SUFFIX);
      Files.move(file, aside, StandardCopyOption.ATOMIC_MOVE);
      if (said != null) {
        LOG.warning("the ledger " + file + " is set aside as " + aside.getFileName() + ": " + said);
      }
    }
    List<Path> lives = lives(folder);
    for (Path old : lives.subList(0, Math.max(0, lives.size() - LIVES))) {
      Files.deleteIfExists(old);
    }
  }

  /** The ledgers of a folder, the earliest life first, the present one last. */
  public static List<Path> lives(Path folder) throws IOException {
    try (var all = Files.list(folder)) {
      var found =
          new ArrayList<>(
              all.filter(p -> p.getFileName().toString().matches(NAME + "(-[0-9]+)?\\.log"))
                  .toList());
      found.sort(
          Comparator.comparing((Path p) -> p.getFileName().toString().equals(NAME + SUFFIX))
              .thenComparing(p -> p.getFileName().toString()));
      return found;
    }
  }

  /** Whether it wants to be written anew: past {@link #BYTES_MOST}, or after a failed write. */
  public boolean full() {
    return broken || size > BYTES_MOST;
  }

  /**
   * Adds, or replaces all with, these bytes; false where there was no room on the way, or where
   * only a whole write is of use.
   */
  public boolean write(byte[] bytes, boolean whole) {
    size = whole ? bytes.length : size + bytes.length;
    return (whole || !broken) && waiting.offer(new Batch(bytes, whole));
  }

  private void write() {
    try {
      while (!over || !waiting.isEmpty()) {
        Batch batch = waiting.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (batch != null) {
          tryToWrite(batch);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeQuietly();
    }
  }

  private void tryToWrite(Batch batch) {
    try {
      if (batch.whole()) {
        replace(batch.bytes());
        broken = false;
      } else if (!broken) {
        all(out, batch.bytes());
      }
    } catch (IOException e) {
      writeFailed(e);
    }
  }

  /** The old file is whole until the new one is. */
  private void replace(byte[] content) throws IOException {
    closeQuietly();
    Path next = file.resolveSibling(NAME + ".new");
    out =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    all(out, content);
    out.force(false);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * What the file holds behind a failed write is not known: nothing is added to it, and all that is
   * in memory replaces it once the disk takes that.
   */
  private void writeFailed(IOException why) {
    if (!broken) {
      failed.accept(why.toString());
    }
    broken = true;
    waiting.clear();
  }

  private void closeQuietly() {
    try {
      if (out != null) {
        out.close();
      }
    } catch (IOException e) {
      LOG.fine("close of the ledger: " + e);
    }
  }

  private static void all(FileChannel out, byte[] bytes) throws IOException {
    var b = ByteBuffer.wrap(bytes);
    while (b.hasRemaining()) {
      out.write(b);
    }
  }

  /** Writes what waits, within a bound. */
  @Override
  public void close() {
    over = true;
    try {
      thread.join(END_MOST);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
