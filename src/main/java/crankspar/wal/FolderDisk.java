package crankspar.wal;

import java.io.Closeable;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** A folder of the machine's file system. */
public final class FolderDisk implements Disk {
  /** Another process's lock is looked at this often (ms). */
  private static final long LOCK_POLL_MS = 1;

  private final Path folder;

  public FolderDisk(Path folder) {
    this.folder = folder;
  }

  /** The folder in which this file is. */
  public static FolderDisk of(Path file) {
    return new FolderDisk(file.toAbsolutePath().getParent());
  }

  private record Opened(FileChannel channel, Object identity) implements OpenFile {
    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public byte[] read(long from, int length) throws IOException {
      var bytes = ByteBuffer.allocate(length);
      channel.position(from);
      while (bytes.hasRemaining()) {
        if (channel.read(bytes) < 0) {
          return Arrays.copyOf(bytes.array(), bytes.position());
        }
      }
      return bytes.array();
    }

    @Override
    public void write(long at, ByteBuffer bytes) throws IOException {
      channel.position(at);
      while (bytes.hasRemaining()) {
        if (channel.write(bytes) == 0) {
          throw new IOException("the disk takes nothing");
        }
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      channel.force(false); // fdatasync: the size counts as data
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  /**
   * An open file's identity can be asked by its name only, which another file may get meanwhile.
   */
  @Override
  public OpenFile open(String name) throws IOException {
    while (true) {
      Object before = identity(name);
      OpenFile file = opened(name, StandardOpenOption.READ, StandardOpenOption.WRITE);
      if (Objects.equals(file.identity(), before)) {
        return file;
      }
      file.close();
    }
  }

  @Override
  public OpenFile create(String name) throws IOException {
    return opened(
        name, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.CREATE_NEW);
  }

  private OpenFile opened(String name, OpenOption... options) throws IOException {
    FileChannel channel = FileChannel.open(folder.resolve(name), options);
    try {
      return new Opened(channel, identity(name));
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  @Override
  public Object identity(String name) throws IOException {
    BasicFileAttributes attributes = attributes(name);
    return attributes == null ? null : attributes.fileKey();
  }

  /** A file's key may be given to a later one: its time and size tell them apart. */
  @Override
  public Object version(String name) throws IOException {
    BasicFileAttributes a = attributes(name);
    return a == null ? null : List.of(String.valueOf(a.fileKey()), a.lastModifiedTime(), a.size());
  }

  private BasicFileAttributes attributes(String name) throws IOException {
    try {
      return Files.readAttributes(folder.resolve(name), BasicFileAttributes.class);
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public List<String> list(String prefix) throws IOException {
    var names = new ArrayList<String>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        String name = file.getFileName().toString();
        if (name.startsWith(prefix)) {
          names.add(name);
        }
      }
    }
    return names;
  }

  @Override
  public Closeable lock(String name, long waitMost) throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      await(channel, name, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMost));
      return channel; // its lock ends with it
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  private static void await(FileChannel channel, String name, long until) throws IOException {
    while (!tryLock(channel)) {
      if (System.nanoTime() - until > 0) {
        throw new IOException("another process holds the lock of " + name);
      }
      try {
        Thread.sleep(LOCK_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new InterruptedIOException("interrupted while waiting for a lock");
      }
    }
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false; // held by another user in this process
    }
  }
}
