package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * The admin console, reached as database {@code crankspar}: SHOW for tables of the current state,
 * PAUSE and RESUME.
 */
final class Console {
  private static final int MAX_ROWS = 10_000;

  /** The longest text that is looked at (characters): no command has as many. */
  private static final int MAX_COMMAND_LENGTH = 1_000;

  private final PoolingFront front;

  Console(PoolingFront front) {
    this.front = front;
  }

  /** Returns the reply without its ReadyForQuery, or null if this is not a console command. */
  List<Frame> execute(String sql) {
    if (sql.length() > MAX_COMMAND_LENGTH) {
      return null;
    }
    String[] words = withoutSemicolons(sql.strip()).split("\\s+");
    String command = words[0].toUpperCase(Locale.ROOT);
    if (command.equals("SHOW") && words.length == 2) {
      return switch (words[1].toLowerCase(Locale.ROOT)) {
        case "pools" -> pools();
        case "clients" -> clients();
        case "servers" -> servers();
        case "statements" -> statements();
        case "databases" -> databases();
        case "counters" -> counters();
        case "help" ->
            table(
                "SHOW",
                List.of("command"),
                List.of(
                    List.of("SHOW pools | clients | servers | statements | databases | counters"),
                    List.of("PAUSE database"),
                    List.of("RESUME database")));
        default -> null;
      };
    }
    if ((command.equals("PAUSE") || command.equals("RESUME")) && words.length == 2) {
      return front.setPaused(words[1], command.equals("PAUSE"))
          ? List.of(Frame.complete(command))
          : List.of(
              Frame.error(
                  "ERROR", "3D000", "database \"" + words[1] + "\" is not set up here", null));
    }
    return null;
  }

  private static String withoutSemicolons(String command) {
    int end = command.length();
    while (end > 0 && command.charAt(end - 1) == ';') {
      end--;
    }
    return command.substring(0, end);
  }

  private static List<Frame> table(String tag, List<String> columns, List<List<String>> rows) {
    var all = new ArrayList<Frame>(rows.size() + 2);
    all.add(Frame.columns(columns));
    rows.stream().limit(MAX_ROWS).forEach(r -> all.add(Frame.row(r)));
    all.add(Frame.complete(tag));
    return all;
  }

  private static String text(Object value) {
    return String.valueOf(value);
  }

  private static String ms(double ms) {
    return String.format(Locale.ROOT, "%.0f", ms);
  }

  private List<Frame> pools() {
    var rows = new ArrayList<List<String>>();
    new TreeMap<>(front.queues())
        .forEach(
            (name, queue) -> {
              Setup.Database d = front.database(name);
              if (d == null) {
                return;
              }
              var users = new java.util.TreeSet<String>();
              front.clients().stream()
                  .filter(c -> name.equals(c.databaseName()) && c.user() != null)
                  .forEach(c -> users.add(c.user()));
              for (String user : users) {
                var key = new ServerKey(name, d.serverName(), user);
                long idle =
                    front.servers().connections().stream()
                        .filter(s -> s.key().equals(key) && s.state() == ConnectionState.IDLE)
                        .count();
                long clientCount =
                    front.clients().stream()
                        .filter(c -> name.equals(c.databaseName()) && user.equals(c.user()))
                        .count();
                rows.add(
                    List.of(
                        name,
                        user,
                        text(d.mode(user)).toLowerCase(Locale.ROOT),
                        text(clientCount),
                        text(queue.held(user)),
                        text(queue.waiting(user)),
                        text(front.servers().open(key)),
                        text(idle),
                        text(d.poolLimits().maxSize()),
                        ms(queue.longestWait()),
                        text(queue.paused())));
              }
            });
    return table(
        "SHOW",
        List.of(
            "database",
            "user",
            "mode",
            "clients",
            "active",
            "waiting",
            "servers",
            "servers_idle",
            "places",
            "longest_wait_ms",
            "paused"),
        rows);
  }

  private List<Frame> clients() {
    var rows = new ArrayList<List<String>>();
    double now = front.now();
    for (Client c : front.clients()) {
      Server s = c.opening() == null ? null : c.opening().server;
      boolean attached = s != null && s.opening() == c.opening();
      rows.add(
          List.of(
              text(c.process()),
              text(c.databaseName()),
              text(c.user()),
              text(c.state()).toLowerCase(Locale.ROOT),
              ms(now - c.stateSince()),
              text(c.transactions()),
              attached ? s.member() : "",
              c.session() == null ? "" : text(c.session().statementCount()),
              c.session() == null
                  ? ""
                  : String.join(
                      ",", c.session().pins().kinds().stream().map(Enum::name).toList())));
    }
    return table(
        "SHOW",
        List.of(
            "process",
            "database",
            "user",
            "state",
            "state_ms",
            "transactions",
            "server",
            "statements",
            "pins"),
        rows);
  }

  private List<Frame> servers() {
    var rows = new ArrayList<List<String>>();
    double now = front.now();
    for (Server s : front.servers().connections()) {
      rows.add(
          List.of(
              s.member(),
              s.key().pool(),
              s.key().user(),
              text(s.state()).toLowerCase(Locale.ROOT),
              ms(now - s.stateSince()),
              ms(now - s.openedAt()),
              text(s.sessionState().statementCount()),
              text(s.sessionState().options().size()),
              text(s.lease() == null ? 'I' : s.lease().status()),
              s.opening() == null ? "" : text(s.opening().client.process())));
    }
    return table(
        "SHOW",
        List.of(
            "member",
            "database",
            "user",
            "state",
            "state_ms",
            "age_ms",
            "statements",
            "options",
            "transaction",
            "client"),
        rows);
  }

  /** Each prepared statement with the numbers of server connections and of clients that hold it. */
  private List<Frame> statements() {
    var counts = new TreeMap<String, int[]>();
    var byName = new TreeMap<String, Prepared>();
    for (Server s : front.servers().connections()) {
      s.sessionState()
          .statementsByName()
          .values()
          .forEach(
              p -> {
                counts.computeIfAbsent(p.name(), k -> new int[2])[0]++;
                byName.put(p.name(), p);
              });
    }
    for (Client c : front.clients()) {
      if (c.session() != null) {
        c.session()
            .preparedByName()
            .values()
            .forEach(
                p -> {
                  counts.computeIfAbsent(p.name(), k -> new int[2])[1]++;
                  byName.put(p.name(), p);
                });
      }
    }
    var rows = new ArrayList<List<String>>();
    counts.forEach(
        (name, n) -> {
          Prepared p = byName.get(name);
          rows.add(List.of(name, text(n[0]), text(n[1]), p.sql(), p.options().toString()));
        });
    return table("SHOW", List.of("name", "servers", "clients", "text", "options"), rows);
  }

  private List<Frame> databases() {
    var rows = new ArrayList<List<String>>();
    new TreeMap<>(front.setup().databases())
        .forEach(
            (name, d) ->
                rows.add(
                    List.of(
                        name,
                        d.serverName(),
                        text(d.mode()).toLowerCase(Locale.ROOT),
                        text(d.group()),
                        d.requestClass(),
                        text(d.readOnlyClass()),
                        text(d.selectClass()),
                        text(d.poolLimits().maxSize()),
                        text(d.poolLimits().reserve()),
                        text(front.queues().get(name).paused()))));
    return table(
        "SHOW",
        List.of(
            "name",
            "server_name",
            "mode",
            "group",
            "class",
            "read_only_class",
            "select_class",
            "places",
            "reserve",
            "paused"),
        rows);
  }

  private List<Frame> counters() {
    var rows = new ArrayList<List<String>>();
    front.counters().all().forEach((k, v) -> rows.add(List.of(k, text(v))));
    return table("SHOW", List.of("name", "value"), rows);
  }
}
