import java.util.ArrayList;
import java.util.List;

/** Settings and lists of a small deployment, in the platform's words. */
final class Deployment {
  private Deployment() {}

  /** A server as discovery lists it. */
  record Member(String id, int port, String zone, boolean primary) {}

  /** Classes, bounds and limits in the platform's form. */
  static String settings() {
    return """
        {"Callers": {"MarksRetry": false},
         "Classes": [
          {"DedupScope": "all", "Gain": 3.0, "GiveUp": 600.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.2, "Name": "board", "Target": 200.0},
          {"DedupScope": "all", "Gain": 3.0, "GiveUp": 750.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "own", "Target": 250.0},
          {"DedupScope": "all", "Gain": 1.0, "GiveUp": 2000.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "check", "Target": 600.0},
          {"DedupScope": "all", "Gain": 6.0, "GiveUp": 8000.0, "Idempotency": "pure", "KeyTtl": 5000.0, "LateValue": 0.0, "Name": "report", "Target": 4000.0},
          {"DedupScope": "all", "Gain": 3.0, "GiveUp": 3000.0, "Idempotency": "side_effect", "KeyTtl": 5000.0, "LateValue": 0.3, "Name": "claim", "Target": 600.0}],
         "Discovery": "on_request",
         "Domain": {"Behind": "off", "ClassBound": [300.0, 0.0, 0.0, 0.0, 0.0], "CommitWaits": false, "CountedFrom": 0.0, "Patience": 0.0, "ReadLevel": ["bounded", "session", "fresh", "any", "write"], "RoleInList": "late", "SessionMarks": "carried", "TellsPosition": true},
         "Guarantees": {"AnswerSlack": 20.0, "AskEvery": 10000.0, "ColdFrom": 0.23, "DrainGrace": 250.0, "Fall": 1500.0, "FallMultiple": 4.0, "RampTime": 15000.0},
         "Limits": {"Cancelling": true, "ConnIdle": 30000.0, "DialTimeout": 250.0, "MaxOpen": 20000, "MaxRetryAfter": 2000.0, "MayDuplicate": false, "MayTell": false, "MostTries": 6, "Probes": true, "RetryAfter": false},
         "Locality": "east", "MyNumber": 0, "Siblings": 1, "Round": 5.0,
         "Prices": {"CrossZone": 0.055, "LateFail": 0.049, "Probe": 0.03, "Waste": 0.022},
         "Report": {"Fields": ["x0", "x1"], "How": "on_probe"},
         "Zones": ["east", "west", "south"]}""";
  }

  /** The list in discovery's form. */
  static String list(long revision, List<Member> members) {
    var entries = new ArrayList<String>();
    for (Member m : members) {
      entries.add(
          "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"%s\",\"flavor\":\"std-3core\",\"cell\":1,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0,\"role\":\"%s\"}"
              .formatted(m.id(), m.port(), m.zone(), m.primary() ? "primary" : "replica"));
    }
    return "{\"revision\":%d,\"complete\":true,\"members\":[%s]}"
        .formatted(revision, String.join(",", entries));
  }

  /** The platform's configuration of one pooler. */
  static String platform(int listen, int discovery, String known) {
    return """
        {"name": "n1", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d", "seed": "8c1f30d27a5be964",
         "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
         "known": %s,
         "settings": %s}"""
        .formatted(listen, discovery, known, settings());
  }

  /** An operator's file with a pooling front before one primary. */
  static String pooling(int listen, int primary) {
    return """
        name = n1
        pooling {
          listen = "127.0.0.1:%d"
          members = %s
          databases { league { mode = transaction, class = claim, places { most = 20 } } }
        }
        settings = %s
        """
        .formatted(
            listen, list(1, List.of(new Member("db-1", primary, "east", true))), settings());
  }
}
