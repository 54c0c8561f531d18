package crankspar.pooling;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;

/**
 * A prepared statement identified by its content: text, parameter types and the options that apply
 * when its text is parsed. Clients that prepare the same content share one object and, on each
 * server connection, one statement, which is named by a hash of the content. Two clients that use
 * one name for two texts, or prepare one text under two time zones, therefore never conflict.
 */
final class Prepared {
  /** Prefix of generated names; names chosen by clients never reach a server in a Parse. */
  static final String NAME_PREFIX = "cp_";

  private static final int NAME_BYTES = 16;
  private static final byte[] SEPARATOR = {0};

  /** Estimated bytes of one object besides its text. */
  private static final int OBJECT_BYTES = 64;

  /**
   * All statements in use; the garbage collector removes those that no client and no connection
   * refers to any more.
   */
  private static final Map<Prepared, WeakReference<Prepared>> INTERNED = new WeakHashMap<>();

  private final String sql;
  private final byte[] types;
  private final StatementOptions options;

  /**
   * The same text and types without options, or this object itself if it has none; it caches the
   * parsed statements.
   */
  private final Prepared withoutOptions;

  private final int hash;
  private String name;

  /** Computed on first use. */
  private int memoryBytes;

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
   * Returns the shared object for this content without options.
   *
   * @param types the part of the Parse message after its text
   */
  static Prepared of(String sql, byte[] types) {
    return intern(new Prepared(sql, types));
  }

  /** Returns the same text as prepared under these options. */
  Prepared withOptions(StatementOptions options) {
    boolean same = options.equals(this.options) || options() == StatementOptions.ANY;
    return same ? this : intern(new Prepared(withoutOptions, options));
  }

  /**
   * Returns the options that apply when its text is parsed, or {@link StatementOptions#ANY} if they
   * do not matter.
   */
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

  /** Returns the bytes that count towards the memory limit of its client. */
  int memoryBytes() {
    if (memoryBytes == 0) {
      long bytes =
          (long) sql.length()
              + types.length
              + options.memoryBytes()
              + Sql.memoryBytes(statements());
      memoryBytes = (int) Math.min(Integer.MAX_VALUE / 2, OBJECT_BYTES + bytes);
    }
    return memoryBytes;
  }

  /** Returns its name on server connections. */
  String name() {
    if (name == null) {
      byte[] all =
          Sha256.of(sql.getBytes(StandardCharsets.UTF_8), SEPARATOR, types, options.digest());
      name = NAME_PREFIX + HexFormat.of().formatHex(all, 0, NAME_BYTES);
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
