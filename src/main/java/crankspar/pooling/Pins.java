package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.Set;
import java.util.TreeSet;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What holds a client to its connection beyond a transaction: state of the server's that no message
 * carries to another connection. Each pin has a way out; a client without pins may be given another
 * connection. Immutable.
 *
 * @param held what holds, such as {@code LISTEN news}, with how many times
 */
public record Pins(PMap<String, Integer> held) {
  /** The kinds, by the names that operators read and refuse. */
  public enum Kind {
    /** LISTEN, until UNLISTEN of the channel or of all. */
    LISTEN,
    /** A cursor WITH HOLD, until it is closed. */
    HOLD,
    /** A temporary table, until it is dropped. */
    TEMPORARY,
    /** A session's advisory lock, until it is unlocked as often as it was taken. */
    LOCK,
    /** LOAD: until the connection ends. */
    LOAD,
    /** A setting that was changed in a way that its statement does not tell: until DISCARD ALL. */
    SETTING
  }

  static final Pins NONE = new Pins(HashTreePMap.empty());

  boolean isEmpty() {
    return held.isEmpty();
  }

  /** The kinds that hold now. */
  Set<Kind> kinds() {
    var kinds = new TreeSet<Kind>();
    held.keySet().forEach(k -> kinds.add(kind(k)));
    return kinds;
  }

  private static Kind kind(String key) {
    return Kind.valueOf(key.substring(0, key.indexOf(' ')));
  }

  /** What a statement would pin, or null. */
  static Kind kindOf(Statement s) {
    return switch (s.kind()) {
      case LISTEN -> Kind.LISTEN;
      case DECLARE_HOLD -> Kind.HOLD;
      case CREATE_TEMP -> Kind.TEMPORARY;
      case LOCK_SESSION -> Kind.LOCK;
      case LOAD -> Kind.LOAD;
      case SET_UNKNOWN -> Kind.SETTING;
      default -> null;
    };
  }

  /** After a statement has been done. */
  Pins apply(Statement s) {
    Kind kind = kindOf(s);
    if (kind != null) {
      String key = kind + " " + (s.name() == null ? "" : s.name());
      int times = kind == Kind.LOCK ? held.getOrDefault(key, 0) + 1 : 1;
      return new Pins(held.plus(key, times));
    }
    return switch (s.kind()) {
      case UNLISTEN -> without(Kind.LISTEN, s.name());
      case UNLISTEN_ALL -> without(Kind.LISTEN, null);
      case CLOSE -> without(Kind.HOLD, s.name());
      case CLOSE_ALL -> without(Kind.HOLD, null);
      case DROP_TABLE -> without(Kind.TEMPORARY, s.name());
      case DISCARD_TEMP -> without(Kind.TEMPORARY, null);
      case UNLOCK_SESSION -> unlock(Kind.LOCK + " " + s.name());
      case UNLOCK_ALL -> without(Kind.LOCK, null);
      case DISCARD_ALL -> retainOnly(Kind.LOAD);
      default -> this;
    };
  }

  private Pins unlock(String key) {
    Integer times = held.get(key);
    return times == null ? this : new Pins(times > 1 ? held.plus(key, times - 1) : held.minus(key));
  }

  private Pins without(Kind kind, String name) {
    PMap<String, Integer> left = held;
    for (String key : held.keySet()) {
      if (kind(key) == kind && (name == null || key.equals(kind + " " + name))) {
        left = left.minus(key);
      }
    }
    return left == held ? this : new Pins(left);
  }

  private Pins retainOnly(Kind kind) {
    PMap<String, Integer> left = held;
    for (String key : held.keySet()) {
      left = kind(key) == kind ? left : left.minus(key);
    }
    return new Pins(left);
  }

  /**
   * After a rollback: session locks and loaded libraries are not given back by it, taken or let go.
   */
  static Pins afterRollback(Pins before, Pins after) {
    if (before == after) {
      return before;
    }
    PMap<String, Integer> left = HashTreePMap.empty();
    for (var e : before.held.entrySet()) {
      left = survivesRollback(e.getKey()) ? left : left.plus(e.getKey(), e.getValue());
    }
    for (var e : after.held.entrySet()) {
      left = survivesRollback(e.getKey()) ? left.plus(e.getKey(), e.getValue()) : left;
    }
    return new Pins(left);
  }

  private static boolean survivesRollback(String key) {
    return kind(key) == Kind.LOCK || kind(key) == Kind.LOAD;
  }
}
