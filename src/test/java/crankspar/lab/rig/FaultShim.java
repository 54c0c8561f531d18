package crankspar.lab.rig;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The faults of {@code src/test/native/faults.c} for one process: set here, they take effect at its
 * next call.
 */
final class FaultShim {
  /** What can be set, in the order of the library's slots. Errors are numbers of errno. */
  enum Slot {
    OPEN_ERRNO,
    READ_ERRNO,
    WRITE_ERRNO,
    SYNC_ERRNO,
    RENAME_ERRNO,
    HALF_WRITE,
    KILL_AT,
    STEPS,
    CLOCK_MS,
    ACCEPT_ERRNO,
    ACCEPT_COUNT,
    CONNECT_ERRNO,
    CONNECT_COUNT,
    SOCKET_ERRNO,
    SOCKET_COUNT,
    SYNC_DELAY_MS,
    INJECTED
  }

  static final int EINTR = 4;
  static final int EIO = 5;
  static final int ENFILE = 23;
  static final int EMFILE = 24;
  static final int ENOSPC = 28;
  static final int EADDRNOTAVAIL = 99;
  static final int ENETUNREACH = 101;
  static final int ECONNABORTED = 103;
  static final int ENOBUFS = 105;
  static final int ETIMEDOUT = 110;
  static final int EHOSTUNREACH = 113;

  private static Path library;

  private final Path file;
  private final Path folder;
  private final LongBuffer slots;

  /** {@code folder} is where the disk's faults apply. */
  FaultShim(Path file, Path folder) throws IOException {
    this.file = file;
    this.folder = folder;
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      slots =
          channel
              .map(FileChannel.MapMode.READ_WRITE, 0, Slot.values().length * (long) Long.BYTES)
              .order(ByteOrder.nativeOrder())
              .asLongBuffer();
    }
  }

  /** What the process has to have in its environment. */
  Map<String, String> environment() throws IOException, InterruptedException {
    return Map.of(
        "LD_PRELOAD",
        library().toString(),
        "FAULTS_FILE",
        file.toString(),
        "FAULTS_FOLDER",
        folder.toString());
  }

  /** Compiled once for all tests of a run. */
  private static synchronized Path library() throws IOException, InterruptedException {
    if (library == null) {
      Path made = Files.createTempFile(Path.of("target"), "faults", ".so").toAbsolutePath();
      Process compiler =
          new ProcessBuilder(
                  "gcc",
                  "-shared",
                  "-fPIC",
                  "-O1",
                  "-Wall",
                  "-Werror",
                  "-o",
                  made.toString(),
                  "src/test/native/faults.c",
                  "-ldl")
              .inheritIO()
              .start();
      if (!compiler.waitFor(60, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
        throw new IOException("the fault library does not compile");
      }
      library =
          Files.move(
              made, made.resolveSibling("libfaults.so"), StandardCopyOption.REPLACE_EXISTING);
    }
    return library;
  }

  void set(Slot slot, long value) {
    slots.put(slot.ordinal(), value);
  }

  long get(Slot slot) {
    return slots.get(slot.ordinal());
  }

  /**
   * The process dies at the so-many-th step of its work on the folder from now on; nought: it does
   * not.
   */
  void killAtStep(int step) {
    set(Slot.STEPS, 0);
    set(Slot.KILL_AT, step);
  }

  /** So many of the next calls fail. */
  void failNext(Slot error, Slot count, int errno, int calls) {
    set(error, errno);
    set(count, calls);
  }

  void clear() {
    for (Slot slot : Slot.values()) {
      set(slot, 0);
    }
  }
}
