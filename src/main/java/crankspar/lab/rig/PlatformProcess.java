package crankspar.lab.rig;

import crankspar.lab.PoolerProcess;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One pooler as the platform runs it: the built program as a process of its own, with its
 * configuration, its log and a folder of its own. Only this process is ever signalled, by its id;
 * it ends with the rig.
 */
public final class PlatformProcess implements AutoCloseable {
  private static final String HEAP = "-Xmx64m";
  private static final long READY_MOST = TimeUnit.SECONDS.toNanos(20);

  private final String name;
  private final InetSocketAddress listen;
  private final Path folder;
  private final boolean operated;
  private final Map<String, String> environment = new HashMap<>();
  private Path jar;
  private List<String> prefix = List.of();
  private List<String> flags = Stream.concat(PoolerProcess.JVM.stream(), Stream.of(HEAP)).toList();
  private Process process;
  private Thread hook;

  /**
   * {@code jar} may be null: then it is this very program. The configuration is written to a file
   * of its own; so is the operator's where there is one, with {@code FOLDER} standing for this
   * process's own folder.
   */
  public PlatformProcess(
      String name, InetSocketAddress listen, String configuration, String operator, Path jar)
      throws IOException {
    this.name = name;
    this.listen = listen;
    this.jar = jar;
    folder = Files.createTempDirectory("rig-" + name);
    operated = operator != null;
    if (operated) {
      Files.writeString(
          folder.resolve("operator.conf"), operator.replace("FOLDER", folder.toString()));
    }
    configure(configuration);
  }

  /** The next starts have these variables, too. */
  public void environment(Map<String, String> variables) {
    environment.putAll(variables);
  }

  /** The next starts may use this core only. */
  public void onCore(int core) {
    prefix = List.of("taskset", "-c", Integer.toString(core));
  }

  /**
   * The next starts have the runtime's limits of the deploy file. The class archive is left out: it
   * belongs to the built program.
   */
  public void deployed() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .findFirst()
            .orElseThrow();
    flags =
        Stream.of(run.split("[ \"]+"))
            .filter(
                word ->
                    word.startsWith("-X")
                        && !word.contains("Archive")
                        && !word.startsWith("-Xshare"))
            .toList();
  }

  /** The next start is of another version. */
  public void jar(Path jar) {
    this.jar = jar;
  }

  /** Its own folder: its log, what it is told, and what it keeps. */
  public Path folder() {
    return folder;
  }

  /** What it reads at its next start, or with SIGHUP. */
  public void configure(String configuration) throws IOException {
    Files.writeString(folder.resolve("config.json"), configuration);
  }

  /** Starts it, in the same folder as its earlier lives, and waits until it listens. */
  public PlatformProcess start() throws IOException, InterruptedException {
    begin();
    return awaitListening();
  }

  /** Waits until one that has begun listens. */
  public PlatformProcess awaitListening() throws IOException, InterruptedException {
    long until = System.nanoTime() + READY_MOST;
    while (!listens()) {
      if (!process.isAlive() || System.nanoTime() > until) {
        throw new IOException(name + " does not listen; its log ends with: " + lastLine());
      }
      process.waitFor(20, TimeUnit.MILLISECONDS);
    }
    return this;
  }

  /** Starts it and waits for nothing. */
  public void begin() throws IOException {
    Path tmp = Files.createDirectories(folder.resolve("tmp"));
    var command = new ArrayList<>(prefix);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(
        List.of(
            "-cp",
            jar == null ? System.getProperty("java.class.path") : jar.toString(),
            "crankspar.Main",
            "serve"));
    if (operated) {
      command.addAll(List.of("--operator", folder.resolve("operator.conf").toString()));
    }
    var builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    builder
        .environment()
        .putAll(
            Map.of(
                "BALANCER_CONFIG",
                folder.resolve("config.json").toString(),
                "TMPDIR",
                tmp.toString()));
    builder.environment().putAll(environment);
    process = builder.start();
    Process mine = process;
    Guardian.began(mine.pid());
    var unused = mine.onExit().thenRun(() -> Guardian.ended(mine.pid()));
    hook = new Thread(mine::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(hook); // Ctrl-C ends what this rig has started
  }

  /** Whether clients can connect. */
  public boolean listens() {
    try (var s = new Socket()) {
      s.connect(listen, 200);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  public InetSocketAddress address() {
    return listen;
  }

  public Path log() {
    return folder.resolve("log");
  }

  public long id() {
    return process.pid();
  }

  public boolean alive() {
    return process != null && process.isAlive();
  }

  private String lastLine() throws IOException {
    List<String> lines = Files.exists(log()) ? Files.readAllLines(log()) : List.of();
    return lines.isEmpty() ? "nothing" : lines.get(lines.size() - 1);
  }

  /** Its name and the last line of its log. */
  @Override
  public String toString() {
    try {
      return name + ": " + lastLine();
    } catch (IOException e) {
      return name + ": no log, " + e.getMessage();
    }
  }

  /** STOP, CONT, HUP, TERM or KILL; the process may be gone by then. */
  public void signal(String what) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + what, Long.toString(process.pid()))
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
  }

  /** Kills it outright. */
  public void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor();
      try {
        Runtime.getRuntime().removeShutdownHook(hook);
      } catch (IllegalStateException e) {
        // the rig itself is ending
      }
    }
  }

  /** Ends it, and leaves its folder. */
  public void end() {
    try {
      kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    try {
      kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try (var all = Files.walk(folder)) {
      for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
