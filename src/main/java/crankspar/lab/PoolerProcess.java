package crankspar.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The built pooler as a process of its own, under the limits that the deployment gives it. */
public final class PoolerProcess implements AutoCloseable {
  /** What every pooler of the lab's runs with, as the deployment has it. */
  public static final List<String> JVM =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss384k", "-XX:-UsePerfData");

  private final Process process;
  private final BufferedReader out;
  private final InetSocketAddress pooling;
  private final Path file;

  /** Serves what the operator's file says; a line on its standard input asks it for figures. */
  PoolerProcess(String operator, String... jvm) throws IOException {
    this(operator, (Path) null, jvm);
  }

  /** Of another jar, where one is named: an earlier version, say. */
  public PoolerProcess(String operator, Path jar, String... jvm) throws IOException {
    file = Files.createTempFile("pooler", ".conf");
    Files.writeString(file, operator);
    var command = new ArrayList<String>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM);
    command.addAll(List.of(jvm));
    command.addAll(
        List.of(
            "-cp",
            jar == null ? System.getProperty("java.class.path") : jar.toString(),
            "crankspar.Main",
            "lab",
            "host",
            file.toString()));
    process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(new File("/dev/null")))
            .start();
    out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String[] told = line().split(" ");
    pooling = new InetSocketAddress("127.0.0.1", Integer.parseInt(told[1]));
  }

  public InetSocketAddress pooling() {
    return pooling;
  }

  private String line() throws IOException {
    String line = out.readLine();
    if (line == null) {
      throw new IOException("the pooler has ended");
    }
    return line;
  }

  /** Bytes of heap in use after a collection. */
  long heap() throws IOException {
    return asked("heap");
  }

  /** Bytes allocated since its start. */
  long allocated() throws IOException {
    return asked("allocated");
  }

  /** Processor time since its start (microseconds). */
  long cpuMicros() throws IOException {
    return asked("cpu");
  }

  private long asked(String what) throws IOException {
    process.getOutputStream().write((what + "\n").getBytes(StandardCharsets.US_ASCII));
    process.getOutputStream().flush();
    return Long.parseLong(line());
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Files.deleteIfExists(file);
  }
}
