package crankspar.pooling;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.pg.StatementComment;
import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Determines the request parameters of a transaction: request class, group, timeout and the
 * replication position that it must see. They come from a comment before its first statement or
 * from the settings of the database. Reads may be mapped to a class of their own, which lets them
 * run on replicas; every statement not known to be a read is routed as a write.
 */
final class Route {
  /**
   * Request parameters of one transaction.
   *
   * @param timeoutMs how long the client waits for it, in ms
   * @param minPosition position that it must see, Unix ms, or NaN for none
   */
  record RoutingDecision(
      int requestClass, int group, double timeoutMs, double minPosition, boolean write) {}

  /** A transaction that is rejected, with its SQLSTATE. */
  static final class Refused extends Exception {
    final String code;

    Refused(String code, String message) {
      super(message);
      this.code = code;
    }
  }

  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,6})?");

  private final Router.Settings settings;
  private final Map<String, Integer> classIndexes = new HashMap<>();

  Route(Router.Settings settings) {
    this.settings = settings;
    settings.classes().forEach(c -> classIndexes.put(c.name(), classIndexes.size()));
  }

  /** Returns the index of a request class, or null if there is no such class. */
  Integer classIndex(String name) {
    return classIndexes.get(name);
  }

  Router.RequestClass requestClass(RoutingDecision decision) {
    return settings.classes().get(decision.requestClass());
  }

  /**
   * Determines the request parameters of the batch that opens a transaction.
   *
   * @param text the text of the first statement, including its leading comment
   * @param statements the statements of the batch, in order
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
    // A write must not run in a class whose requests may be retried: it could be executed twice.
    if (!write
        && requestClass.freshness() != Freshness.FRESH
        && !provablyReadOnly(statements, state)) {
      throw new Refused(
          "25006", "class " + name + " is for reads, and this statement is not known to be a read");
    }
    if (!write && requestClass.freshness() == Freshness.FRESH && !allIdempotent(statements)) {
      throw new Refused(
          "25006", "class " + name + " is for reads, and this statement is not known to be a read");
    }
    if (database.mode() == Setup.Mode.SESSION
        && (requestClass.freshness() == Freshness.BOUNDED
            || requestClass.freshness() == Freshness.SESSION)) {
      throw new Refused(
          "0A000",
          "class "
              + name
              + " limits staleness, which mode session cannot guarantee on a single connection");
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

  /** Returns the read class that the operator configured for such a batch, or null. */
  private static String mappedReadClass(
      Setup.Database database, List<Statement> statements, SessionState state) {
    if (statements.isEmpty()) {
      return null;
    }
    Statement first = statements.get(0);
    if (first.kind() == Kind.BEGIN) {
      boolean declaredReadOnly =
          first.readOnly() || state.readOnlyByDefault() && first.value() == null;
      return declaredReadOnly && allIdempotent(statements) ? database.readOnlyClass() : null;
    }
    return statements.size() == 1 && first.kind() == Kind.READ ? database.selectClass() : null;
  }

  private static boolean allIdempotent(List<Statement> statements) {
    return statements.stream().allMatch(Statement::idempotent);
  }

  /**
   * Whether the batch is known to be read-only. A transaction block must be declared READ ONLY,
   * which the server then enforces; otherwise every statement must be a read.
   */
  private static boolean provablyReadOnly(List<Statement> statements, SessionState state) {
    boolean block = !statements.isEmpty() && statements.get(0).kind() == Kind.BEGIN;
    return allIdempotent(statements)
        && (!block || statements.get(0).readOnly() || state.readOnlyByDefault());
  }

  /** Parses the directives of a leading comment; a comment in any other form yields none. */
  static Map<String, String> directives(String text) {
    int start = 0;
    while (start < text.length() && Character.isWhitespace(text.charAt(start))) {
      start++;
    }
    int end = text.indexOf("*/", start + 2);
    if (!text.startsWith("/*", start) || end < 0) {
      return Map.of();
    }
    try {
      return StatementComment.read(text, start + 2, end).names();
    } catch (crankspar.pg.Statement.Malformed e) {
      return Map.of();
    }
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
