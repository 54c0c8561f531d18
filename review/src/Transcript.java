import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each with the milliseconds since the start. */
final class Transcript implements AutoCloseable {
  private final long began = System.nanoTime();
  private final PrintStream out;

  Transcript(Path file) throws IOException {
    out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
  }

  synchronized void add(String who, String what) {
    out.printf("%7d ms  %-12s %s%n", (System.nanoTime() - began) / 1_000_000, who, what);
  }

  @Override
  public void close() {
    out.close();
  }
}
