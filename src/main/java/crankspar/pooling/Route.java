package crankspar.pooling;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a transaction asks of the module: its class, its group, how long its client waits and the
 * position that it must see. A comment before its first statement says so, or the database's
 * settings do. Reads may be mapped to a class of their own and so reach replicas; everything that
 * is not known to be a read goes the way of writes.
 */
final class Route {
  /** The way of one transaction. {@code ttl} is ms, {@code mark} Unix ms or NaN. */
  record Way(int requestClass, int group, double ttl, double mark, boolean write) {}

  /** Why a transaction is not taken, with its SQLSTATE. */
  static final class Refused extends Exception {
    final String code;

    Refused(String code, String message) {
      super(message);
      this.code = code;
    }
  }

  private static final Pattern COMMENT = Pattern.compile("\\s*/\\*(.*?)\\*/.*", Pattern.DOTALL);
  private static final Pattern PAIR =
      Pattern.compile("\\s*([a-z_]{1,16})=([!-~&&[^,*/'\"]]{1,64})\\s*");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,6})?");

  private final Router.Settings settings;
  private final Map<String, Integer> classes = new HashMap<>();

  Route(Router.Settings settings) {
    this.settings = settings;
    settings.classes().forEach(c -> classes.put(c.name(), classes.size()));
  }

  /** The number of a class, or null. */
  Integer classNumber(String name) {
    return classes.get(name);
  }

  Router.RequestClass kind(Way way) {
    return settings.classes().get(way.requestClass());
  }

  /**
   * The way of an opening batch.
   *
   * @param text the first statement's text with its comment
   * @param statements of the batch, in order
   */
  Way way(Setup.Database database, String text, List<Statement> statements, SessionState state)
      throws Refused {
    Map<String, String> names = names(text);
    String named = names.get("c");
    String mapped =
        database.mode() == Setup.Mode.SESSION ? null : mapped(database, statements, state);
    String name = named != null ? named : mapped != null ? mapped : database.requestClass();
    Integer number = classes.get(name);
    if (number == null) {
      throw new Refused("08P01", "unknown class " + name);
    }
    Router.RequestClass kind = settings.classes().get(number);
    boolean write = kind.freshness() == Freshness.WRITE;
    // Guards against a write that is repeated because its class says that it may be.
    if (!write && kind.freshness() != Freshness.FRESH && !readsOnly(statements, state)) {
      throw new Refused("25006", "class " + name + " is for reads, and this is none by its words");
    }
    if (!write && kind.freshness() == Freshness.FRESH && !harmless(statements)) {
      throw new Refused("25006", "class " + name + " is for reads, and this is none by its words");
    }
    if (database.mode() == Setup.Mode.SESSION
        && (kind.freshness() == Freshness.BOUNDED || kind.freshness() == Freshness.SESSION)) {
      throw new Refused(
          "0A000",
          "class "
              + name
              + " has a bound on its age, which a session on one connection cannot keep");
    }
    double ttl =
        names.containsKey("d") ? Math.min(number(names, "d"), kind.timeout()) : kind.timeout();
    double carried = names.containsKey("after") ? number(names, "after") : Double.NaN;
    double mark =
        Double.isNaN(carried)
            ? state.mark()
            : Double.isNaN(state.mark()) ? carried : Math.max(carried, state.mark());
    int group = names.containsKey("cluster") ? (int) number(names, "cluster") : database.group();
    boolean sees = kind.freshness() == Freshness.SESSION || kind.freshness() == Freshness.BOUNDED;
    return new Way(number, group, ttl, sees ? mark : Double.NaN, write);
  }

  /** The read class that the operator has mapped such a batch to, or null. */
  private static String mapped(
      Setup.Database database, List<Statement> statements, SessionState state) {
    if (statements.isEmpty()) {
      return null;
    }
    Statement first = statements.get(0);
    if (first.kind() == Kind.BEGIN) {
      boolean said =
          first.onlyReads()
              || state.readsByDefault()
                  && !first.text().toLowerCase(java.util.Locale.ROOT).contains("write");
      return said && harmless(statements) ? database.readOnlyClass() : null;
    }
    return statements.size() == 1 && first.kind() == Kind.READ ? database.selectClass() : null;
  }

  private static boolean harmless(List<Statement> statements) {
    return statements.stream().allMatch(Statement::harmless);
  }

  /**
   * A block must say that it only reads, as the server then sees to it; else each statement must be
   * a read.
   */
  private static boolean readsOnly(List<Statement> statements, SessionState state) {
    boolean block = !statements.isEmpty() && statements.get(0).kind() == Kind.BEGIN;
    return harmless(statements)
        && (!block || statements.get(0).onlyReads() || state.readsByDefault());
  }

  /** Names and values of a comment that leads; a comment of another form says nothing to us. */
  static Map<String, String> names(String text) {
    Matcher m = COMMENT.matcher(text);
    if (!m.matches()) {
      return Map.of();
    }
    var names = new HashMap<String, String>();
    for (String part : m.group(1).split(",", -1)) {
      Matcher pair = PAIR.matcher(part);
      if (!pair.matches() || names.put(pair.group(1), pair.group(2)) != null) {
        return Map.of();
      }
    }
    return names;
  }

  private static double number(Map<String, String> names, String name) throws Refused {
    String value = names.get(name);
    if (!NUMBER.matcher(value).matches()) {
      throw new Refused("08P01", name + " is no number: " + value);
    }
    return Double.parseDouble(value);
  }
}
