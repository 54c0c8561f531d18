package crankspar.lab.load;

import crankspar.config.Config;
import crankspar.net.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab load}: plays a workload open loop, and says so when it cannot. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description =
        "Sends a workload open loop; latency counts from when each request was"
            + " meant to leave. Exit 3: the generator itself was too slow, and what it measured is itself.")
public final class LoadCommand implements Callable<Integer> {
  private static final int BAD = 2;
  private static final int ITSELF = 3;
  private static final double GRACE = 3000;

  @Parameters(paramLabel = "WORKLOAD", description = "classes, arrivals, sessions (HOCON)")
  private Path file;

  @Option(names = "--target", required = true, paramLabel = "HOST:PORT")
  private String target;

  @Option(names = "--user", defaultValue = "client")
  private String user;

  @Option(names = "--database", defaultValue = "core")
  private String database;

  @Option(names = "--threads", defaultValue = "2")
  private int threads;

  @Option(
      names = "--trace",
      paramLabel = "FILE",
      description = "plays a recorded trace (CSV or JSON lines) in place of the arrivals")
  private Path trace;

  @Option(names = "--scale", defaultValue = "1", description = "multiplies a trace's times")
  private double scale;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      description = "report.json, latency.hgrm and plots")
  private Path out;

  private boolean reported;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Workload workload;
    Supplier<Iterator<Asked>> plans;
    InetSocketAddress at;
    try {
      Workload read = WorkloadReader.read(file);
      at = Addresses.parse(target);
      if (trace == null) {
        workload = read;
        plans = () -> new Plan(read);
      } else {
        List<Asked> all = Trace.read(trace, read.kinds(), read.groups(), scale);
        workload =
            new Workload(
                read.kinds(),
                read.shapes(),
                read.even(),
                read.sessions(),
                read.groups(),
                all.get(all.size() - 1).at(),
                read.seed(),
                read.front(),
                read.connections(),
                read.lateMost(),
                read.lateShare());
        plans = all::iterator;
      }
    } catch (Config.Bad | Trace.Bad | IllegalArgumentException e) {
      System.err.println("load: " + e.getMessage());
      return BAD;
    }
    try (var generator =
        Generator.of(
            workload, plans, at, user, database, threads, w -> System.err.println("load: " + w))) {
      var interrupted = new Thread(() -> report(generator, workload));
      Runtime.getRuntime().addShutdownHook(interrupted); // Ctrl-C still tells what was measured
      generator.run(workload.connections(), GRACE);
      Recorder result = report(generator, workload);
      try {
        Runtime.getRuntime().removeShutdownHook(interrupted);
      } catch (IllegalStateException e) {
        return 130; // it is ending already
      }
      return result.tooLate() > workload.lateShare() ? ITSELF : 0;
    }
  }

  private synchronized Recorder report(Generator generator, Workload workload) {
    try {
      generator.stop();
      Recorder r = generator.result(true);
      if (!reported) {
        reported = true;
        Report.table(r).forEach(System.out::println);
        if (out != null) {
          Report.write(out, r, generator.elapsed(), workload);
        }
        System.out.println(Report.json(r, generator.elapsed(), workload));
        System.out.flush();
      }
      return r;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
