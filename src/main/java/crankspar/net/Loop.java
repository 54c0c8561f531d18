package crankspar.net;

import crankspar.core.Ports;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that owns all state: a single-threaded scheduled executor runs the timers and, behind the
 * channel group, every completion handler. The group's own internal thread only waits for readiness.
 *
 * <p>After the process has stood still ({@link Pause}) whatever waits is held for a moment, but for what says what has changed
 * meanwhile: the watch on discovery, peers' messages, operators' calls. Then what connections have brought runs, in its order,
 * and timers after that. Guards against a timer that was due during the pause and sends for a client that left during it. What
 * is held is bounded by the open connections, one event each, and the timers that are set.
 */
public final class Loop implements Ports.Time, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final int BACKLOG = 512;
    /** Rounds after a pause before the timers run: a read and what it brings are one each, for bytes, more of them, and an end. */
    private static final int ROUNDS = 6;
    /** Between two of these rounds (ms). */
    private static final double NEXT_ROUND = 1;

    private final NewsFirstExecutor executor;
    private final AsynchronousChannelGroup group;
    /** Of connections that bring news of what has changed: a backlog of work does not delay it. */
    private final AsynchronousChannelGroup newsGroup;
    private final long wallAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();
    private final Pause pause = new Pause();
    /** Held after a pause: what connections have brought, and timers. */
    private final ArrayDeque<Runnable> arrived = new ArrayDeque<>();
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private DoubleConsumer paused = ms -> { };
    private boolean holding;
    /** On the loop: when the last task of any kind ended. */
    private double lastFinished = Double.NEGATIVE_INFINITY;
    private volatile Thread thread;

    public Loop(String name) throws IOException {
        executor = new NewsFirstExecutor(task -> thread = new Thread(task, name), new NewsFirstExecutor.Observer() {
            @Override public void starting(double late) { noticePause(late); }
            @Override public void finished() { lastFinished = now(); }
        });
        group = AsynchronousChannelGroup.withCachedThreadPool(executor, 0);
        newsGroup = AsynchronousChannelGroup.withCachedThreadPool(executor.forNews(), 0);
    }

    /** Unix ms: the wall clock is read once, so that no step of it reaches a deadline or an age. */
    @Override public double now() { return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6; }

    /** What is due: work waits while what waits is held after a pause, news does not and prolongs that, the loop's own neither. */
    private enum Kind { WORK, NEWS, OWN }

    @Override public void after(double ms, Runnable what) { after(ms, what, Kind.WORK); }

    private void after(double ms, Runnable what, Kind kind) {
        double wait = Math.max(0, ms);
        double due = now() + wait;
        try {
            executor.schedule(() -> due(due, what, kind), (long) (wait * 1e6), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.fine("a timer after the end");
        }
    }

    /** Runs on the loop as soon as may be. */
    public void run(Runnable what) { after(0, what, Kind.WORK); }

    /** As {@link #run}, before all that waits and also while that is held after a pause: for news of what has changed, never for work. */
    public void runUrgent(Runnable what) {
        double due = now();
        try {
            executor.executeNews(() -> due(due, what, Kind.NEWS));
        } catch (RejectedExecutionException e) {
            LOG.fine("news after the end");
        }
    }

    /**
     * Notices that the process stood still before any news runs: what is new since then ends the silence by which it shows, and the
     * timers that were due during it would run unheld. A loop that is busy has just finished something.
     */
    private void noticePause(double late) {
        double now = now();
        double due = Math.max(now - late, lastFinished);
        if (now - due > Pause.STILL) {
            double still = pause.began(due, now);
            if (still > 0) {
                hold(still);
            }
        }
    }

    private void due(double due, Runnable what, Kind kind) {
        double began = now();
        double still = pause.began(due, began);
        if (still > 0) {
            hold(still);
        }
        if (kind != Kind.OWN && holds(kind == Kind.NEWS)) {
            held.add(what);
        } else {
            guarded(what);
        }
        double ended = now();
        still = pause.ended(began, ended);
        if (still > 0) {
            hold(still);
        }
    }

    // ---- After the process has stood still.
    /** Hears of each time that the process stood still, with how long (ms). */
    public void onPause(DoubleConsumer what) { run(() -> paused = what); }

    /** On the loop: whether what has come must wait its turn. */
    boolean holds(boolean urgent) {
        if (holding && urgent) {
            pause.heard(now());
        }
        return holding && !urgent;
    }

    /** On the loop: takes its turn behind what other connections have brought, and before all timers that are held. */
    void later(Runnable what) { arrived.add(what); }

    /** On the loop: a connection's next read, as soon as may be, and in the next round while what waits is held. */
    void nextRead(Runnable what) {
        if (holding) {
            arrived.add(what);
        } else {
            run(what);
        }
    }

    private void hold(double still) {
        if (!holding) {                       // before anything slow: a first log line took longer than the whole hold, and nothing was heard
            holding = true;
            release();
        }
        paused.accept(still);
        LOG.info("this process stood still for " + Math.round(still) + " ms: what changed meanwhile is heard first");
    }

    private void release() { release(ROUNDS); }

    private void release(int rounds) {
        double wait = pause.holdFor(now());
        if (wait > 0) {
            after(wait, () -> release(rounds), Kind.OWN);
            return;
        }
        if (!arrived.isEmpty() && rounds > 0) {
            for (int n = arrived.size(); n > 0; n--) {
                guarded(arrived.poll());
            }
            after(NEXT_ROUND, () -> release(rounds - 1), Kind.OWN); // what stood behind it on its connection has come by then
            return;
        }
        holding = false;
        run(arrived);
        run(held);
    }

    private void run(ArrayDeque<Runnable> waiting) {
        while (!waiting.isEmpty() && !holding) { // one of them may stand still itself
            guarded(waiting.poll());
        }
    }

    /** Runs on the loop and waits: for starting, tests and the end, never from the loop itself. */
    public void runAndWait(Runnable what) throws InterruptedException {
        var done = new CountDownLatch(1);
        run(() -> {
            try {
                what.run();
            } finally {
                done.countDown();
            }
        });
        done.await();
    }

    boolean here() { return Thread.currentThread() == thread; }

    /** An exception in a timer must not end what else the thread has to do. */
    private static void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a task failed", e);
        }
    }

    /**
     * Opens a connection for a machine; a failure is told as its end. Nothing is told before this has returned: a connect that the
     * system refuses at once (no address left, no route) ends inside the call, and whoever called had no stream yet to close.
     */
    public Stream connect(InetSocketAddress address, Machine machine) {
        AsynchronousSocketChannel channel = null;
        try {
            channel = AsynchronousSocketChannel.open(machine.urgent() ? newsGroup : group);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            var stream = new Stream(this, channel, machine);
            var connecting = new Connecting(stream);
            channel.connect(address, null, connecting);
            connecting.returned = true;
            return stream;
        } catch (IOException | RuntimeException e) {
            var stream = new Stream(this, channel, machine);
            run(() -> stream.end("connect: " + e.getMessage()));
            return stream;
        }
    }

    private final class Connecting implements CompletionHandler<Void, Void> {
        private final Stream stream;
        /** Whether the call that connects has returned; on the loop, or read once the call can only have returned. */
        private volatile boolean returned;

        Connecting(Stream stream) { this.stream = stream; }

        @Override public void completed(Void nothing, Void none) { tell(stream::begin); }

        @Override public void failed(Throwable why, Void none) { tell(() -> stream.end("connect: " + why.getMessage())); }

        private void tell(Runnable what) {
            if (returned) {
                stream.inTurn(what);
            } else {
                run(() -> stream.inTurn(what));
            }
        }
    }

    /** A listening socket; each connection gets a machine of its own, or is closed when there is none. */
    public Listener listen(InetSocketAddress address, Supplier<Machine> machines) throws IOException { return listen(address, machines, group); }

    /** As {@link #listen(InetSocketAddress, Supplier)}, for connections that bring news. */
    public Listener listenUrgent(InetSocketAddress address, Supplier<Machine> machines) throws IOException { return listen(address, machines, newsGroup); }

    private Listener listen(InetSocketAddress address, Supplier<Machine> machines, AsynchronousChannelGroup group) throws IOException {
        var server = AsynchronousServerSocketChannel.open(group);
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true); // one process replaces another under load
            server.bind(address, BACKLOG);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        var listener = new Listener(server, machines);
        run(listener::accept);
        return listener;
    }

    public final class Listener implements AutoCloseable {
        private final AsynchronousServerSocketChannel server;
        private final Supplier<Machine> machines;

        private Listener(AsynchronousServerSocketChannel server, Supplier<Machine> machines) {
            this.server = server;
            this.machines = machines;
        }

        public InetSocketAddress address() throws IOException { return (InetSocketAddress) server.getLocalAddress(); }

        private void accept() {
            if (!server.isOpen()) {
                return;
            }
            server.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
                @Override public void completed(AsynchronousSocketChannel channel, Void nothing) {
                    runUrgent(Listener.this::accept);
                    accepted(channel);
                }

                private void accepted(AsynchronousSocketChannel channel) {
                    Machine machine = machines.get();
                    var stream = new Stream(Loop.this, channel, machine == null ? Machine.DEAF : machine);
                    try {
                        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    } catch (IOException e) {
                        stream.end("accept: " + e.getMessage());
                        return;
                    }
                    if (machine == null) {
                        stream.close();
                    } else {
                        stream.inTurn(stream::begin);
                    }
                }

                @Override public void failed(Throwable why, Void nothing) {
                    if (server.isOpen()) { // out of descriptors, say: go on, a little later
                        LOG.warning("accept: " + why);
                        after(20, Listener.this::accept);
                    }
                }
            });
        }

        @Override public void close() {
            try {
                server.close();
            } catch (IOException e) {
                LOG.fine("close of a listener: " + e);
            }
        }
    }

    @Override public void close() {
        try {
            newsGroup.shutdownNow();          // first: the other's end is the executor's, which its last completions need
            group.shutdownNow();
        } catch (IOException e) {
            LOG.fine("close of the group: " + e);
        }
        executor.shutdownNow();
    }
}
