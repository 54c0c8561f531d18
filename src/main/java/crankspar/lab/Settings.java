package crankspar.lab;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One session's settings on the stand-in, with transactions and savepoints, by plain copies of the
 * whole map.
 */
final class Settings {
  /** Those of which a session hears when they change. */
  static final Set<String> REPORTED =
      Set.of(
          "TimeZone",
          "client_encoding",
          "DateStyle",
          "application_name",
          "default_transaction_read_only",
          "IntervalStyle",
          "standard_conforming_strings");

  private static final Map<String, String> DEFAULTS = new LinkedHashMap<>();

  static {
    DEFAULTS.put("TimeZone", "UTC");
    DEFAULTS.put("client_encoding", "UTF8");
    DEFAULTS.put("DateStyle", "ISO, MDY");
    DEFAULTS.put("IntervalStyle", "postgres");
    DEFAULTS.put("application_name", "");
    DEFAULTS.put("standard_conforming_strings", "on");
    DEFAULTS.put("default_transaction_read_only", "off");
    DEFAULTS.put("default_transaction_isolation", "read committed");
    DEFAULTS.put("transaction_isolation", "read committed");
    DEFAULTS.put("transaction_read_only", "off");
    DEFAULTS.put("search_path", "\"$user\", public");
    DEFAULTS.put("extra_float_digits", "1");
    DEFAULTS.put("statement_timeout", "0");
    DEFAULTS.put("lock_timeout", "0");
    DEFAULTS.put("work_mem", "4MB");
    DEFAULTS.put("role", "none");
    DEFAULTS.put("session_authorization", "client");
  }

  private static final Map<String, String> NAMES = new HashMap<>();

  static {
    DEFAULTS.keySet().forEach(n -> NAMES.put(n.toLowerCase(Locale.ROOT), n));
  }

  private record Mark(String name, Map<String, String> kept, Map<String, String> local) {}

  private Map<String, String> committed = new TreeMap<>();
  private Map<String, String> now = new TreeMap<>();
  private Map<String, String> local = new TreeMap<>();
  private final ArrayDeque<Mark> marks = new ArrayDeque<>();

  /** The setting's own name, or null where there is none; names with a dot are anybody's. */
  static String name(String given) {
    String lower = given.toLowerCase(Locale.ROOT);
    return lower.contains(".") ? lower : NAMES.get(lower);
  }

  String get(String name) {
    return local.getOrDefault(name, now.getOrDefault(name, DEFAULTS.getOrDefault(name, "")));
  }

  /** All that differ from the defaults. */
  Map<String, String> set() {
    var all = new TreeMap<>(now);
    all.putAll(local);
    all.entrySet().removeIf(e -> e.getValue().equals(DEFAULTS.get(e.getKey())));
    return all;
  }

  void set(String name, String value, boolean onlyHere) {
    if (onlyHere) {
      local.put(name, value);
    } else {
      now.put(name, value);
      local.remove(name);
    }
  }

  void reset(String name) {
    now.remove(name);
    local.remove(name);
  }

  void resetAll() {
    now.clear();
    local.clear();
  }

  void commit() {
    committed = new TreeMap<>(now);
    local.clear();
    marks.clear();
  }

  void rollback() {
    now = new TreeMap<>(committed);
    local.clear();
    marks.clear();
  }

  void savepoint(String name) {
    marks.push(new Mark(name, new TreeMap<>(now), new TreeMap<>(local)));
  }

  boolean release(String name) {
    return known(name) && cut(name) != null;
  }

  boolean rollbackTo(String name) {
    if (!known(name)) {
      return false;
    }
    Mark m = cut(name);
    now = new TreeMap<>(m.kept());
    local = new TreeMap<>(m.local());
    marks.push(new Mark(name, m.kept(), m.local()));
    return true;
  }

  private boolean known(String name) {
    return marks.stream().anyMatch(m -> m.name().equals(name));
  }

  private Mark cut(String name) {
    Mark m;
    do {
      m = marks.pop();
    } while (!m.name().equals(name));
    return m;
  }
}
