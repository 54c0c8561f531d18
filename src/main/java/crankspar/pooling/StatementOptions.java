package crankspar.pooling;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The options that apply when the server parses a statement. They determine the meaning of its
 * constants, names and operators for the lifetime of the statement (PostgreSQL's manual, "Message
 * Flow", extended query: a prepared statement is the result of parse analysis). Immutable; two
 * objects are equal if any text means the same under both.
 */
final class StatementOptions {
  /** No options set, as on a new server connection. */
  static final StatementOptions NONE = new StatementOptions(HashTreePMap.empty());

  /** Options of a text that means the same under any, such as COMMIT. */
  static final StatementOptions ANY = new StatementOptions(HashTreePMap.empty());

  /**
   * Placeholder name for settings whose values are not known; its value is unique, so that it never
   * equals another.
   */
  static final String UNKNOWN = "";

  /** Options that do not affect parsing; all others are assumed to. */
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
  private byte[] digest;

  private StatementOptions(PMap<String, String> values) {
    this.values = values;
    hash = values.hashCode();
  }

  /**
   * Returns the options among these that affect parsing.
   *
   * @param options values as SQL text by name; {@link #UNKNOWN} may be among the names
   */
  static StatementOptions of(PMap<String, String> options) {
    PMap<String, String> relevant = options;
    for (String name : options.keySet()) {
      if (IGNORED.contains(name)) {
        relevant = relevant.minus(name);
      }
    }
    return relevant.isEmpty() ? NONE : new StatementOptions(relevant);
  }

  /** Returns the values as SQL text by name, without the placeholder of unknown settings. */
  PMap<String, String> values() {
    return values.minus(UNKNOWN);
  }

  /**
   * Returns the bytes that count towards the memory limit of a client: a statement holds its
   * options for as long as it exists.
   */
  int memoryBytes() {
    int bytes = 0;
    for (Map.Entry<String, String> e : values.entrySet()) {
      bytes += e.getKey().length() + e.getValue().length();
    }
    return bytes;
  }

  /** Returns a digest that is distinct for distinct options, computed once. */
  byte[] digest() {
    if (digest == null) {
      digest = Sha256.of(key().getBytes(StandardCharsets.UTF_8));
    }
    return digest;
  }

  /**
   * Returns a text that is distinct for distinct options, from which statement names are hashed.
   */
  private String key() {
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
