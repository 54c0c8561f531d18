package crankspar.lab.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What came of the requests: latency from when each was meant to leave, service time from when it
 * left, how late it left, and outcomes, by class and by second. One thread owns it; those of
 * several threads are added up. Memory does not grow with the number of requests.
 */
public final class Recorder {
  /** How a request ended. */
  public enum Outcome {
    OK,
    REFUSED,
    FAILED,
    UNANSWERED
  }

  /** Ten minutes in microseconds, to three digits. */
  private static final long MOST = 600_000_000L;

  private static final int DIGITS = 3;
  private static final int SECONDS_MOST = 24 * 3600;

  /** One second of a run. */
  public static final class Second {
    public final long[] outcomes = new long[Outcome.values().length];
    public final Histogram latency = new Histogram(MOST, 2);
  }

  private final List<String> kinds;
  private final Histogram[] latency;
  private final Histogram[] service;
  private final Histogram late = new Histogram(MOST, DIGITS);
  private final long[][] outcomes;
  private final List<Second> seconds = new ArrayList<>();
  private final double lateMost;
  private long sent, tooLate, unsent;

  public Recorder(List<String> kinds, double lateMost) {
    this.kinds = List.copyOf(kinds);
    this.lateMost = lateMost;
    latency = new Histogram[kinds.size()];
    service = new Histogram[kinds.size()];
    outcomes = new long[kinds.size()][Outcome.values().length];
    for (int i = 0; i < latency.length; i++) {
      latency[i] = new Histogram(MOST, DIGITS);
      service[i] = new Histogram(MOST, DIGITS);
    }
  }

  /** It left so much later (ms) than it was meant to. */
  public void left(double ms) {
    sent++;
    tooLate += ms > lateMost ? 1 : 0;
    late.recordValue(micros(ms));
  }

  /** It ended; times are ms from the start. */
  public void ended(int kind, double meant, double left, double now, Outcome outcome) {
    outcomes[kind][outcome.ordinal()]++;
    unsent += outcome == Outcome.UNANSWERED && Double.isNaN(left) ? 1 : 0;
    int second = (int) Math.min(SECONDS_MOST, meant / 1000);
    while (seconds.size() <= second) {
      seconds.add(new Second());
    }
    seconds.get(second).outcomes[outcome.ordinal()]++;
    if (outcome == Outcome.OK) {
      latency[kind].recordValue(micros(now - meant));
      service[kind].recordValue(micros(now - left));
      seconds.get(second).latency.recordValue(micros(now - meant));
    }
  }

  private static long micros(double ms) {
    return Math.min(MOST, Math.max(0, Math.round(ms * 1000)));
  }

  /** Adds another thread's. */
  public void add(Recorder other) {
    sent += other.sent;
    tooLate += other.tooLate;
    unsent += other.unsent;
    late.add(other.late);
    for (int i = 0; i < latency.length; i++) {
      latency[i].add(other.latency[i]);
      service[i].add(other.service[i]);
      for (int k = 0; k < outcomes[i].length; k++) {
        outcomes[i][k] += other.outcomes[i][k];
      }
    }
    for (int s = 0; s < other.seconds.size(); s++) {
      while (seconds.size() <= s) {
        seconds.add(new Second());
      }
      seconds.get(s).latency.add(other.seconds.get(s).latency);
      for (int k = 0; k < Outcome.values().length; k++) {
        seconds.get(s).outcomes[k] += other.seconds.get(s).outcomes[k];
      }
    }
  }

  public long sent() {
    return sent;
  }

  public long ended() {
    long n = 0;
    for (long[] kind : outcomes) {
      for (long o : kind) {
        n += o;
      }
    }
    return n;
  }

  /** Those of the unanswered that no connection took: nobody owed them an answer. */
  public long unsent() {
    return unsent;
  }

  /** The share of sends that left too late. */
  public double tooLate() {
    return sent == 0 ? 0 : tooLate / (double) sent;
  }

  public long count(Outcome o) {
    long n = 0;
    for (long[] kind : outcomes) {
      n += kind[o.ordinal()];
    }
    return n;
  }

  public List<Second> seconds() {
    return seconds;
  }

  /** All classes' latency, or service time, together. */
  public Histogram all(boolean fromMeant) {
    var sum = new Histogram(MOST, DIGITS);
    for (Histogram h : fromMeant ? latency : service) {
      sum.add(h);
    }
    return sum;
  }

  /** Percentiles in ms, by name. */
  public Map<String, Double> figures() {
    var all = new LinkedHashMap<String, Double>();
    percentiles(all, "latency", all(true));
    percentiles(all, "service", all(false));
    percentiles(all, "late", late);
    for (int i = 0; i < kinds.size(); i++) {
      percentiles(all, kinds.get(i), latency[i]);
    }
    return all;
  }

  private static void percentiles(Map<String, Double> all, String name, Histogram h) {
    for (double p : new double[] {50, 90, 99, 99.9, 100}) {
      String label =
          p == 100
              ? "max"
              : "p" + (p == Math.rint(p) ? Integer.toString((int) p) : Double.toString(p));
      all.put(
          name + "_" + label + "_ms",
          h.getTotalCount() == 0 ? Double.NaN : h.getValueAtPercentile(p) / 1000.0);
    }
  }

  /** The whole distribution in HdrHistogram's own text, ms. */
  public void write(PrintStream out) {
    all(true).outputPercentileDistribution(out, 1000.0);
  }
}
