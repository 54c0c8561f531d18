package crankspar.pooling;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;

/**
 * A prepared statement by its content: text, parameter types and the options under which its text
 * is read. Clients that prepare the same content share one object and, on each server connection,
 * one statement, whose name is a hash of the content. Two clients that give one name to two texts,
 * or prepare one text under two time zones, never meet.
 */
final class Prepared {
  /** Before names that are made here; a client's own never reach a server through Parse. */
  static final String NAME_PREFIX = "cp_";

  private static final int NAME_BYTES = 16;

  /** What one takes beside its text. */
  private static final int OBJECT_BYTES = 64;

  /**
   * All that are in use anywhere; what no client and no connection holds is forgotten by the
   * collector.
   */
  private static final Map<Prepared, WeakReference<Prepared>> INTERNED = new WeakHashMap<>();

  private final String sql;
  private final byte[] types;
  private final StatementOptions options;

  /** The same text and types under no options, or this one: what is read of the text is there. */
  private final Prepared withoutOptions;

  private final int hash;
  private String name;
  private List<Sql.Statement> statements;

  private Prepared(String sql, byte[] types) {
    this.sql = sql;
    this.types = types;
    options = StatementOptions.NONE;
    withoutOptions = this;
    hash = 31 * sql.hashCode() + Arrays.hashCode(types);
  }

  private Prepared(Prepared plain, StatementOptions options) {
    sql = plain.sql;
    types = plain.types;
    this.options = options;
    this.withoutOptions = plain;
    hash = 31 * plain.hash + options.hashCode();
  }

  /**
   * The one object for this content under no options; {@code types} is the rest of a Parse message
   * behind its text.
   */
  static Prepared of(String sql, byte[] types) {
    return intern(new Prepared(sql, types));
  }

  /** The same text, prepared under these options. */
  Prepared withOptions(StatementOptions options) {
    boolean same = options.equals(this.options) || options() == StatementOptions.ANY;
    return same ? this : intern(new Prepared(withoutOptions, options));
  }

  /** Those under which its text is read. */
  StatementOptions options() {
    boolean onlyTransactionControl =
        statements().stream().allMatch(Sql.Statement::transactionControl);
    return onlyTransactionControl ? StatementOptions.ANY : options;
  }

  private static synchronized Prepared intern(Prepared candidate) {
    WeakReference<Prepared> known = INTERNED.get(candidate);
    Prepared found = known == null ? null : known.get();
    if (found == null) {
      found = candidate;
      INTERNED.put(found, new WeakReference<>(found));
    }
    return found;
  }

  String sql() {
    return sql;
  }

  /** What it counts against a client's bound. */
  int memoryBytes() {
    return sql.length() + types.length + options.memoryBytes() + OBJECT_BYTES;
  }

  /** Its name on servers. */
  String name() {
    if (name == null) {
      try {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        digest.update(sql.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(types);
        digest.update(options.key().getBytes(StandardCharsets.UTF_8));
        byte[] all = digest.digest();
        name = NAME_PREFIX + HexFormat.of().formatHex(all, 0, NAME_BYTES);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e); // every runtime has it
      }
    }
    return name;
  }

  Frame parseMessage(String serverName) {
    return Frame.body().text(serverName).text(sql).bytes(types).as('P');
  }

  List<Sql.Statement> statements() {
    if (withoutOptions != this) {
      return withoutOptions.statements();
    }
    if (statements == null) {
      statements = Sql.split(sql);
    }
    return statements;
  }

  @Override
  public boolean equals(Object other) {
    return this == other
        || other instanceof Prepared p
            && hash == p.hash
            && sql.equals(p.sql)
            && Arrays.equals(types, p.types)
            && options.equals(p.options);
  }

  @Override
  public int hashCode() {
    return hash;
  }

  @Override
  public String toString() {
    return name() + " " + (sql.length() > 60 ? sql.substring(0, 60) + "..." : sql);
  }
}
