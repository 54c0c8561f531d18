package crankspar.audit;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.json.Json;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/**
 * The audit's pages as JSON, as operators' calls answer them. Each is bounded: rows come {@link
 * #ROWS} at a time.
 */
public final class Pages {
  static final int ROWS = 500;

  private interface Body {
    void write(JsonGenerator g) throws IOException;
  }

  private Pages() {}

  /** Null where there is no such page, or a number in the query cannot be read. */
  public static String page(Auditor a, String page, Map<String, String> query) {
    return switch (page) {
      case "clock" -> object(g -> g.writeNumberField("now", a.now()));
      case "stand" -> object(g -> standing(g, a));
      case "stands" ->
          object(
              g -> {
                g.writeArrayFieldStart("stands");
                for (Stand s : a.stands().all()) {
                  stand(g, s);
                }
                g.writeEndArray();
              });
      case "rows" -> rows(a, query.getOrDefault("after", "0"));
      case "touches" ->
          object(
              g ->
                  touches(
                      g,
                      "touches",
                      a.ledger().touches().stream()
                          .filter(
                              t ->
                                  !query.containsKey("request")
                                      || t.request().equals(query.get("request")))
                          .toList()));
      case "ends" -> object(g -> touches(g, "ends", a.ledger().ends()));
      case "drains" ->
          object(
              g -> {
                g.writeArrayFieldStart("drains");
                for (Auditor.Notice n : a.notices()) {
                  g.writeStartObject();
                  g.writeStringField("database", n.database());
                  g.writeNumberField("at", n.at());
                  g.writeBooleanField("drains", n.drains());
                  g.writeStringField(
                      "origin", n.origin().name().toLowerCase(java.util.Locale.ROOT));
                  g.writeEndObject();
                }
                g.writeEndArray();
              });
      default -> null;
    };
  }

  private static String rows(Auditor a, String after) {
    if (!after.matches("[0-9]{1,9}")) {
      return null;
    }
    List<Ledger.Row> all = a.ledger().rows();
    int from = Math.min(all.size(), Integer.parseInt(after));
    int to = Math.min(all.size(), from + ROWS);
    return object(
        g -> {
          g.writeArrayFieldStart("rows");
          for (Ledger.Row r : all.subList(from, to)) {
            g.writeStartObject();
            g.writeNumberField("stand", r.stand);
            g.writeStringField("database", r.database);
            g.writeNumberField("first", r.first);
            g.writeNumberField("last", r.last);
            g.writeArrayFieldStart("by_class");
            for (long n : r.byClass) {
              g.writeNumber(n);
            }
            g.writeEndArray();
            g.writeEndObject();
          }
          g.writeEndArray();
          if (to < all.size()) {
            g.writeNumberField("next", to);
          }
        });
  }

  private static void standing(JsonGenerator g, Auditor a) throws IOException {
    double now = a.now();
    Standing s = a.standing();
    g.writeStringField("pooler", a.setup().pooler());
    g.writeNumberField("now", now);
    g.writeStringField("state", s.state().word());
    g.writeNumberField("since", s.since());
    g.writeBooleanField("stragglers", a.setup().stragglers());
    g.writeNumberField("list_age_ms", now - s.confirmed(now));
    g.writeNumberField("peers_seen", s.seen(now));
    g.writeBooleanField("unconfirmed", s.unconfirmed(now));
    g.writeArrayFieldStart("classes");
    for (String c : a.setup().classes()) {
      g.writeString(c);
    }
    g.writeEndArray();
    g.writeFieldName("stand");
    stand(g, a.stands().now());
    g.writeObjectFieldStart("primaries");
    for (Map.Entry<Integer, String> e : a.stands().primaries().entrySet()) {
      g.writeStringField(e.getKey().toString(), e.getValue());
    }
    g.writeEndObject();
    g.writeObjectFieldStart("counts");
    for (Map.Entry<String, Long> e : a.counts().entrySet()) {
      g.writeNumberField(e.getKey(), e.getValue());
    }
    g.writeEndObject();
  }

  private static void stand(JsonGenerator g, Stand s) throws IOException {
    g.writeStartObject();
    g.writeNumberField("number", s.number());
    g.writeNumberField("at", s.at());
    g.writeStringField("origin", s.origin().name().toLowerCase(java.util.Locale.ROOT));
    g.writeStringField("build", s.build());
    g.writeStringField("configuration", Integer.toHexString(s.configuration()));
    g.writeNumberField("generation", s.generation());
    g.writeStringField("discovery", s.discovery());
    g.writeNumberField("epoch", s.epoch());
    g.writeNumberField("revision", s.revision());
    g.writeStringField("content", Integer.toHexString(s.content()));
    g.writeNumberField("marks", s.marks());
    g.writeStringField("marked", Integer.toHexString(s.marked()));
    g.writeStringField("primaries", Integer.toHexString(s.primaries()));
    g.writeEndObject();
  }

  private static void touches(JsonGenerator g, String name, List<Ledger.Touch> all)
      throws IOException {
    g.writeArrayFieldStart(name);
    for (Ledger.Touch t : all) {
      g.writeStartObject();
      g.writeStringField("request", t.request());
      g.writeNumberField("stand", t.stand());
      g.writeStringField("kind", t.kind().name().toLowerCase(java.util.Locale.ROOT));
      g.writeStringField("database", t.database());
      g.writeNumberField("class", t.requestClass());
      g.writeNumberField("at", t.at());
      g.writeEndObject();
    }
    g.writeEndArray();
  }

  private static String object(Body body) {
    var out = new StringWriter();
    try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
      g.writeStartObject();
      body.write(g);
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString();
  }
}
