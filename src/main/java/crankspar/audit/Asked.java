package crankspar.audit;

import crankspar.audit.Ledger.Kind;
import crankspar.audit.Stand.Origin;
import crankspar.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Asks poolers for their pages at their operators' address, or reads the ledgers of the dead. */
public final class Asked {
  /** A pooler that could not be asked, with why. */
  public static final class Mute extends Exception {
    Mute(String why) {
      super(why);
    }
  }

  private static final Duration WAIT = Duration.ofSeconds(2);
  private static final int CLOCKS = 5;

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(WAIT).build();

  /** All that one pooler tells, with its clock against this one's. */
  public Findings.View view(String address) throws Mute {
    Map<?, ?> standing = page(address, "stand");
    double offset = 0;
    double error = Double.POSITIVE_INFINITY;
    for (int i = 0;
        i < CLOCKS;
        i++) { // the quickest of a few: its error is half its way there and back
      long began = System.nanoTime();
      double before = System.currentTimeMillis();
      double theirs = number(page(address, "clock"), "now");
      double took = (System.nanoTime() - began) / 1e6;
      if (took / 2 < error) {
        error = took / 2;
        offset = theirs - (before + took / 2);
      }
    }
    var classes = new ArrayList<String>();
    list(standing, "classes").forEach(c -> classes.add(String.valueOf(c)));
    var stands = new ArrayList<Stand>();
    for (Object o : list(page(address, "stands"), "stands")) {
      stands.add(stand((Map<?, ?>) o));
    }
    var rows = new ArrayList<Ledger.Row>();
    for (Object next = 0L; next != null; ) {
      Map<?, ?> page = page(address, "rows?after=" + next);
      for (Object o : list(page, "rows")) {
        var r = (Map<?, ?>) o;
        var row =
            new Ledger.Row(
                (int) number(r, "stand"), String.valueOf(r.get("database")), classes.size());
        row.first = number(r, "first");
        row.last = number(r, "last");
        List<?> by = list(r, "by_class");
        for (int i = 0; i < by.size() && i < row.byClass.length; i++) {
          row.byClass[i] = ((Number) by.get(i)).longValue();
        }
        rows.add(row);
      }
      next = page.get("next");
    }
    var notices = new ArrayList<Auditor.Notice>();
    for (Object o : list(page(address, "drains"), "drains")) {
      var n = (Map<?, ?>) o;
      notices.add(
          new Auditor.Notice(
              String.valueOf(n.get("database")),
              number(n, "at"),
              Boolean.TRUE.equals(n.get("drains")),
              Origin.valueOf(String.valueOf(n.get("origin")).toUpperCase(Locale.ROOT))));
    }
    var touches = new ArrayList<Ledger.Touch>();
    for (Object o : list(page(address, "touches"), "touches")) {
      var t = (Map<?, ?>) o;
      touches.add(
          new Ledger.Touch(
              String.valueOf(t.get("request")),
              (int) number(t, "stand"),
              Kind.valueOf(String.valueOf(t.get("kind")).toUpperCase(Locale.ROOT)),
              String.valueOf(t.get("database")),
              (int) number(t, "class"),
              number(t, "at")));
    }
    return new Findings.View(
        String.valueOf(standing.get("pooler")),
        offset,
        error,
        String.valueOf(standing.get("state")),
        number(standing, "list_age_ms"),
        classes,
        stands,
        rows,
        touches,
        notices);
  }

  private static Stand stand(Map<?, ?> s) {
    return new Stand(
        (int) number(s, "number"),
        number(s, "at"),
        Origin.valueOf(String.valueOf(s.get("origin")).toUpperCase(Locale.ROOT)),
        String.valueOf(s.get("build")),
        hex(s, "configuration"),
        (int) number(s, "generation"),
        String.valueOf(s.get("discovery")),
        (int) number(s, "epoch"),
        (long) number(s, "revision"),
        hex(s, "content"),
        (long) number(s, "marks"),
        hex(s, "marked"),
        hex(s, "primaries"));
  }

  private static int hex(Map<?, ?> o, String key) {
    return Integer.parseUnsignedInt(String.valueOf(o.get(key)), 16);
  }

  private static double number(Map<?, ?> o, String key) {
    return o.get(key) instanceof Number n ? n.doubleValue() : 0;
  }

  private static List<?> list(Map<?, ?> o, String key) {
    return o.get(key) instanceof List<?> l ? l : List.of();
  }

  private Map<?, ?> page(String address, String page) throws Mute {
    try {
      HttpResponse<String> r =
          client.send(
              HttpRequest.newBuilder(URI.create("http://" + address + "/-/audit/" + page))
                  .timeout(WAIT)
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() == 404) {
        throw new Mute("no audit is set up there");
      }
      if (r.statusCode() != 200) {
        throw new Mute("answers " + r.statusCode());
      }
      return Json.object(r.body());
    } catch (IOException | IllegalArgumentException e) {
      throw new Mute(
          "no pooler answers there" + (e.getMessage() == null ? "" : ": " + e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new Mute("interrupted");
    }
  }

  /**
   * The ledgers of a folder, a view for each life; a file that is none is named by the exception.
   */
  public static List<Findings.View> files(Path folder) throws IOException {
    var all = new ArrayList<Findings.View>();
    for (Path file : LedgerFile.lives(folder)) {
      try {
        LedgerCodec.Read r = LedgerCodec.read(Files.readAllBytes(file));
        if (r.stands().isEmpty()) {
          continue; // it ended before it stood
        }
        all.add(
            new Findings.View(
                r.pooler() + "@" + file.getFileName(),
                0,
                0,
                null,
                Double.NaN,
                r.classes(),
                r.stands(),
                r.rows(),
                r.ends(),
                List.of()));
      } catch (LedgerCodec.Foreign e) {
        throw new IOException(file + ": " + e.getMessage());
      }
    }
    return all;
  }
}
