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
 * A prepared statement by its content: text and parameter types. Clients that prepare the same
 * content share one object and, on each server connection, one statement, whose name is a hash of
 * the content. Two clients that give one name to two texts never meet.
 */
final class Prepared {
  /** Before names that are made here; a client's own never reach a server through Parse. */
  static final String PREFIX = "cp_";

  private static final int NAME_BYTES = 16;

  /**
   * All that are in use anywhere; what no client and no connection holds is forgotten by the
   * collector.
   */
  private static final Map<Prepared, WeakReference<Prepared>> KNOWN = new WeakHashMap<>();

  private final String sql;
  private final byte[] types;
  private final int hash;
  private String name;
  private List<Sql.Statement> statements;

  private Prepared(String sql, byte[] types) {
    this.sql = sql;
    this.types = types;
    hash = 31 * sql.hashCode() + Arrays.hashCode(types);
  }

  /**
   * The one object for this content; {@code types} is the rest of a Parse message behind its text.
   */
  static synchronized Prepared of(String sql, byte[] types) {
    var asked = new Prepared(sql, types);
    WeakReference<Prepared> known = KNOWN.get(asked);
    Prepared found = known == null ? null : known.get();
    if (found == null) {
      found = asked;
      KNOWN.put(found, new WeakReference<>(found));
    }
    return found;
  }

  String sql() {
    return sql;
  }

  /** What it counts against a client's bound. */
  int bytes() {
    return sql.length() + types.length + 64;
  }

  /** Its name on servers. */
  String name() {
    if (name == null) {
      try {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        digest.update(sql.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        byte[] all = digest.digest(types);
        name = PREFIX + HexFormat.of().formatHex(all, 0, NAME_BYTES);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e); // every runtime has it
      }
    }
    return name;
  }

  Frame parse(String as) {
    return Frame.body().text(as).text(sql).bytes(types).as('P');
  }

  List<Sql.Statement> statements() {
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
            && Arrays.equals(types, p.types);
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
