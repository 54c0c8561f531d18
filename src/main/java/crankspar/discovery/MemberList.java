package crankspar.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.json.Json;
import crankspar.net.Addresses;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A list in discovery's form: entries for the module, and where each of them listens. */
public record MemberList(
    long revision,
    boolean complete,
    List<Member> members,
    Map<String, InetSocketAddress> addresses) {
  public static final MemberList EMPTY = new MemberList(0, true, List.of(), Map.of());

  /** The list that an object holds; an IllegalArgumentException says what is wrong with it. */
  public static MemberList read(Map<?, ?> object) {
    if (!(object.get("members") instanceof List<?> entries)
        || !(object.get("revision") instanceof Number revision)) {
      throw new IllegalArgumentException("no members or no revision");
    }
    var members = new ArrayList<Member>(entries.size());
    var addresses = new LinkedHashMap<String, InetSocketAddress>();
    for (Object entry : entries) {
      if (!(entry instanceof Map<?, ?> e) || !(e.get("id") instanceof String id)) {
        throw new IllegalArgumentException("a member without an id");
      }
      Health health =
          switch (String.valueOf(e.get("phase"))) {
            case "up" -> Health.RUNNING;
            case "draining" -> Health.DRAINING;
            case "removed" -> Health.GONE;
            default ->
                throw new IllegalArgumentException(
                    "member " + id + ": unknown phase " + e.get("phase"));
          };
      if (e.get("host_port") instanceof String address) {
        addresses.put(id, Addresses.parse(address));
      }
      members.add(
          new Member(
              id,
              text(e, "locality"),
              "primary".equals(e.get("role")),
              number(e, "size", 1),
              health,
              (int) number(e, "cell", 0),
              text(e, "flavor"),
              number(e, "up_since_ms", 0)));
    }
    return new MemberList(
        revision.longValue(), Boolean.TRUE.equals(object.get("complete")), members, addresses);
  }

  /** The same list as text, to be kept. */
  public String write() {
    var out = new StringWriter();
    try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
      g.writeStartObject();
      g.writeNumberField("revision", revision);
      g.writeBooleanField("complete", complete);
      g.writeArrayFieldStart("members");
      for (Member m : members) {
        g.writeStartObject();
        g.writeStringField("id", m.id());
        InetSocketAddress at = addresses.get(m.id());
        if (at != null) {
          g.writeStringField("host_port", at.getHostString() + ":" + at.getPort());
        }
        g.writeStringField("locality", m.zone());
        g.writeStringField("flavor", m.machine());
        g.writeNumberField("cell", m.group());
        g.writeStringField(
            "phase",
            switch (m.health()) {
              case RUNNING -> "up";
              case DRAINING -> "draining";
              case GONE -> "removed";
            });
        g.writeNumberField("size", m.capacityHint());
        g.writeNumberField("up_since_ms", m.lastStart());
        g.writeStringField("role", m.listedPrimary() ? "primary" : "replica");
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString();
  }

  private static String text(Map<?, ?> e, String key) {
    return e.get(key) instanceof String s ? s : "";
  }

  private static double number(Map<?, ?> e, String key, double absent) {
    return e.get(key) instanceof Number n ? n.doubleValue() : absent;
  }
}
