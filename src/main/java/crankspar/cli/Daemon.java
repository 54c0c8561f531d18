package crankspar.cli;

import crankspar.Balance;
import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.config.Config;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.discovery.MemberList;
import crankspar.discovery.Watch;
import crankspar.net.Loop;
import crankspar.net.Pool;
import crankspar.pg.PgAnswer;
import crankspar.pg.PgFront;
import crankspar.pg.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** Puts the parts together: one loop, one core, the platform's front, discovery. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Daemon.class.getName());
    /** Clients keep coming for a moment after the signal: they are taken and answered (ms). */
    static final double STILL_OPEN = 600;
    /** Shares of the sockets for clients and for servers; the rest is for the runtime's own files. */
    private static final double CLIENTS = 0.55;
    private static final double SERVERS = 0.35;

    private final Loop loop;
    private final Counters counters = new Counters();
    private final Pool<Statement, PgAnswer> pool;
    private final Pooler<Statement, PgAnswer> pooler;
    private final PgFront front;
    private final double longest;
    private final InetSocketAddress address;

    public Daemon(Config config) throws IOException, InterruptedException {
        long began = System.nanoTime();
        int answered = new Warmup().run(config.settings(), config.known().members());
        LOG.info("warm after " + (System.nanoTime() - began) / 1_000_000 + " ms, " + answered + " answers");
        loop = new Loop("loop");
        var settings = config.settings();
        pool = new Pool<>(loop, counters, () -> PgFront.dial(counters), PgFront.probe(),
                settings.limits().dialTimeout(), settings.limits().connIdle(), (int) (config.sockets() * SERVERS));
        var watch = new Watch(loop, config.discovery(), config.known().revision(), counters, this::listed,
                this::watchLost);
        pooler = new Pooler<>(settings, loop, pool, watch, counters, Balance::new);
        front = new PgFront(loop, settings, counters, pooler, (int) (config.sockets() * CLIENTS));
        longest = settings.classes().stream().mapToDouble(c -> c.giveUp()).max().orElse(0);
        loop.runAndWait(() -> {
            locate(config.known());
            pooler.start(config.known().members());
        });
        try {
            address = front.listen(config.listen());
        } catch (IOException | RuntimeException e) {
            loop.close();
            throw e;
        }
        LOG.info(config.name() + " listens at " + address);
    }

    public InetSocketAddress address() { return address; }

    private void listed(MemberList list) {
        locate(list);
        pooler.members(list.complete() ? ListKind.FULL : ListKind.CHANGES, list.members());
    }

    private void locate(MemberList list) {
        list.addresses().forEach(pool::locate);
        for (Member m : list.members()) {
            if (m.health() != Health.RUNNING) {
                pool.forget(m.id());
            }
        }
    }

    private void watchLost() { pooler.watchLost(); }

    /** Ends in order: still open for a moment, then nothing new, then the last answers. */
    public void stop() throws InterruptedException {
        var quiet = new CountDownLatch(1);
        loop.after(STILL_OPEN, () -> {
            front.drain();
            pooler.whenQuiet(() -> loop.after(50, quiet::countDown));
        });
        quiet.await((long) (STILL_OPEN + longest + 500), TimeUnit.MILLISECONDS);
        loop.runAndWait(() -> System.err.println("counters " + counters));
    }

    @Override public void close() { loop.close(); }
}
