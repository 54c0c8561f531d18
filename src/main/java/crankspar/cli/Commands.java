package crankspar.cli;

import crankspar.BenchLink;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.daemon.Daemon;
import crankspar.gossip.GossipReceiver;
import crankspar.policy.RequestRouter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line. */
@Command(
    name = "crankspar",
    description = "A pooler for shards of a primary and its replicas.",
    synopsisSubcommandLabel = "COMMAND",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    subcommands = AuditCommand.class)
public final class Commands implements Runnable {
  /** Exit code for a configuration that cannot be used. */
  static final int BAD_CONFIG = 2;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  public static int execute(String... args) {
    var line = new CommandLine(new Commands());
    try { // by its name: nothing that serves needs the lab
      line.addSubcommand(
          Class.forName("crankspar.lab.LabCommand").getDeclaredConstructor().newInstance());
    } catch (ReflectiveOperationException e) {
      // packaged without it
    }
    return line.execute(args);
  }

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"crankspar " + (version == null ? "(not packaged)" : version)};
    }
  }

  @Command(description = "Serves, as the environment and an operator's file say.")
  int serve(
      @Option(
              names = "--operator",
              paramLabel = "FILE",
              description =
                  "sets up the REST front, the pooling front, the store and syslog (HOCON or JSON)")
          Path file)
      throws IOException, InterruptedException {
    return Serve.run(file);
  }

  @Command(
      description = "Hosts the decisions on the simulator's wire, on standard input and output.")
  int adapter() throws IOException {
    var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
    try {
      new BenchLink(GossipReceiver.before(RequestRouter::new)).run(in, System.out);
      return 0;
    } catch (BenchLink.Malformed e) {
      System.err.println("adapter: " + e.getMessage());
      return 1;
    }
  }

  @Command(
      hidden = true,
      description =
          "Starts as serve would, and ends: the build records the classes that a start loads.")
  int rehearse(
      @Parameters(paramLabel = "FILE", description = "a platform's configuration") Path file)
      throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("rehearsal"); // a start that has one loads more
    try (var started =
        new Daemon(Config.read(Map.of("BALANCER_CONFIG", file.toString())), null, folder)) {
      return started.pgAddress() == null ? 1 : 0;
    } catch (Config.Bad e) {
      return Serve.bad(e);
    } finally {
      delete(folder);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.delete(folder);
  }

  @Command(description = "Prints the version.")
  int version() {
    System.out.println(new Version().getVersion()[0]);
    return 0;
  }

  @Command(
      name = "check-config",
      description = "Reads the configuration as serve would, and says what is wrong.")
  int checkConfig(@Option(names = "--operator", paramLabel = "FILE") Path file) {
    try {
      Operator operator = Serve.operator(file);
      Config config = file == null ? Config.read(System.getenv()) : Serve.platform();
      System.out.println(
          "good: "
              + (config == null
                  ? ""
                  : "the platform's front as "
                      + config.name()
                      + ", "
                      + config.known().members().size()
                      + " members known")
              + (config != null && operator != null ? "; " : "")
              + (operator == null ? "" : "the operator's file of " + operator.name()));
      return 0;
    } catch (Config.Bad e) {
      return Serve.bad(e);
    }
  }

  @Command(
      name = "print-config",
      description =
          "Prints what is in force of an operator's file, a line a value with"
              + " its origin: the file and line that set it, or the default.")
  int printConfig(@Option(names = "--operator", paramLabel = "FILE", required = true) Path file) {
    try {
      Serve.operator(file).inForce().forEach(System.out::println);
      return 0;
    } catch (Config.Bad e) {
      return Serve.bad(e);
    }
  }
}
