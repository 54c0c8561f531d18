package crankspar.rest;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.http.HttpEncoder;
import crankspar.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** An error as RFC 9457 has it, with members of our own after the standard ones. */
record Problem(int status, String type, String title, String detail, Map<String, Object> more) {
  static final String MEDIA_TYPE = "application/problem+json";

  static Problem of(int status, String type, String title, String detail) {
    return new Problem(status, type, title, detail, Map.of());
  }

  Problem with(String name, Object value) {
    var all = new LinkedHashMap<>(more);
    all.put(name, value);
    return new Problem(status, type, title, detail, all);
  }

  byte[] response(Map<String, String> headers) {
    var all = new LinkedHashMap<String, String>();
    all.put("Content-Type", MEDIA_TYPE);
    all.putAll(headers);
    return HttpEncoder.response(status, all, json());
  }

  private byte[] json() {
    var out = new ByteArrayOutputStream();
    try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
      g.writeStartObject();
      g.writeStringField("type", "urn:crankspar:problem:" + type);
      g.writeStringField("title", title);
      g.writeNumberField("status", status);
      g.writeStringField("detail", detail);
      for (Map.Entry<String, Object> e : more.entrySet()) {
        if (e.getValue() instanceof Number n) {
          g.writeNumberField(e.getKey(), n.longValue());
        } else {
          g.writeStringField(e.getKey(), String.valueOf(e.getValue()));
        }
      }
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
