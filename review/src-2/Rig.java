import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, processes and their end, free ports, a temporary folder. */
final class Rig implements AutoCloseable {
  /** A case: true if the rule held. */
  interface Case {
    boolean play(Rig rig) throws Exception;
  }

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  private static final long READY_MOST_MS = 30_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Path root = Path.of("").toAbsolutePath();
  final Path temporary;
  private final PrintWriter record;
  private final long began = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();

  private Rig(Path folder) throws IOException {
    this.folder = folder;
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    temporary = Files.createTempDirectory("review-");
  }

  /** Plays a case and ends with its exit code. */
  static void main(String[] args, Case played) {
    int code = NOT_RUN;
    try (var rig = new Rig(Path.of(args[0]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(rig::cleanUp));
      rig.note("trouble: " + (rig.trouble ? "yes" : "no"));
      try {
        code = played.play(rig) ? HELD : BROKEN;
        rig.note(code == HELD ? "the rule held" : "the rule was broken");
      } catch (Exception e) {
        rig.note("the case could not run: " + e);
        for (StackTraceElement at : e.getStackTrace()) {
          rig.note("    at " + at);
        }
      }
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
    }
    System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
    Runtime.getRuntime().exit(code);
  }

  /** One line of the record, with the time since the start. */
  synchronized void note(String what) {
    double ms = (System.nanoTime() - began) / 1e6;
    record.println(String.format(Locale.ROOT, "%9.1f %s", ms, what));
  }

  static int freePort() throws IOException {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** The deploy file's command to run a pooler. */
  private String runCommand() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no run");
    }
    return run.group(1);
  }

  /** Starts a pooler with the deploy file's command; its output goes to the temporary folder. */
  Process pooler(String name, String arguments, Map<String, String> variables) throws IOException {
    var builder = new ProcessBuilder("/bin/sh", "-c", runCommand() + " " + arguments);
    builder.environment().keySet().removeIf(key -> key.startsWith("BALANCER_"));
    builder.environment().putAll(variables);
    Path own = Files.createDirectories(temporary.resolve(name));
    builder.environment().put("TMPDIR", own.toString());
    return start(name, builder);
  }

  /** Starts one of the review's own stand-ins. */
  Process standIn(String name, String mainClass, String... arguments) throws IOException {
    var command = new ArrayList<String>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx256m", "-cp", "target/review-2", mainClass));
    command.addAll(List.of(arguments));
    return start(name, new ProcessBuilder(command));
  }

  private Process start(String name, ProcessBuilder builder) throws IOException {
    Path log = log(name);
    builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    processes.add(process);
    note("started " + name + ", process " + process.pid());
    return process;
  }

  Path log(String name) {
    return temporary.resolve(name + ".log");
  }

  /** Copies the last lines of a process's output into the record. */
  void noteLog(String name, int lines) throws IOException {
    List<String> all = Files.readAllLines(log(name));
    all.subList(Math.max(0, all.size() - lines), all.size())
        .forEach(line -> note(name + ": " + line));
  }

  /** Waits until a process has written a line with this text. */
  void await(String name, Process process, String text) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MOST_MS);
    while (System.nanoTime() < until) {
      if (Files.readString(log(name)).contains(text)) {
        return;
      }
      if (!process.isAlive()) {
        break;
      }
      Thread.sleep(20);
    }
    noteLog(name, 20);
    throw new IOException(name + " did not say: " + text);
  }

  /** The settings that the project ships for a deployment, as text of an operator's file. */
  String settings() throws IOException {
    return Files.readString(root.resolve("deploy/settings.conf"));
  }

  /** Writes an operator's file and returns the arguments that name it. */
  String operatorFile(String text) throws IOException {
    Path file = temporary.resolve("operator.conf");
    Files.writeString(file, settings() + "\n" + text);
    return "--operator " + file;
  }

  private void endProcesses() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Ends all processes and removes the temporary folder; also where this process is told to end. */
  private void cleanUp() {
    endProcesses();
    if (!Files.exists(temporary)) {
      return;
    }
    try (var all = Files.walk(temporary)) {
      all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException | UncheckedIOException e) {
      System.err.println("the temporary folder is left: " + e);
    }
  }

  @Override
  public void close() {
    cleanUp();
    note("all processes have ended");
    record.close();
  }
}
