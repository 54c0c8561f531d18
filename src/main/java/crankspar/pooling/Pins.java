package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.Set;
import java.util.TreeSet;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Reasons why a client must keep its server connection beyond a transaction: server-side state that
 * the pooler cannot recreate on another connection. Each kind of pin has a statement or event that
 * releases it; a client without pins may get another connection. Immutable.
 *
 * @param held the number of times that each state is held, by kind and name, such as {@code LISTEN
 *     news}
 */
public record Pins(PMap<String, Integer> held) {
  /** Kinds of pins, by the names that operators see and use in the setting that refuses them. */
  public enum Kind {
    /** LISTEN, until UNLISTEN of the channel or UNLISTEN *. */
    LISTEN,
    /** A cursor WITH HOLD, until it is closed. */
    HOLD,
    /** A temporary table, until it is dropped. */
    TEMPORARY,
    /** A session-level advisory lock, until it is unlocked as often as it was acquired. */
    LOCK,
    /** LOAD, or state of several kinds from one statement: until the connection ends. */
    LOAD,
    /** A setting changed to a value that its statement does not show, until DISCARD ALL. */
    SETTING
  }

  static final Pins NONE = new Pins(HashTreePMap.empty());

  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Returns the kinds of the current pins. */
  Set<Kind> kinds() {
    var kinds = new TreeSet<Kind>();
    held.keySet().forEach(k -> kinds.add(kind(k)));
    return kinds;
  }

  private static Kind kind(String key) {
    return Kind.valueOf(key.substring(0, key.indexOf(' ')));
  }

  /** Returns the kind of pin that a statement would add, or null. */
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

  /** Returns the key under which a statement that adds a pin is held. */
  static String key(Statement s) {
    return kindOf(s) + " " + (s.name() == null ? "" : s.name());
  }

  /** Returns the length of all keys (characters). */
  long namesLength() {
    long length = 0;
    for (String key : held.keySet()) {
      length += key.length();
    }
    return length;
  }

  /** Returns the pins after a statement has completed. */
  Pins apply(Statement s) {
    Kind kind = kindOf(s);
    if (kind != null) {
      String key = key(s);
      int times = kind == Kind.LOCK ? held.getOrDefault(key, 0) + 1 : 1;
      return new Pins(held.plus(key, times));
    }
    return switch (s.kind()) {
      case UNLISTEN -> without(Kind.LISTEN, s.name());
      case UNLISTEN_ALL -> withoutAll(Kind.LISTEN);
      case CLOSE -> without(Kind.HOLD, s.name());
      case CLOSE_ALL -> withoutAll(Kind.HOLD);
      case DROP_TABLE -> without(Kind.TEMPORARY, s.name());
      case DISCARD_TEMP -> withoutAll(Kind.TEMPORARY);
      case UNLOCK_SESSION -> unlock(Kind.LOCK + " " + s.name());
      case UNLOCK_ALL -> withoutAll(Kind.LOCK);
      case DISCARD_ALL -> retainOnly(Kind.LOAD);
      default -> this;
    };
  }

  private Pins unlock(String key) {
    Integer times = held.get(key);
    return times == null ? this : new Pins(times > 1 ? held.plus(key, times - 1) : held.minus(key));
  }

  private Pins without(Kind kind, String name) {
    String key = kind + " " + name;
    return held.containsKey(key) ? new Pins(held.minus(key)) : this;
  }

  private Pins withoutAll(Kind kind) {
    PMap<String, Integer> left = held;
    for (String key : held.keySet()) {
      if (kind(key) == kind) {
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
   * Returns the pins after a rollback. Session-level locks and loaded libraries are not
   * transactional, so changes to them persist; all other pins return to {@code before}.
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
