package crankspar.lab;

import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigRenderOptions;
import crankspar.Router;
import crankspar.config.SettingsReader;

/** The five classes of the brief, for operators' files of experiments. */
public final class LabSettings {
  private LabSettings() {}

  /**
   * {@code settings} in the words of the operator's file; {@code siblings} poolers share the
   * servers.
   */
  static String text(int siblings) {
    return """
            settings {
              Callers { MarksRetry = false }
              Classes = [
                {DedupScope = all, Gain = 3.0, GiveUp = 600.0, Idempotency = pure, KeyTtl = 5000.0, LateValue = 0.2, Name = board, Target = 200.0}
                {DedupScope = all, Gain = 3.0, GiveUp = 750.0, Idempotency = pure, KeyTtl = 5000.0, LateValue = 0.0, Name = own, Target = 250.0}
                {DedupScope = all, Gain = 1.0, GiveUp = 2000.0, Idempotency = pure, KeyTtl = 5000.0, LateValue = 0.0, Name = check, Target = 600.0}
                {DedupScope = all, Gain = 6.0, GiveUp = 8000.0, Idempotency = pure, KeyTtl = 5000.0, LateValue = 0.0, Name = report, Target = 4000.0}
                {DedupScope = all, Gain = 3.0, GiveUp = 3000.0, Idempotency = side_effect, KeyTtl = 5000.0, LateValue = 0.3, Name = claim, Target = 600.0}
              ]
              Discovery = on_request
              Domain { Behind = off, ClassBound = [300.0, 0.0, 0.0, 0.0, 0.0], CommitWaits = false, CountedFrom = 0.0, Patience = 0.0
                ReadLevel = [bounded, session, fresh, any, write], RoleInList = late, SessionMarks = carried, TellsPosition = true }
              Guarantees { AnswerSlack = 20.0, AskEvery = 10000.0, ColdFrom = 0.23, DrainGrace = 250.0, Fall = 1500.0, FallMultiple = 4.0, RampTime = 15000.0 }
              Limits { Cancelling = true, ConnIdle = 30000.0, DialTimeout = 250.0, MaxOpen = 20000, MaxRetryAfter = 2000.0, MayDuplicate = false, MostTries = 6
                Probes = true, RetryAfter = false }
              Locality = east, MyNumber = 0
              Prices { CrossZone = 0.055, LateFail = 0.049, Probe = 0.03, Waste = 0.022 }
              Report { Fields = [x0, x1], How = on_probe }
              Round = 5.0, Siblings = SIBLINGS, Zones = [east, west, south]
            }
            """
        .replace("SIBLINGS", Integer.toString(siblings));
  }

  /** The same as the platform gives them, where poolers may tell each other at its price. */
  public static Router.Settings platform(int siblings) {
    return SettingsReader.read(platform(siblings, 0, "east").unwrapped(), 1);
  }

  /** One pooler's settings in the words of the platform's configuration. */
  public static String json(int siblings, int me, String zone) {
    return platform(siblings, me, zone).render(ConfigRenderOptions.concise());
  }

  private static ConfigObject platform(int siblings, int me, String zone) {
    return ConfigFactory.parseString(
            text(siblings)
                + "settings { Limits.MayTell = true, Prices.Peer = 0.01, MyNumber = "
                + me
                + ", Locality = "
                + zone
                + " }")
        .resolve()
        .getObject("settings");
  }

  /**
   * What the settings tell of a cold start.
   *
   * @param from share of its capacity that a database starts with
   * @param multiple times its present capacity that it bears for {@code windowMs}
   * @param rampMs time until it is warm
   */
  public record ColdStart(double from, double multiple, double windowMs, double rampMs) {}

  /** The platform's settings with another cold start. */
  static Router.Settings coldStart(int siblings, ColdStart start) {
    return SettingsReader.read(
        ConfigFactory.parseString(guarantees(start))
            .withFallback(platform(siblings, 0, "east"))
            .root()
            .unwrapped(),
        1);
  }

  /** The same as {@link #json(int, int, String)}, with another cold start. */
  public static String json(int siblings, int me, String zone, ColdStart start) {
    return ConfigFactory.parseString(guarantees(start))
        .withFallback(platform(siblings, me, zone))
        .root()
        .render(ConfigRenderOptions.concise());
  }

  private static String guarantees(ColdStart start) {
    return "Guarantees { ColdFrom = "
        + start.from()
        + ", FallMultiple = "
        + start.multiple()
        + ", Fall = "
        + start.windowMs()
        + ", RampTime = "
        + start.rampMs()
        + " }";
  }

  static String member(String id, int port, boolean primary) {
    return "{id = "
        + id
        + ", host_port = \"127.0.0.1:"
        + port
        + "\", locality = east, flavor = std, cell = 1, phase = up, size = 1.0,"
        + " up_since_ms = 0, role = "
        + (primary ? "primary" : "replica")
        + "}";
  }
}
