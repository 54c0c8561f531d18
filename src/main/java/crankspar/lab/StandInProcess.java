package crankspar.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** {@code lab pg-server} as a process of its own: what it costs is not the measured side's. */
public final class StandInProcess implements AutoCloseable {
  private final Process process;
  private final InetSocketAddress address;

  public StandInProcess() throws IOException {
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "crankspar.Main",
                "lab",
                "pg-server",
                "--listen",
                "127.0.0.1:0")
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    String line =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
            .readLine();
    if (line == null) {
      throw new IOException("the stand-in did not start");
    }
    address =
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  public InetSocketAddress address() {
    return address;
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
