package crankspar.daemon;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import java.util.logging.Logger;

/**
 * Which processes of this pooler serve: each that does holds a lock on a file of its own. The
 * kernel frees the lock of one that dies, however it dies, so that a file left behind does no harm.
 */
final class InstanceLock implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(InstanceLock.class.getName());

  /** How long after a failure it is announced again (ms). */
  private static final long RETRY = 250;

  private final Path dir;
  private final String prefix;
  private Path own;
  private FileChannel channel;
  private volatile boolean closed;

  /** {@code dir} may be null: then nobody else is ever seen. */
  InstanceLock(Path dir, String name) {
    this.dir = dir;
    prefix = "crankspar-" + Integer.toHexString(name.hashCode()) + ".serves-";
  }

  /**
   * Says that this process serves; where the folder does not take that now, again and again beside
   * the loop until it does.
   */
  void announce() {
    if (dir == null || announced()) {
      return;
    }
    var again =
        new Thread(
            () -> {
              try {
                do {
                  Thread.sleep(RETRY);
                } while (!closed && !announced());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "announce");
    again.setDaemon(true);
    again.start();
  }

  private synchronized boolean announced() {
    if (closed) {
      return true;
    }
    try {
      own = dir.resolve(prefix + UUID.randomUUID());
      // Locked before it has its name, so that nobody takes it for a dead one's.
      Path beside = dir.resolve(own.getFileName() + ".new");
      channel = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      channel.lock();
      Files.move(beside, own);
      return true;
    } catch (IOException e) {
      LOG.warning("not announced, it is tried again: " + e);
      clear();
      return false;
    }
  }

  private void clear() {
    try {
      Files.deleteIfExists(dir.resolve(own.getFileName() + ".new"));
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      LOG.fine("not cleared away: " + e);
    }
    channel = null;
  }

  /** Whether another process of this pooler serves; files of dead ones are cleared away. */
  boolean another() {
    boolean found = false;
    if (dir == null) {
      return false;
    }
    try (DirectoryStream<Path> files = Files.newDirectoryStream(dir, prefix + "*")) {
      for (Path file : files) {
        if (!file.equals(own) && !file.toString().endsWith(".new")) {
          found |= heldOrUnknown(file);
        }
      }
    } catch (IOException e) {
      LOG.warning("not known whether another process serves: " + e);
    }
    return found;
  }

  /** One file that cannot be looked at says nothing of the others. */
  private static boolean heldOrUnknown(Path file) {
    try {
      return held(file);
    } catch (IOException e) {
      LOG.warning("not known whether " + file.getFileName() + " is another process's: " + e);
      return false;
    }
  }

  private static boolean held(Path file) throws IOException {
    try (FileChannel other = FileChannel.open(file, StandardOpenOption.WRITE);
        FileLock lock = other.tryLock()) {
      if (lock != null) {
        Files.deleteIfExists(file);
        return false;
      }
      return true;
    } catch (OverlappingFileLockException e) {
      return true; // held in this very process
    } catch (java.nio.file.NoSuchFileException e) {
      return false;
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    if (channel != null) {
      try {
        Files.deleteIfExists(own);
        channel.close();
      } catch (IOException e) {
        LOG.fine("close: " + e);
      }
    }
  }
}
