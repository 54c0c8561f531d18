package crankspar.discovery;

import crankspar.config.Json;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.http.HttpText;
import crankspar.net.Loop;
import crankspar.net.Machine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Discovery: one watch at a time, opened when the module asks for it. When it ends, for whatever reason, that
 * is told; whether and when to ask again is the module's to say. When discovery moves, the watch at the old
 * address is heard on until the one at the new address has brought its list.
 */
public final class Watch implements Pooler.Discovery {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    /**
     * A live watch brings at least an empty line every 2 s. What discovery has to tell counts as told 6 s
     * later even if it never arrived, and 4 s after a move: a silent watch is given up in time to ask again.
     */
    private static final double SILENT = 2500;
    /** A connection that takes longer to come up (ms) is a cut link's. */
    private static final double DIAL = 1000;
    private static final int LINE_MOST = 1 << 20;

    private final Loop loop;
    private final Counters counters;
    private final Consumer<MemberList> lists;
    private final Runnable lost;
    private InetSocketAddress address;
    private long revision;
    private Runnable word = () -> { };
    private Session session;
    /** The watch at an address that discovery has left: its end is no news. */
    private Session former;

    public Watch(Loop loop, InetSocketAddress address, long revision, Counters counters,
                 Consumer<MemberList> lists, Runnable lost) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.counters = counters;
        this.lists = lists;
        this.lost = lost;
    }

    @Override public void watch(boolean on) {
        if (session != null) {
            session.drop();
            session = null;
        }
        if (on) {
            open();
        } else {
            leaveFormer();
        }
    }

    /** Asks once for what is new, and hears no further; nothing where a watch stands. */
    public void ask() {
        if (session == null) {
            open();
            session.once = true;
        }
    }

    /** Runs after each line that discovery has written, lists and empty ones alike: what is in force is the present list then. */
    public void onWord(Runnable what) { word = what; }

    public InetSocketAddress address() { return address; }

    /** Whether a watch stands and has brought something. */
    public boolean up() { return session != null && session.told && !session.once; }

    public long revision() { return revision; }

    /**
     * Discovery is to be found elsewhere from now on. Guards against a gap: the new watch opens at once and
     * asks for the whole list, as the count of another service's versions may be another.
     */
    public void moveTo(InetSocketAddress address) {
        if (address.equals(this.address)) {
            return;
        }
        LOG.info("discovery moves to " + address);
        counters.add("discovery_moves");
        this.address = address;
        revision = 0;
        if (session != null) {
            leaveFormer();
            former = session;
            open();
        }
    }

    private void open() {
        counters.add("discovery_watches");
        session = new Session();
        session.stream = loop.connect(address, session);
        session.mind();
    }

    private void leaveFormer() {
        if (former != null) {
            former.drop();
            former = null;
        }
    }

    private final class Session implements Machine, HttpParser.Handler {
        private final HttpParser parser = new HttpParser(false, Long.MAX_VALUE, this);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private final InetSocketAddress at = address;
        private Machine.Out stream;
        private double heard = loop.now();
        private boolean up, over, told, once;

        private void mind() {
            if (over) {
                return;
            }
            double quiet = loop.now() - heard;
            double most = up ? SILENT : DIAL;
            if (quiet > most) {
                fail("silent for " + Math.round(quiet) + " ms");
            } else {
                loop.after(most - quiet + 1, this::mind);
            }
        }

        private void drop() {
            over = true;
            stream.close();
        }

        private void fail(String why) {
            if (!over) {
                drop();
                if (former == this) {
                    former = null;
                    LOG.info("the former watch ended: " + why);
                    return;
                }
                session = session == this ? null : session;
                counters.add("discovery_lost");
                LOG.info("watch lost: " + why);
                lost.run();
            }
        }

        @Override public void opened(Out out) {
            up = true;
            heard = loop.now();
            out.write(HttpText.request("GET", "/api/targets?stream=1&index=" + revision,
                    Map.of("Host", at.getHostString() + ":" + at.getPort()), new byte[0]));
        }

        @Override public void received(ByteBuffer in) {
            heard = loop.now();
            try {
                parser.feed(in);
            } catch (HttpParser.Malformed e) {
                in.position(in.limit());
                fail("malformed: " + e.getMessage());
            }
        }

        @Override public void ended(String why) { fail(why); }

        @Override public boolean urgent() { return true; }

        @Override public void head(HttpHead head) {
            if (head instanceof HttpHead.Response r && r.status() != 200) {
                fail("status " + r.status());
            }
        }

        @Override public void body(byte[] part) {
            for (byte b : part) {
                if (over) {
                    return;
                }
                if (b != '\n') {
                    line.write(b);
                    continue;
                }
                told = true;                  // an empty line says that nothing is new
                if (line.size() > 0) {
                    String text = line.toString(StandardCharsets.UTF_8).strip();
                    line.reset();
                    if (!text.isEmpty()) {
                        list(text);
                    }
                }
                if (!over && former != this) {
                    word.run();
                }
                if (once && !over) {
                    drop();
                    session = session == this ? null : session;
                }
            }
            if (line.size() > LINE_MOST) {
                fail("a line of more than " + LINE_MOST + " bytes");
            }
        }

        private void list(String text) {
            try {
                MemberList list = MemberList.read(Json.object(text));
                if (former != this) {
                    revision = list.revision();
                    leaveFormer();
                }
                counters.add("discovery_lists");
                lists.accept(list);
            } catch (IOException | IllegalArgumentException e) {
                counters.add("discovery_malformed");
                revision = 0;                 // what was missed is not known: the next watch brings the whole list
                fail("malformed list: " + e.getMessage());
            }
        }

        @Override public void end() { fail("the answer ended"); }
    }
}
