package crankspar;

import crankspar.config.SettingsReader;
import crankspar.json.Json;
import java.io.IOException;

/** The platform's settings for tests, in its configuration format. */
public final class TestSettings {
  public static final String JSON =
      """
            {"Callers": {"MarksRetry": false},
             "Classes": [
              {"DedupScope": "all", "Gain": 3.0, "GiveUp": 600.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.2, "Name": "scoreboard", "Target": 200.0},
              {"DedupScope": "all", "Gain": 3.0, "GiveUp": 750.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "my-roster", "Target": 250.0},
              {"DedupScope": "all", "Gain": 1.0, "GiveUp": 2000.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "waiver-check", "Target": 600.0},
              {"DedupScope": "all", "Gain": 6.0, "GiveUp": 8000.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "season-report", "Target": 4000.0},
              {"DedupScope": "all", "Gain": 3.0, "GiveUp": 3000.0, "Idempotency": "side_effect", "KeyTtl": 5000.0, "LateValue": 0.3, "Name": "trade-claim", "Target": 600.0}],
             "Discovery": "on_request",
             "Domain": {"Behind": "off", "ClassBound": [300.0, 0.0, 0.0, 0.0, 0.0], "CommitWaits": false, "CountedFrom": 0.0, "Patience": 0.0,
              "ReadLevel": ["bounded", "session", "fresh", "any", "write"], "RoleInList": "late", "SessionMarks": "carried", "TellsPosition": true},
             "Guarantees": {"AnswerSlack": 20.0, "AskEvery": 10000.0, "ColdFrom": 0.23, "DrainGrace": 250.0, "Fall": 1500.0, "FallMultiple": 4.0, "RampTime": 15000.0},
             "Limits": {"Cancelling": true, "ConnIdle": 30000.0, "DialTimeout": 250.0, "MaxOpen": 20000, "MaxRetryAfter": 2000.0, "MayDuplicate": false, "MostTries": 6, "Probes": true, "RetryAfter": false},
             "Locality": "burnaby", "MyNumber": 0,
             "Prices": {"CrossZone": 0.055, "LateFail": 0.049, "Probe": 0.03, "Waste": 0.022},
             "Report": {"Fields": ["x0", "x1"], "How": "on_probe"},
             "Round": 5.0, "Siblings": 1, "Zones": ["burnaby", "surrey", "richmond"]}""";

  private TestSettings() {}

  public static Router.Settings platform() {
    return platform(1);
  }

  /** The platform's settings with one part of their text replaced. */
  public static Router.Settings with(String was, String is) {
    if (!JSON.contains(was)) {
      throw new IllegalArgumentException(was);
    }
    try {
      return SettingsReader.read(Json.object(JSON.replace(was, is)), 7);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Settings for this many poolers, which may exchange reports at the platform's price. */
  public static Router.Settings platform(int poolers) {
    return platform(poolers, 0);
  }

  public static Router.Settings platform(int poolers, int me) {
    try {
      return SettingsReader.read(
          Json.object(
              JSON.replace("\"MyNumber\": 0", "\"MyNumber\": " + me)
                  .replace("\"Siblings\": 1,", "\"Siblings\": " + poolers + ",")
                  .replace("\"MayDuplicate\"", "\"MayTell\": true, \"MayDuplicate\"")
                  .replace("\"Probe\": 0.03", "\"Peer\": 0.01, \"Probe\": 0.03")),
          7);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
