package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The statements of the batch that opens a transaction, as far as routing needs them.
 *
 * @param text the first SQL text of the batch, empty if there is none
 */
record BatchStatements(String text, List<Statement> statements) {
  private static final Statement FUNCTION_CALL = Sql.of(Kind.WRITE);

  private record Part(String sql, List<Statement> statements) {
    static final Part NONE = new Part("", List.of());

    static Part of(Prepared prepared) {
      return prepared == null ? NONE : new Part(prepared.sql(), prepared.statements());
    }
  }

  /**
   * Collects the statements; names that the batch does not prepare itself are looked up in {@code
   * session}.
   */
  static BatchStatements of(List<Frame> frames, SessionState session) throws Frame.Malformed {
    var statements = new ArrayList<Statement>(2);
    String text = "";
    var parsedInBatch = new HashMap<String, Prepared>(2);
    for (Frame frame : frames) {
      Part part = part(frame, parsedInBatch, session);
      text = text.isEmpty() ? part.sql() : text;
      statements.addAll(part.statements());
    }
    return new BatchStatements(text, statements);
  }

  private static Part part(Frame frame, Map<String, Prepared> parsedInBatch, SessionState session)
      throws Frame.Malformed {
    Frame.Reader r = frame.read();
    switch (frame.type()) {
      case 'Q' -> {
        ParsedQuery query = session.parsed(frame);
        return new Part(query.text(), query.statements());
      }
      case 'P' -> {
        String name = r.text();
        Prepared prepared =
            Prepared.of(r.text(), r.rest())
                .withOptions(session.sessionOptions().statementOptions());
        parsedInBatch.put(name, prepared);
        return Part.of(prepared);
      }
      case 'B' -> {
        r.text(); // portal name
        String name = r.text();
        return parsedInBatch.containsKey(name) ? Part.NONE : Part.of(session.prepared(name));
      }
      case 'F' -> {
        return new Part("", List.of(FUNCTION_CALL));
      }
      default -> {
        return Part.NONE;
      }
    }
  }

  /** Whether the batch consists of a BEGIN alone. */
  boolean onlyBegins() {
    return statements.size() == 1 && statements.get(0).kind() == Kind.BEGIN;
  }
}
