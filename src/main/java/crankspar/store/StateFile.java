package crankspar.store;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * A small file of entries that outlives the process. Every update replaces it as a whole: written
 * beside it, synced, renamed, the folder synced. A crash at any step leaves the old content or the
 * new one; a failed step leaves no claim about which, and the next update starts from the
 * beginning. Processes that share the file update it one at a time, under a lock that the kernel
 * frees when its holder dies. The content carries a checksum (CRC-32C); earlier releases wrote none
 * and read past it.
 *
 * <p>Calls block on the disk and belong on a thread of their own. Not thread-safe.
 */
final class StateFile {
  private static final Logger LOG = Logger.getLogger(StateFile.class.getName());
  private static final String TEMPORARY = ".tmp";
  private static final String LOCK = ".lock";

  /** How long an update waits for another process's (ms). */
  private static final long LOCK_MOST = 400;

  private static final long LOCK_POLL = 1;

  /** The content is not what was written: nothing of it can be trusted. */
  static final class Corrupt extends IOException {
    private static final long serialVersionUID = 1;

    Corrupt(String message) {
      super(message);
    }
  }

  private final Path file;

  /** What the file was when it was last read or written here; null where that is not known. */
  private Object seen;

  StateFile(Path file) {
    this.file = file;
  }

  /** The entries; none where there is no file yet. */
  List<Store.Entry> read() throws IOException {
    try {
      Object version = version();
      List<Store.Entry> entries = StoreJson.readState(Files.readAllBytes(file));
      seen = version;
      return entries;
    } catch (NoSuchFileException e) {
      seen = null;
      return List.of();
    }
  }

  /**
   * The entries if another process has replaced the file since it was last read or written here,
   * else null.
   */
  List<Store.Entry> readIfChanged() throws IOException {
    try {
      return version().equals(seen) ? null : read();
    } catch (NoSuchFileException e) {
      return null; // nothing was written yet
    }
  }

  /** Each replacement is another file: its key tells even two within a tick of the clock. */
  private Object version() throws IOException {
    var attributes = Files.readAttributes(file, BasicFileAttributes.class);
    return List.of(
        String.valueOf(attributes.fileKey()), attributes.lastModifiedTime(), attributes.size());
  }

  /**
   * Replaces the entries by what {@code change} makes of them, and returns that; when this returns
   * it is on disk. A file that is corrupt is moved aside and counts as empty.
   */
  List<Store.Entry> update(UnaryOperator<List<Store.Entry>> change) throws IOException {
    try (FileChannel channel =
            FileChannel.open(sibling(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = lock(channel)) {
      List<Store.Entry> updated = change.apply(readOrMoveAside());
      replace(StoreJson.writeState(updated));
      seen = version();
      return updated;
    }
  }

  /** Removes what writers that were killed have left beside the file. */
  void removeTemporaryFiles() throws IOException {
    try (FileChannel channel =
            FileChannel.open(sibling(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = lock(channel);
        DirectoryStream<Path> left =
            Files.newDirectoryStream(folder(), file.getFileName() + ".*" + TEMPORARY)) {
      for (Path temporary : left) {
        Files.deleteIfExists(temporary);
      }
    }
  }

  private List<Store.Entry> readOrMoveAside() throws IOException {
    try {
      return read();
    } catch (Corrupt e) {
      moveAside(e);
      return List.of();
    }
  }

  /** Keeps a corrupt file for who wants to look at it. */
  void moveAside(Corrupt why) throws IOException {
    Path aside = sibling(".corrupt-" + Long.toHexString(ThreadLocalRandom.current().nextLong()));
    LOG.severe(
        file.getFileName()
            + " is corrupt ("
            + why.getMessage()
            + ") and is moved to "
            + aside.getFileName());
    Files.move(file, aside, StandardCopyOption.ATOMIC_MOVE);
  }

  private void replace(byte[] content) throws IOException {
    Path temporary =
        sibling("." + Long.toHexString(ThreadLocalRandom.current().nextLong()) + TEMPORARY);
    try {
      try (FileChannel out =
          FileChannel.open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
        writeAll(out, ByteBuffer.wrap(content));
        out.force(true);
      }
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      deleteQuietly(temporary);
      throw e;
    }
    try (FileChannel folder = FileChannel.open(folder(), StandardOpenOption.READ)) {
      folder.force(true); // the rename itself
    }
  }

  private static void writeAll(FileChannel out, ByteBuffer content) throws IOException {
    while (content.hasRemaining()) {
      if (out.write(content) == 0) {
        throw new IOException("the disk takes nothing");
      }
    }
  }

  private static void deleteQuietly(Path temporary) {
    try {
      Files.deleteIfExists(temporary);
    } catch (IOException e) {
      LOG.fine("left behind: " + temporary + ": " + e);
    }
  }

  private FileLock lock(FileChannel channel) throws IOException {
    long began = System.nanoTime();
    while (true) {
      try {
        FileLock lock = channel.tryLock();
        if (lock != null) {
          return lock;
        }
      } catch (OverlappingFileLockException e) {
        // held by another user in this process, which frees it as soon
      }
      if (System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(LOCK_MOST)) {
        throw new IOException("another process holds the lock of " + file.getFileName());
      }
      pause();
    }
  }

  private static void pause() throws InterruptedIOException {
    try {
      Thread.sleep(LOCK_POLL);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while waiting for a lock");
    }
  }

  private Path sibling(String suffix) {
    return file.resolveSibling(file.getFileName() + suffix);
  }

  private Path folder() {
    return file.toAbsolutePath().getParent();
  }
}
