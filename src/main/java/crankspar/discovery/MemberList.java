package crankspar.discovery;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.net.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A list in discovery's form: entries for the module, and where each of them listens. */
public record MemberList(long revision, boolean complete, List<Member> members,
                         Map<String, InetSocketAddress> addresses) {
    /** The list that an object holds; an IllegalArgumentException says what is wrong with it. */
    public static MemberList read(Map<?, ?> object) {
        if (!(object.get("members") instanceof List<?> entries) || !(object.get("revision") instanceof Number revision)) {
            throw new IllegalArgumentException("no members or no revision");
        }
        var members = new ArrayList<Member>(entries.size());
        var addresses = new LinkedHashMap<String, InetSocketAddress>();
        for (Object entry : entries) {
            if (!(entry instanceof Map<?, ?> e) || !(e.get("id") instanceof String id)) {
                throw new IllegalArgumentException("a member without an id");
            }
            Health health = switch (String.valueOf(e.get("phase"))) {
                case "up" -> Health.RUNNING;
                case "draining" -> Health.DRAINING;
                case "removed" -> Health.GONE;
                default -> throw new IllegalArgumentException("member " + id + ": unknown phase " + e.get("phase"));
            };
            if (e.get("host_port") instanceof String address) {
                addresses.put(id, Addresses.parse(address));
            }
            members.add(new Member(id, text(e, "locality"), "primary".equals(e.get("role")), number(e, "size", 1),
                    health, (int) number(e, "cell", 0), text(e, "flavor"), number(e, "up_since_ms", 0)));
        }
        return new MemberList(revision.longValue(), Boolean.TRUE.equals(object.get("complete")), members, addresses);
    }

    private static String text(Map<?, ?> e, String key) { return e.get(key) instanceof String s ? s : ""; }

    private static double number(Map<?, ?> e, String key, double absent) {
        return e.get(key) instanceof Number n ? n.doubleValue() : absent;
    }
}
