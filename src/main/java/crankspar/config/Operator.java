package crankspar.config;

import crankspar.Router;
import crankspar.discovery.MemberList;
import crankspar.net.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;

/**
 * What an operator's own file sets up besides the platform: the REST front, the store's peers, syslog and,
 * where the platform names none, the address for operators' calls ({@code mgmt}, or null).
 */
public record Operator(String name, String text, Router.Settings settings, InetSocketAddress mgmt, Rest rest,
                       StoreSetup store, Syslog syslog) {
    /** The REST front, with a discovery to watch, a fixed list of members, or both. */
    public record Rest(InetSocketAddress listen, InetSocketAddress discovery, MemberList members) { }

    /** The store: a snapshot's file (or null) and the peers whose changes are pulled. */
    public record StoreSetup(Path snapshot, List<InetSocketAddress> peers, double periodMs) { }

    public record Syslog(InetSocketAddress collector, boolean tcp, int facility, Level level, String enterprise) { }

    private static final List<String> FACILITIES = List.of("kern", "user", "mail", "daemon", "auth", "syslog", "lpr",
            "news", "uucp", "cron", "authpriv", "ftp", "ntp", "audit", "alert", "clock", "local0", "local1", "local2",
            "local3", "local4", "local5", "local6", "local7");

    public static Operator read(Path file) throws Config.Bad {
        String text;
        Map<?, ?> o;
        try {
            text = Files.readString(file);
            o = Json.object(text);
        } catch (IOException | RuntimeException e) {
            throw new Config.Bad("operator", "cannot be read: " + Config.brief(e));
        }
        String name = Config.text(null, o, "name");
        Router.Settings settings = o.get("settings") == null ? null
                : Config.settings(o, java.util.concurrent.ThreadLocalRandom.current().nextLong());
        return new Operator(name, text, settings, o.get("mgmt") == null ? null : address(o, "", "mgmt"), rest(o), store(o), syslog(o));
    }

    private static Rest rest(Map<?, ?> o) throws Config.Bad {
        if (o.get("rest") == null) {
            return null;
        }
        Map<?, ?> r = Config.part(o, "rest");
        InetSocketAddress discovery = r.get("discovery") == null ? null : address(r, "rest.", "discovery");
        MemberList members = Config.members(r, "members", "rest.");
        if (discovery == null && members.members().isEmpty()) {
            throw new Config.Bad("rest", "neither discovery nor members");
        }
        return new Rest(address(r, "rest.", "listen"), discovery, members);
    }

    private static StoreSetup store(Map<?, ?> o) throws Config.Bad {
        if (o.get("store") == null) {
            return new StoreSetup(null, List.of(), 1000);
        }
        Map<?, ?> s = Config.part(o, "store");
        Object snapshot = s.get("snapshot");
        if (snapshot != null && !(snapshot instanceof String)) {
            throw new Config.Bad("store.snapshot", "no path");
        }
        var peers = new ArrayList<InetSocketAddress>();
        for (Object peer : s.get("peers") instanceof List<?> list ? list : List.of()) {
            try {
                peers.add(Addresses.parse(String.valueOf(peer)));
            } catch (IllegalArgumentException e) {
                throw new Config.Bad("store.peers", e.getMessage());
            }
        }
        double period = s.get("period_ms") == null ? 1000
                : s.get("period_ms") instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(period >= 10 && period <= 3_600_000)) {
            throw new Config.Bad("store.period_ms", "not from 10 to 3600000");
        }
        return new StoreSetup(snapshot == null ? null : Path.of((String) snapshot), peers, period);
    }

    private static Syslog syslog(Map<?, ?> o) throws Config.Bad {
        if (o.get("syslog") == null) {
            return null;
        }
        Map<?, ?> s = Config.part(o, "syslog");
        int facility = FACILITIES.indexOf(String.valueOf(s.get("facility") == null ? "daemon" : s.get("facility")));
        if (facility < 0) {
            throw new Config.Bad("syslog.facility", "unknown: " + s.get("facility"));
        }
        String transport = String.valueOf(s.get("transport") == null ? "udp" : s.get("transport"));
        if (!transport.equals("udp") && !transport.equals("tcp")) {
            throw new Config.Bad("syslog.transport", "neither udp nor tcp: " + transport);
        }
        Level level;
        try {
            level = Level.parse(String.valueOf(s.get("level") == null ? "INFO" : s.get("level")));
        } catch (IllegalArgumentException e) {
            throw new Config.Bad("syslog.level", "unknown: " + s.get("level"));
        }
        return new Syslog(address(s, "syslog.", "collector"), transport.equals("tcp"), facility, level,
                s.get("enterprise") == null ? "32473" : String.valueOf(s.get("enterprise")));
    }

    private static InetSocketAddress address(Map<?, ?> part, String path, String key) throws Config.Bad {
        try {
            return Addresses.parse(String.valueOf(part.get(key)));
        } catch (IllegalArgumentException e) {
            throw new Config.Bad(path + key, e.getMessage());
        }
    }
}
