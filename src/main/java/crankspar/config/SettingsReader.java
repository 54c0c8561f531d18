package crankspar.config;

import crankspar.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings object of one instance. The simulator's first message and the platform's
 * configuration hold the same object under the same names, so both are read here.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /** The settings; an IllegalArgumentException names the key that is missing or out of range. */
  public static Router.Settings read(Map<?, ?> env, long seed) {
    var e = new Keys(env);
    Keys domain = e.part("Domain");
    Keys rules = e.part("Guarantees");
    Keys limits = e.part("Limits");
    Keys prices = e.part("Prices");
    List<?> levels = domain.list("ReadLevel");
    List<?> bounds = domain.list("ClassBound");
    var classes = new ArrayList<Router.RequestClass>();
    for (Object one : e.list("Classes")) {
      var c = new Keys(as(Map.class, one, "Classes"));
      int i = classes.size();
      classes.add(
          new Router.RequestClass(
              c.text("Name"),
              c.number("Target"),
              c.number("GiveUp"),
              c.number("Gain"),
              c.number("LateValue", 0),
              c.word(
                  "Idempotency",
                  Map.of(
                      "pure",
                      Router.Repeat.SAFE,
                      "token",
                      Router.Repeat.KEYED,
                      "side_effect",
                      Router.Repeat.UNSAFE)),
              "all".equals(c.map.get("DedupScope"))
                  ? Router.DedupScope.ALL
                  : Router.DedupScope.GROUP,
              c.number("KeyTtl", 0),
              word(
                  "ReadLevel",
                  i < levels.size() ? levels.get(i) : null,
                  Map.of(
                      "write",
                      Router.Freshness.WRITE,
                      "fresh",
                      Router.Freshness.FRESH,
                      "session",
                      Router.Freshness.SESSION,
                      "bounded",
                      Router.Freshness.BOUNDED,
                      "any",
                      Router.Freshness.ANY)),
              i < bounds.size() ? as(Number.class, bounds.get(i), "ClassBound").doubleValue() : 0));
    }
    var zones = new ArrayList<String>();
    e.list("Zones").forEach(z -> zones.add(as(String.class, z, "Zones")));
    return new Router.Settings(
        seed,
        e.text("Locality"),
        zones,
        (int) e.number("MyNumber", 0),
        (int) e.number("Siblings"),
        e.number("Round"),
        e.word("Discovery", Map.of("on_request", true, "pushed", false)),
        classes,
        domain.word(
            "Behind",
            Map.of(
                "off",
                Router.LaggingRead.ANSWERS,
                "refuse",
                Router.LaggingRead.REFUSES,
                "wait",
                Router.LaggingRead.WAITS)),
        domain.number("Patience", 0),
        domain.word(
            "RoleInList",
            Map.of(
                "late",
                Router.RoleInList.LATE,
                "start",
                Router.RoleInList.AT_START,
                "off",
                Router.RoleInList.NEVER)),
        domain.word(
            "SessionMarks",
            Map.of(
                "carried",
                Router.SessionMarks.CARRIED,
                "remembered",
                Router.SessionMarks.REMEMBERED)),
        domain.flag("TellsPosition", false),
        domain.flag("CommitWaits", false),
        domain.number("CountedFrom"),
        e.part("Report")
            .word(
                "How",
                Map.of(
                    "inline",
                    Router.Reports.IN_ANSWERS,
                    "on_probe",
                    Router.Reports.IN_PROBES,
                    "off",
                    Router.Reports.NONE)),
        new Router.Guarantees(
            rules.number("AnswerSlack", 0),
            rules.number("AskEvery", 0),
            rules.number("ColdFrom"),
            rules.number("RampTime"),
            rules.number("DrainGrace"),
            rules.number("FallMultiple"),
            rules.number("Fall"),
            rules.flag("SoftRemoval", false)),
        new Router.Limits(
            (int) limits.number("MostTries"),
            limits.flag("MayDuplicate", false),
            limits.flag("Cancelling", false),
            limits.flag("Probes", false),
            limits.flag("RetryAfter", false),
            limits.number("MaxRetryAfter", 0),
            limits.number("DialTimeout", 0),
            limits.number("ConnIdle", 0),
            (int) limits.number("MaxOpen", Integer.MAX_VALUE),
            limits.flag("MayTell", false)),
        new Router.Prices(
            prices.number("CrossZone", 0),
            prices.number("Waste", 0),
            prices.number("Probe", 0),
            prices.number("LateFail", 0),
            prices.number("Peer", 0)));
  }

  private static <T> T as(Class<T> type, Object value, String field) {
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException(
          (value == null ? "missing field " : "wrong type of field ") + field);
    }
    return type.cast(value);
  }

  private static <T> T word(String key, Object value, Map<String, T> words) {
    T found = words.get(as(String.class, value, key));
    if (found == null) {
      throw new IllegalArgumentException("setting " + key + " has the unknown value " + value);
    }
    return found;
  }

  /** The values of a settings object, by name. */
  private record Keys(Map<?, ?> map) {
    Keys part(String key) {
      return new Keys(as(Map.class, map.get(key), key));
    }

    List<?> list(String key) {
      return as(List.class, map.get(key), key);
    }

    String text(String key) {
      return as(String.class, map.get(key), key);
    }

    double number(String key) {
      return as(Number.class, map.get(key), key).doubleValue();
    }

    double number(String key, double absent) {
      return map.get(key) == null ? absent : number(key);
    }

    boolean flag(String key, boolean absent) {
      return map.get(key) == null ? absent : as(Boolean.class, map.get(key), key);
    }

    <T> T word(String key, Map<String, T> words) {
      return SettingsReader.word(key, map.get(key), words);
    }
  }
}
