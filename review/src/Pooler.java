import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The project's daemon as a process of its own, started with {@code run} of the deploy file. */
final class Pooler implements AutoCloseable {
  private static final long READY_MOST_MS = 30_000;

  private final Process process;
  private final Path folder;
  private final Transcript transcript;

  /**
   * @param root the repository, where the deploy file's commands start
   * @param arguments what follows the command; empty for the platform's front
   * @param folder this process's own, removed at its end
   */
  Pooler(
      Path root,
      Path folder,
      Map<String, String> environment,
      String arguments,
      Transcript transcript)
      throws IOException {
    this.folder = folder;
    this.transcript = transcript;
    String command = run(root) + (arguments.isEmpty() ? "" : " " + arguments);
    var builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("pooler.log").toFile());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    transcript.add("pooler", "started: " + command);
  }

  /** The command as the deploy file has it. */
  private static String run(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("no run in deploy/balancer.toml");
  }

  static Path folder() throws IOException {
    return Files.createTempDirectory("review");
  }

  static int freePort() throws IOException {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Waits until it takes connections. */
  void awaitListening(int port) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MOST_MS);
    while (System.nanoTime() < end && process.isAlive()) {
      try {
        new Socket(InetAddress.getLoopbackAddress(), port).close();
        transcript.add("pooler", "listens at port " + port);
        return;
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    String log = Files.readString(folder.resolve("pooler.log"));
    throw new IOException("the pooler is not ready: " + log);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  /** The first line of its log that says this, or nothing. */
  String logged(String what) throws IOException {
    var lines = Files.readAllLines(folder.resolve("pooler.log"));
    return lines.stream().filter(line -> line.contains(what)).findFirst().orElse("");
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
