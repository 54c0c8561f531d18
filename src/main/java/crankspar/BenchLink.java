package crankspar;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import crankspar.config.SettingsReader;
import crankspar.json.Json;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

/** Adapter between the simulator's wire protocol and {@link Router}; makes no routing decisions. */
public final class BenchLink {
    /** Input that does not follow the wire format; the message names the fault and its place. */
    public static final class Malformed extends RuntimeException {
        Malformed(String message) { super(message); }
    }

    private static final String[] STATUS_CODES = {"10", "20", "30", "40", "50", "60", "70", "80", "90"};
    private final BiFunction<Router.Settings, Router.Actions, Router> routerFactory;
    private final Map<Long, Instance> instances = new TreeMap<>();
    private final Map<Integer, List<Router.Member>> memberLists = new HashMap<>();
    private JsonGenerator out;
    private double now;
    private long line;
    private String event = "batch";

    public BenchLink(BiFunction<Router.Settings, Router.Actions, Router> maker) { this.routerFactory = maker; }

    public void run(BufferedReader in, OutputStream stream) throws IOException {
        var bytes = new ByteArrayOutputStream(1 << 16);
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            line++;
            event = "batch";
            bytes.reset();
            try {
                batch(text, bytes);
            } catch (JsonProcessingException e) {
                throw new Malformed("line " + line + ": not valid JSON: " + e.getOriginalMessage());
            } catch (Malformed e) {
                throw new Malformed("line " + line + ", " + event + ": " + e.getMessage());
            }
            bytes.write('\n');
            bytes.writeTo(stream);
            stream.flush();
        }
    }

    private void batch(String text, OutputStream bytes) throws IOException {
        Number moment = null;
        Number turn = null;
        List<?> events = null;
        try (JsonParser p = Json.FACTORY.createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("an object was expected");
            }
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String key = p.currentName();
                p.nextToken();
                switch (key) {
                    case "Moment" -> moment = cast(Number.class, Json.value(p), key);
                    case "turn" -> turn = cast(Number.class, Json.value(p), key);
                    case "input" -> events = cast(List.class, Json.value(p), key);
                    default -> p.skipChildren();
                }
            }
            if (p.nextToken() != null) {
                throw new Malformed("text after the batch's object");
            }
        }
        if (moment == null || turn == null || events == null) {
            throw new Malformed("missing field " + (moment == null ? "Moment" : turn == null ? "turn" : "input"));
        }
        now = moment.doubleValue();
        out = Json.FACTORY.createGenerator(bytes);
        out.writeStartObject();
        out.writeNumberField("turn", turn.longValue());
        out.writeArrayFieldStart("cmds");
        for (Object one : events) {
            event(new Fields(cast(List.class, one, "input")));
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
    }

    private void event(Fields f) {
        event = "event";
        event = f.text(0, "event name");
        if (event.equals("Catalog")) {
            memberLists.put((int) f.whole(1, "Slot"), members(f.list(2, "Records")));
            return;
        }
        long id = f.whole(1, "I");
        if (event.equals("Spawn")) {
            long seed = f.whole(2, "Nonce64");
            var actions = new ReplyActions(id);
            try {
                var instance = new Instance(SettingsReader.read(f.map(3, "Env"), seed), actions, routerFactory);
                instances.put(id, instance);
                instance.router.onStart(now);
            } catch (Malformed e) {
                throw e;
            } catch (IllegalArgumentException e) {
                throw new Malformed(e.getMessage());
            } catch (RuntimeException e) {
                writeFault(actions, e);
            }
            return;
        }
        if (event.equals("Killed")) {
            instances.remove(id);
            return;
        }
        Instance at = instances.get(id);
        if (at == null) {
            throw new Malformed("instance " + id + " was never started");
        }
        Runnable call = call(at, f);
        try {
            call.run();
        } catch (RuntimeException e) {
            writeFault(at.actions, e);
        }
    }

    /** Reads the fields before the call, so that malformed input is distinguished from a failure of the policy. */
    private Runnable call(Instance at, Fields f) {
        Router r = at.router;
        switch (event) {
            case "Registry": {
                String mode = f.text(2, "Mode");
                if (mode.equals("lost")) {
                    return () -> r.onWatchLost(now);
                }
                int slot = (int) f.whole(4, "Slot");
                List<Router.Member> entries = memberLists.get(slot);
                if (entries == null) {
                    throw new Malformed("no Catalog in slot " + slot);
                }
                Router.ListKind kind = switch (mode) {
                    case "incr" -> Router.ListKind.CHANGES;
                    case "total" -> Router.ListKind.FULL;
                    case "warm_copy" -> Router.ListKind.OLD_COPY;
                    default -> throw new Malformed("unknown Mode " + mode);
                };
                return () -> r.onMembers(now, kind, entries);
            }
            case "Knock": {
                String name = f.text(7, "Kind");
                Integer kind = at.classNumbers.get(name);
                if (kind == null) {
                    throw new Malformed("unknown Kind " + name);
                }
                var request = new Router.Request(f.text(2, "MsgId"), kind, f.number(3, "Ttl"), f.optText(4),
                        f.optNumber(6, -1), (int) f.whole(9, "DbNo"));
                return () -> r.onRequest(now, request);
            }
            case "Done": {
                int code = (int) f.whole(5, "Verdict");
                long note = (long) f.optNumber(8, 0);
                var outcome = new Router.Outcome(f.text(2, "MsgId"), (int) f.whole(3, "SeqNo"),
                        f.text(4, "Database"), status(code), f.number(6, "Elapsed"), f.flag(7, "Finished"),
                        role((int) (note & 3)), note >> 2 == 0 ? Double.NaN : at.countedFrom + (note >> 2));
                return () -> r.onOutcome(now, outcome);
            }
            case "ProbeResult": {
                Map<?, ?> load = f.optMap(5);
                Object x0 = load.get("x0");
                Object x1 = load.get("x1");
                var result = new Router.ProbeResult(f.text(2, "Database"), f.whole(3, "Verdict") == 10,
                        f.number(4, "Elapsed"),
                        x1 == null ? Router.Role.UNKNOWN
                                : cast(Number.class, x1, "x1").doubleValue() >= 0.5 ? Router.Role.PRIMARY : Router.Role.REPLICA,
                        x0 == null ? Double.NaN : at.countedFrom + 1000 * cast(Number.class, x0, "x0").doubleValue());
                return () -> r.onProbe(now, result);
            }
            case "Lapsed": {
                String id = f.text(2, "MsgId");
                return () -> r.onClientGone(now, id);
            }
            case "Ring": {
                long cookie = f.whole(2, "Cookie");
                return () -> r.onTimer(now, cookie);
            }
            case "NeighbourSays": {
                byte[] message = hex(f.text(3, "Content"));
                return () -> r.onPeerMessage(now, message);
            }
            case "Begun":
                return () -> { };
            default:
                throw new Malformed("unknown event");
        }
    }

    private static byte[] hex(String digits) {
        try {
            return java.util.HexFormat.of().parseHex(digits);
        } catch (IllegalArgumentException e) {
            throw new Malformed("Content is not hexadecimal");
        }
    }

    private static Router.Status status(int code) {
        for (int i = 0; i < STATUS_CODES.length; i++) {
            if (STATUS_CODES[i].equals(Integer.toString(code))) {
                return Router.Status.values()[i];
            }
        }
        throw new Malformed("unknown Verdict " + code);
    }

    private static Router.Role role(int bits) {
        return bits == 1 ? Router.Role.PRIMARY : bits == 2 ? Router.Role.REPLICA : Router.Role.UNKNOWN;
    }

    private static List<Router.Member> members(List<?> records) {
        var members = new ArrayList<Router.Member>(records.size());
        for (Object record : records) {
            var f = new Fields(cast(List.class, record, "Records"));
            String health = f.text(4, "Health");
            members.add(new Router.Member(f.text(2, "Database"), f.text(0, "Hall"), f.optNumber(1, 0) >= 0.5,
                    f.optNumber(3, 1), switch (health) {
                        case "Running" -> Router.Health.RUNNING;
                        case "Stopping" -> Router.Health.DRAINING;
                        case "Deleted" -> Router.Health.GONE;
                        default -> throw new Malformed("unknown Health " + health);
                    }, (int) f.whole(5, "Set"), f.optText(6) == null ? "" : f.optText(6), f.optNumber(7, 0)));
        }
        return members;
    }

    private static void writeFault(ReplyActions actions, RuntimeException e) {
        var at = e.getStackTrace();
        actions.write("Fault", e + (at.length > 0 ? " at " + at[0] : ""));
    }

    private static <T> T cast(Class<T> type, Object value, String field) {
        if (!type.isInstance(value)) {
            throw new Malformed((value == null ? "missing field " : "wrong type of field ") + field);
        }
        return type.cast(value);
    }

    private static final class Instance {
        final Router router;
        final ReplyActions actions;
        final double countedFrom;
        final Map<String, Integer> classNumbers = new HashMap<>();

        Instance(Router.Settings settings, ReplyActions actions,
                 BiFunction<Router.Settings, Router.Actions, Router> maker) {
            this.actions = actions;
            countedFrom = settings.positionEpoch();
            settings.classes().forEach(c -> classNumbers.put(c.name(), classNumbers.size()));
            router = maker.apply(settings, actions);
        }
    }

    /** The values of one event or entry, by position. */
    private record Fields(List<?> values) {
        Object at(int i) { return i < values.size() ? values.get(i) : null; }
        String text(int i, String field) { return cast(String.class, at(i), field); }
        double number(int i, String field) { return cast(Number.class, at(i), field).doubleValue(); }
        long whole(int i, String field) { return cast(Number.class, at(i), field).longValue(); }
        boolean flag(int i, String field) { return cast(Boolean.class, at(i), field); }
        List<?> list(int i, String field) { return cast(List.class, at(i), field); }
        Map<?, ?> map(int i, String field) { return cast(Map.class, at(i), field); }
        String optText(int i) { return at(i) == null ? null : text(i, "of text"); }
        double optNumber(int i, double absent) { return at(i) == null ? absent : number(i, "of a number"); }
        Map<?, ?> optMap(int i) { return at(i) instanceof Map<?, ?> m ? m : Map.of(); }
    }

    /** Writes an instance's actions into the reply. */
    private final class ReplyActions implements Router.Actions {
        private final long id;

        ReplyActions(long id) { this.id = id; }

        private void write(String name, Object... values) {
            try {
                out.writeStartArray();
                out.writeString(name);
                out.writeNumber(id);
                for (Object value : values) {
                    if (value instanceof String s) {
                        out.writeString(s);
                    } else if (value instanceof Boolean b) {
                        out.writeBoolean(b);
                    } else if (value instanceof Double d) {
                        out.writeNumber(d);
                    } else {
                        out.writeNumber(((Number) value).longValue());
                    }
                }
                out.writeEndArray();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        @Override public void send(String request, String member, double timeout) { write("Try", request, member, timeout); }
        @Override public void refuse(String request, double retryIn) { write("Decline", request, retryIn); }
        @Override public void fail(String request) { write("Abort", request); }
        @Override public void cancel(String request, int attempt) { write("StopAttempt", request, attempt); }
        @Override public void setTimer(double delay, long cookie) { write("Defer", delay, cookie); }
        @Override public void probe(String member) { write("Inspect", member); }
        @Override public void watchDiscovery(boolean on) { write("StreamChanges", on); }
        @Override public void log(String text) { write("Record", text); }
        @Override public void broadcast(byte[] message) { write("WritePeer", "*", java.util.HexFormat.of().formatHex(message)); }
    }
}
