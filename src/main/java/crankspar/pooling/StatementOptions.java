package crankspar.pooling;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The options under which the server reads a statement's text when it is prepared. A constant, a
 * name or an operator means what these make of it, for as long as the statement lives (PostgreSQL's
 * manual, "Message Flow", extended query: a prepared statement is the result of parse analysis).
 * Immutable; equal where a text means the same.
 */
final class StatementOptions {
  /** None set: what a server's connection begins with. */
  static final StatementOptions NONE = new StatementOptions(HashTreePMap.empty());

  /** Of a text that means the same under any, such as COMMIT. */
  static final StatementOptions ANY = new StatementOptions(HashTreePMap.empty());

  /** The name that stands for settings which nobody knows; its value is unlike any other. */
  static final String UNKNOWN = "";

  /** Options by which no text is read otherwise; what is not among them counts. */
  private static final Set<String> IGNORED =
      Set.of(
          "application_name",
          "client_min_messages",
          "statement_timeout",
          "lock_timeout",
          "idle_in_transaction_session_timeout",
          "idle_session_timeout",
          "transaction_timeout",
          "default_transaction_deferrable",
          "default_transaction_isolation",
          "default_transaction_read_only",
          "synchronous_commit",
          "work_mem");

  private final PMap<String, String> values;
  private final int hash;

  private StatementOptions(PMap<String, String> values) {
    this.values = values;
    hash = values.hashCode();
  }

  /** Of these options, values as SQL text by name; {@link #UNKNOWN} may be among them. */
  static StatementOptions of(PMap<String, String> options) {
    PMap<String, String> relevant = options;
    for (String name : options.keySet()) {
      if (IGNORED.contains(name)) {
        relevant = relevant.minus(name);
      }
    }
    return relevant.isEmpty() ? NONE : new StatementOptions(relevant);
  }

  /** Values as SQL text, without what is unknown. */
  PMap<String, String> values() {
    return values.minus(UNKNOWN);
  }

  /** What it counts against a client's bound: a statement holds it for as long as it lives. */
  int memoryBytes() {
    int bytes = 0;
    for (Map.Entry<String, String> e : values.entrySet()) {
      bytes += e.getKey().length() + e.getValue().length();
    }
    return bytes;
  }

  /** What tells it from others, for a name that is a hash. */
  String key() {
    var key = new StringBuilder();
    for (Map.Entry<String, String> e : new TreeMap<>(values).entrySet()) {
      key.append(e.getKey()).append('\0').append(e.getValue()).append('\0');
    }
    return key.toString();
  }

  @Override
  public boolean equals(Object other) {
    return this == other
        || this != ANY
            && other != ANY
            && other instanceof StatementOptions o
            && hash == o.hash
            && values.equals(o.values);
  }

  @Override
  public int hashCode() {
    return hash;
  }

  @Override
  public String toString() {
    return this == ANY ? "any" : new TreeMap<>(values).toString();
  }
}
