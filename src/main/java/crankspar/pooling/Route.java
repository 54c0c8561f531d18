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
  record RoutingDecision(
      int requestClass, int group, double timeoutMs, double minPosition, boolean write) {}

  /** Why a transaction is not taken, with its SQLSTATE. */
  static final class Refused extends Exception {
    final String code;

    Refused(String code, String message) {
      super(message);
      this.code = code;
    }
  }

  private static final Pattern LEADING_COMMENT =
      Pattern.compile("\\s*/\\*(.*?)\\*/.*", Pattern.DOTALL);
  private static final Pattern DIRECTIVE =
      Pattern.compile("\\s*([a-z_]{1,16})=([!-~&&[^,*/'\"]]{1,64})\\s*");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,6})?");

  private final Router.Settings settings;
  private final Map<String, Integer> classIndexes = new HashMap<>();

  Route(Router.Settings settings) {
    this.settings = settings;
    settings.classes().forEach(c -> classIndexes.put(c.name(), classIndexes.size()));
  }

  /** The number of a class, or null. */
  Integer classIndex(String name) {
    return classIndexes.get(name);
  }

  Router.RequestClass requestClass(RoutingDecision decision) {
    return settings.classes().get(decision.requestClass());
  }

  /**
   * The way of an opening batch.
   *
   * @param text the first statement's text with its comment
   * @param statements of the batch, in order
   */
  RoutingDecision decide(
      Setup.Database database, String text, List<Statement> statements, SessionState state)
      throws Refused {
    Map<String, String> directives = directives(text);
    String requestedClass = directives.get("c");
    String mappedClass =
        database.mode() == Setup.Mode.SESSION ? null : mappedReadClass(database, statements, state);
    String name =
        requestedClass != null
            ? requestedClass
            : mappedClass != null ? mappedClass : database.requestClass();
    Integer classIndex = classIndexes.get(name);
    if (classIndex == null) {
      throw new Refused("08P01", "unknown class " + name);
    }
    Router.RequestClass requestClass = settings.classes().get(classIndex);
    boolean write = requestClass.freshness() == Freshness.WRITE;
    // Guards against a write that is repeated because its class says that it may be.
    if (!write
        && requestClass.freshness() != Freshness.FRESH
        && !provablyReadOnly(statements, state)) {
      throw new Refused("25006", "class " + name + " is for reads, and this is none by its words");
    }
    if (!write && requestClass.freshness() == Freshness.FRESH && !allIdempotent(statements)) {
      throw new Refused("25006", "class " + name + " is for reads, and this is none by its words");
    }
    if (database.mode() == Setup.Mode.SESSION
        && (requestClass.freshness() == Freshness.BOUNDED
            || requestClass.freshness() == Freshness.SESSION)) {
      throw new Refused(
          "0A000",
          "class "
              + name
              + " has a bound on its age, which a session on one connection cannot keep");
    }
    double timeoutMs =
        directives.containsKey("d")
            ? Math.min(numericDirective(directives, "d"), requestClass.timeout())
            : requestClass.timeout();
    double requestedPosition =
        directives.containsKey("after") ? numericDirective(directives, "after") : Double.NaN;
    double minPosition =
        Double.isNaN(requestedPosition)
            ? state.lastCommitPosition()
            : Double.isNaN(state.lastCommitPosition())
                ? requestedPosition
                : Math.max(requestedPosition, state.lastCommitPosition());
    int group =
        directives.containsKey("cluster")
            ? (int) numericDirective(directives, "cluster")
            : database.group();
    boolean usesPosition =
        requestClass.freshness() == Freshness.SESSION
            || requestClass.freshness() == Freshness.BOUNDED;
    return new RoutingDecision(
        classIndex, group, timeoutMs, usesPosition ? minPosition : Double.NaN, write);
  }

  /** The read class that the operator has mapped such a batch to, or null. */
  private static String mappedReadClass(
      Setup.Database database, List<Statement> statements, SessionState state) {
    if (statements.isEmpty()) {
      return null;
    }
    Statement first = statements.get(0);
    if (first.kind() == Kind.BEGIN) {
      boolean declaredReadOnly =
          first.readOnly()
              || state.readOnlyByDefault()
                  && !first.text().toLowerCase(java.util.Locale.ROOT).contains("write");
      return declaredReadOnly && allIdempotent(statements) ? database.readOnlyClass() : null;
    }
    return statements.size() == 1 && first.kind() == Kind.READ ? database.selectClass() : null;
  }

  private static boolean allIdempotent(List<Statement> statements) {
    return statements.stream().allMatch(Statement::idempotent);
  }

  /**
   * A block must say that it only reads, as the server then sees to it; else each statement must be
   * a read.
   */
  private static boolean provablyReadOnly(List<Statement> statements, SessionState state) {
    boolean block = !statements.isEmpty() && statements.get(0).kind() == Kind.BEGIN;
    return allIdempotent(statements)
        && (!block || statements.get(0).readOnly() || state.readOnlyByDefault());
  }

  /** Names and values of a comment that leads; a comment of another form says nothing to us. */
  static Map<String, String> directives(String text) {
    Matcher m = LEADING_COMMENT.matcher(text);
    if (!m.matches()) {
      return Map.of();
    }
    var directives = new HashMap<String, String>();
    for (String part : m.group(1).split(",", -1)) {
      Matcher pair = DIRECTIVE.matcher(part);
      if (!pair.matches() || directives.put(pair.group(1), pair.group(2)) != null) {
        return Map.of();
      }
    }
    return directives;
  }

  private static double numericDirective(Map<String, String> directives, String name)
      throws Refused {
    String value = directives.get(name);
    if (!NUMBER.matcher(value).matches()) {
      throw new Refused("08P01", name + " is no number: " + value);
    }
    return Double.parseDouble(value);
  }
}
