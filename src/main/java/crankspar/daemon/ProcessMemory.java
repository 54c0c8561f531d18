package crankspar.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process holds in memory, as the kernel counts it. */
final class ProcessMemory {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String PEAK = "VmHWM:";

  private ProcessMemory() {}

  /**
   * The most that was resident so far (KiB), shared libraries included; -1 where the kernel does
   * not tell.
   */
  static long peak() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith(PEAK))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(-1);
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }
}
