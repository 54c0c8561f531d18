package crankspar.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One folder of a disk, as durable writes need it. What was written is there after a crash once it
 * was synced, and a name once its folder was; before that any part of it may be. Calls block and
 * belong on a thread of their own.
 */
public interface Disk {
  /** The ending of a file that is being written and has not got its name yet. */
  String TEMPORARY = ".tmp";

  /** An open file. */
  interface OpenFile extends Closeable {
    /** Differs between any two files that were ever open at once, whatever their names. */
    Object identity() throws IOException;

    long size() throws IOException;

    /** The bytes of a range; fewer where the file ends before. */
    byte[] read(long from, int length) throws IOException;

    void write(long at, ByteBuffer bytes) throws IOException;

    void truncate(long size) throws IOException;

    /**
     * Makes written bytes and the size durable. After a failure nothing is known of what was
     * written since the last success: it has to be written again, not only synced.
     */
    void sync() throws IOException;
  }

  /**
   * Opens a file that is there.
   *
   * @throws NoSuchFileException if there is none
   */
  OpenFile open(String name) throws IOException;

  /** A new, empty file; fails where there is one already. */
  OpenFile create(String name) throws IOException;

  /** The identity of the file that has this name now, or null where there is none. */
  Object identity(String name) throws IOException;

  /**
   * Differs between any two contents that the name has had, where whoever changes it replaces the
   * file; null where there is none.
   */
  Object version(String name) throws IOException;

  /** Atomic; durable only after {@link #syncFolder}. */
  void rename(String from, String to) throws IOException;

  void syncFolder() throws IOException;

  /** Nothing where there is none. */
  void delete(String name) throws IOException;

  /** The names that begin so. */
  List<String> list(String prefix) throws IOException;

  /**
   * Waits for the lock of this name, which one process at a time holds until it closes it or dies;
   * fails after {@code waitMost} ms.
   */
  Closeable lock(String name, long waitMost) throws IOException;

  /** The whole content of a file that is there. */
  default byte[] readAll(String name) throws IOException {
    try (OpenFile file = open(name)) {
      return file.read(0, Math.toIntExact(file.size()));
    }
  }

  /**
   * Gives the file this content, as a whole: written beside it, synced, renamed, the folder synced.
   * A crash at any step leaves the old content or the new one; so does a failure.
   */
  default void replace(String name, byte[] content) throws IOException {
    String temporary = temporary(name);
    try {
      try (OpenFile out = create(temporary)) {
        out.write(0, ByteBuffer.wrap(content));
        out.sync();
      }
      rename(temporary, name);
    } catch (IOException e) {
      discard(temporary, e);
      throw e;
    }
    syncFolder();
  }

  /** A name for what is to replace this file; no other writer has the same. */
  default String temporary(String name) {
    return name + "." + Long.toHexString(ThreadLocalRandom.current().nextLong()) + TEMPORARY;
  }

  /** Deletes what a failed write has left; a further failure is told with the first one. */
  default void discard(String temporary, IOException why) {
    try {
      delete(temporary);
    } catch (IOException e) {
      why.addSuppressed(e);
    }
  }

  /** Deletes what killed writers of this file have left; for holders of its lock. */
  default void deleteTemporaries(String name) throws IOException {
    for (String left : list(name + ".")) {
      if (left.endsWith(TEMPORARY)) {
        delete(left);
      }
    }
  }
}
