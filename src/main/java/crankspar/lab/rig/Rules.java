package crankspar.lab.rig;

import crankspar.lab.Recording.Executed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The rules, held against what the stand-ins have recorded, all on the rig's one clock. Each says
 * in words what broke it. What a load's own checkers see (age, a session's own writes) is handed
 * in.
 */
public final class Rules {
  /**
   * A drain that discovery has to tell counts as told so long (ms) after it, whether it came or
   * not.
   */
  static final double TOLD_MOST = 6000;

  /** New work may reach a database so long (ms) after: the rule's 250 and the slack on sockets. */
  public static final double DRAIN_MOST = 300;

  /** Requests beyond a cold database's budget that are put down to chance, whatever it is. */
  private static final double COLD_ALLOWANCE = 3;

  private static final int WORDS_MOST = 20;

  /**
   * A drain as discovery decided it and wrote it: {@code told} by pooler (its ids' prefix), {@code
   * until} it ended or infinity.
   */
  public record Drain(String database, double decided, double until, Map<String, Double> told) {}

  /** A cold start, and the rule that holds for it by the settings. */
  public record Cold(String database, double at, ColdStartRule rule) {}

  /**
   * What is known of the requests of one pooler's clients. {@code excused}: it was killed, stopped
   * or cut off from them meanwhile.
   */
  public record Asked(String pooler, long unanswered, boolean excused) {}

  private static final Pattern ID = Pattern.compile("/\\* id=([^.,]+)\\.([0-9]+)");

  private final List<String> broken = new ArrayList<>();
  private final Map<String, Long> counts = new LinkedHashMap<>();

  public List<String> broken() {
    return broken;
  }

  public Map<String, Long> counts() {
    return counts;
  }

  private void say(String rule, String what) {
    counts.merge(rule, 1L, Long::sum);
    if (broken.size() < WORDS_MOST) {
      broken.add(rule + ": " + what);
    }
  }

  /** Every request has its one final answer before its client goes. */
  public Rules answers(List<Asked> asked) {
    for (Asked a : asked) {
      if (a.unanswered() > 0 && !a.excused()) {
        say("answer", a.unanswered() + " requests to " + a.pooler() + " got none");
      }
    }
    return this;
  }

  /** A write that may have run is never sent again. */
  public Rules once(List<Executed> executed) {
    var seen = new HashMap<String, Executed>();
    for (Executed e : executed) {
      Matcher m = ID.matcher(e.sql);
      if (e.sql.contains("INSERT") && m.find()) {
        Executed first = seen.putIfAbsent(m.group(), e);
        if (first != null) {
          say(
              "once",
              m.group(1) + "." + m.group(2) + " ran at " + first.server + " and at " + e.server);
        }
      }
    }
    return this;
  }

  /** No new work 250 ms after a pooler was told that a database drains. */
  public Rules drains(List<Drain> drains, List<Executed> executed) {
    for (Drain d : drains) {
      for (Executed e : executed) {
        Matcher m = ID.matcher(e.sql);
        if (!e.server.equals(d.database()) || e.at >= d.until() || !m.find()) {
          continue;
        }
        double told =
            Math.min(
                d.decided() + TOLD_MOST,
                d.told().getOrDefault(m.group(1), Double.POSITIVE_INFINITY));
        if (e.at > told + DRAIN_MOST) {
          say(
              "drain",
              m.group(1)
                  + " sent "
                  + m.group(2)
                  + " to "
                  + d.database()
                  + " "
                  + Math.round(e.at - told)
                  + " ms after it was told");
        }
      }
    }
    return this;
  }

  /**
   * No cold database is sent more than its budget in any window, by all poolers together; {@code
   * workMs} tells how long a statement keeps a core of a warm one.
   */
  public Rules cold(List<Cold> starts, List<Executed> executed, ToDoubleFunction<Executed> workMs) {
    for (Cold c : starts) {
      List<ColdStartRule.Sent> sent =
          executed.stream()
              .filter(e -> e.server.equals(c.database()))
              .map(e -> new ColdStartRule.Sent(e.at, workMs.applyAsDouble(e), e.sql))
              .toList();
      ColdStartRule.Window worst = c.rule().worst(c.at(), sent, budget -> COLD_ALLOWANCE);
      if (worst.share() > 1) {
        say("cold", c.database() + " was sent " + worst);
      }
    }
    return this;
  }

  /** What the load's checkers saw of ages and of sessions' own writes. */
  public Rules fresh(long stale, long unseen, List<String> words) {
    for (int i = 0; i < stale + unseen && i < WORDS_MOST; i++) {
      say(i < stale ? "stale" : "session", i < words.size() ? words.get(i) : "one more");
    }
    return this;
  }
}
