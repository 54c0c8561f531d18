package crankspar.lab;

import crankspar.config.Operator;
import crankspar.daemon.Daemon;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What an idempotency key on disk costs: the same writes and reads at a pooler that keeps its keys
 * in memory and at one that logs them in a folder, in turns within one run; and what a full log
 * adds to a start.
 */
final class KeysBench {
  private static final int ROUNDS = 9;
  private static final int WRITES = 400;
  private static final List<Integer> CLIENTS = List.of(1, 8, 32);
  private static final Pattern SYNCS = Pattern.compile("\"key_log_writes\":(\\d+)");

  /** The goals of the page, for who reads the figures; a miss is told, not an error. */
  private static final double SYNCS_GOAL = 1.5;

  private final Path folder;
  private final Promises figures = new Promises();
  private int keys;

  KeysBench(Path folder) throws IOException {
    this.folder = Files.createTempDirectory(folder, "keys-bench");
  }

  /** A pooler before the stand-in; {@code shared} is its folder, or null. */
  private Daemon pooler(RestStandIn server, Path shared) throws Exception {
    String member =
        "{id = m, host_port = \"127.0.0.1:%d\", locality = east, flavor = m, cell = 1, phase = up, size = 1.0, up_since_ms = 0, role = primary}"
            .formatted(server.address().getPort());
    String text =
        "name = bench\nrest { listen = \"127.0.0.1:0\", members { revision = 1, complete = true, members = [%s] } }\n%s"
            .formatted(member, LabSettings.text(1));
    Path file = Files.writeString(folder.resolve("operator.conf"), text);
    return new Daemon(null, Operator.read(file), shared);
  }

  int run() throws Exception {
    Path logged = Files.createDirectory(folder.resolve("logged"));
    try (var server = new RestStandIn();
        Daemon memory = pooler(server, null);
        Daemon disk = pooler(server, logged)) {
      await(memory.restAddress());
      await(disk.restAddress());
      for (int clients : CLIENTS) {
        compare(memory.restAddress(), disk.restAddress(), clients);
      }
    }
    starts();
    deleteAll();
    return figures.tell();
  }

  private void compare(InetSocketAddress memory, InetSocketAddress disk, int clients)
      throws Exception {
    var syncs = new ArrayList<Double>();
    var writes = new ArrayList<double[]>();
    var reads = new ArrayList<double[]>();
    for (int round = 0; round < ROUNDS; round++) {
      double inMemory = median(memory, clients, true);
      long before = syncs(disk);
      double onDisk = median(disk, clients, true);
      syncs.add((syncs(disk) - before) / (double) WRITES);
      writes.add(new double[] {inMemory, onDisk});
      reads.add(new double[] {median(memory, clients, false), median(disk, clients, false)});
    }
    String name = "clients_" + clients + "_";
    syncs.sort(Comparator.naturalOrder());
    figures.put(name + "syncs_per_write", Promises.round(syncs.get(ROUNDS / 2)));
    figures.put(name + "syncs_goal", SYNCS_GOAL);
    tell(name + "write", writes);
    tell(name + "read", reads);
  }

  /** Medians over the rounds, in ms, and of the difference within a round. */
  private void tell(String name, List<double[]> pairs) {
    figures.put(name + "_memory_ms", middle(pairs.stream().mapToDouble(p -> p[0])));
    figures.put(name + "_logged_ms", middle(pairs.stream().mapToDouble(p -> p[1])));
    figures.put(name + "_difference_ms", middle(pairs.stream().mapToDouble(p -> p[1] - p[0])));
  }

  private static double middle(java.util.stream.DoubleStream values) {
    double[] sorted = values.sorted().toArray();
    return Promises.round(sorted[sorted.length / 2]);
  }

  /** The median time (ms) of as many calls as a round has, by so many clients at once. */
  private double median(InetSocketAddress pooler, int clients, boolean write) throws Exception {
    var times = new double[WRITES];
    var threads = new ArrayList<Thread>();
    int first = keys;
    keys += WRITES;
    for (int c = 0; c < clients; c++) {
      int client = c;
      var thread =
          new Thread(
              () -> {
                try (var socket = new Client(pooler)) {
                  for (int i = client; i < WRITES; i += clients) {
                    long began = System.nanoTime();
                    socket.call(write ? post("k" + (first + i)) : get("/v1/groups/1/check"));
                    times[i] = (System.nanoTime() - began) / 1e6;
                  }
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    Arrays.sort(times);
    return times[WRITES / 2];
  }

  private static String post(String key) {
    return "POST /v1/groups/1/claim HTTP/1.1\r\nHost: p\r\nIdempotency-Key: %s\r\nContent-Length: 12\r\n\r\n{\"player\":9}"
        .formatted(key);
  }

  private static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: p\r\n\r\n";
  }

  private static final class Client implements AutoCloseable {
    private final Socket socket;
    private final BufferedInputStream in;

    Client(InetSocketAddress pooler) throws IOException {
      socket = new Socket(pooler.getAddress(), pooler.getPort());
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    String call(String request) throws IOException {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return RestStandIn.message(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static void await(InetSocketAddress pooler) throws IOException {
    try (var client = new Client(pooler)) {
      for (int i = 0; !client.call(post("first" + i)).startsWith("HTTP/1.1 200"); i++) {
        Thread.onSpinWait();
      }
    }
  }

  private static long syncs(InetSocketAddress pooler) throws IOException {
    try (var socket = new Socket(pooler.getAddress(), pooler.getPort())) {
      String close = "GET /v1/status HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(close.getBytes(StandardCharsets.ISO_8859_1));
      var text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      Matcher found = SYNCS.matcher(text);
      return found.find() ? Long.parseLong(found.group(1)) : 0;
    }
  }

  /** Fills a log until new keys are refused, and starts processes with and without it, in turns. */
  private void starts() throws Exception {
    Path full = Files.createDirectory(folder.resolve("full"));
    try (var server = new RestStandIn()) {
      try (Daemon pooler = pooler(server, full)) {
        await(pooler.restAddress());
        try (var client = new Client(pooler.restAddress())) {
          for (int i = 0; client.call(post("full" + i)).startsWith("HTTP/1.1 200"); i++) {
            keys++;
          }
        }
      }
      var pairs = new ArrayList<double[]>();
      for (int round = 0; round < ROUNDS; round++) {
        Path none = Files.createDirectory(folder.resolve("none" + round));
        pairs.add(new double[] {start(none), start(full)});
      }
      figures.put("full_log_bytes", bytes(full));
      tell("start_process", pairs);
    }
  }

  /** How long a process takes from its start to its first line that a front listens (ms). */
  private double start(Path shared) throws Exception {
    var command = new ArrayList<String>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(PoolerProcess.JVM);
    command.addAll(List.of("-Xmx64m", "-cp", System.getProperty("java.class.path")));
    command.addAll(List.of("crankspar.Main", "serve", "--operator"));
    command.add(folder.resolve("operator.conf").toString());
    var builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("TMPDIR", shared.toString());
    builder.environment().remove("BALANCER_CONFIG");
    long began = System.nanoTime();
    Process process = builder.start();
    try (var log = process.inputReader(StandardCharsets.UTF_8)) {
      String line = log.readLine();
      while (line != null && !line.toLowerCase(Locale.ROOT).contains("rest front listens")) {
        line = log.readLine();
      }
      return (System.nanoTime() - began) / 1e6;
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  private static long bytes(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      Path log = files.filter(f -> f.toString().endsWith(".keys")).findFirst().orElseThrow();
      return Files.size(log);
    }
  }

  private void deleteAll() throws IOException {
    try (var all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
