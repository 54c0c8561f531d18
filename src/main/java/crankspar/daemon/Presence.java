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
 * Which processes of this pooler serve: each that does holds a lock on a file of its own. The kernel frees
 * the lock of one that dies, however it dies, so that a file left behind does no harm.
 */
final class Presence implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Presence.class.getName());

    private final Path dir;
    private final String prefix;
    private Path own;
    private FileChannel channel;

    /** {@code dir} may be null: then nobody else is ever seen. */
    Presence(Path dir, String name) {
        this.dir = dir;
        prefix = "crankspar-" + Integer.toHexString(name.hashCode()) + ".serves-";
    }

    /** Says that this process serves. */
    void announce() {
        if (dir == null) {
            return;
        }
        try {
            own = dir.resolve(prefix + UUID.randomUUID());
            // Locked before it has its name, so that nobody takes it for a dead one's.
            Path beside = dir.resolve(own.getFileName() + ".new");
            channel = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.lock();
            Files.move(beside, own);
        } catch (IOException e) {
            LOG.warning("not announced: " + e);
        }
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
                    found |= held(file);
                }
            }
        } catch (IOException e) {
            LOG.warning("not known whether another process serves: " + e);
        }
        return found;
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
            return true;                      // held in this very process
        } catch (java.nio.file.NoSuchFileException e) {
            return false;
        }
    }

    @Override public void close() {
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
