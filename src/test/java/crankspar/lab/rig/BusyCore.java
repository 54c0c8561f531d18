package crankspar.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Processes that keep one core busy; each ends by itself after a while, whatever becomes of us. */
final class BusyCore implements AutoCloseable {
  private static final int LIVES_SECONDS = 180;

  private final List<Process> processes = new ArrayList<>();

  BusyCore(int core, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      processes.add(
          new ProcessBuilder(
                  "taskset",
                  "-c",
                  Integer.toString(core),
                  "timeout",
                  Integer.toString(LIVES_SECONDS),
                  "sh",
                  "-c",
                  "while :; do :; done")
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .start());
    }
  }

  /** The last core that this process may use. */
  static int last() throws IOException {
    String allowed =
        java.nio.file.Files.readAllLines(java.nio.file.Path.of("/proc/self/status")).stream()
            .filter(line -> line.startsWith("Cpus_allowed_list:"))
            .findFirst()
            .orElseThrow();
    return Integer.parseInt(allowed.replaceAll(".*\\D(\\d+)$", "$1"));
  }

  @Override
  public void close() {
    processes.forEach(Process::destroy);
  }
}
