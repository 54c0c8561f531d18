package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * A simple query with its statements, parsed once: routing, the exchange with the server and the
 * account of memory all need them.
 */
record ParsedQuery(Frame frame, String text, List<Statement> statements, long memoryBytes) {
  static ParsedQuery of(Frame frame) throws Frame.Malformed {
    String text = frame.read().text();
    List<Statement> statements = Sql.split(text);
    return new ParsedQuery(frame, text, statements, text.length() + Sql.memoryBytes(statements));
  }
}
