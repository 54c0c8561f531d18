package crankspar.net;

import crankspar.core.Pooler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that owns all state: a single-threaded scheduled executor runs the timers and, behind the
 * channel group, every completion handler. The group's own internal thread only waits for readiness.
 */
public final class Loop implements Pooler.Time, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final int BACKLOG = 512;

    private final ScheduledThreadPoolExecutor executor;
    private final AsynchronousChannelGroup group;
    private final long wallAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();
    private volatile Thread thread;

    public Loop(String name) throws IOException {
        executor = new ScheduledThreadPoolExecutor(1, task -> thread = new Thread(task, name));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        group = AsynchronousChannelGroup.withCachedThreadPool(executor, 0);
    }

    /** Unix ms: the wall clock is read once, so that no step of it reaches a deadline or an age. */
    @Override public double now() { return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6; }

    @Override public void after(double ms, Runnable what) {
        try {
            executor.schedule(guarded(what), (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.fine("a timer after the end");
        }
    }

    /** Runs on the loop as soon as may be. */
    public void run(Runnable what) { after(0, what); }

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
    private static Runnable guarded(Runnable what) {
        return () -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a task failed", e);
            }
        };
    }

    /** Opens a connection for a machine; a failure is told as its end. */
    public Stream connect(InetSocketAddress address, Machine machine) {
        AsynchronousSocketChannel channel = null;
        try {
            channel = AsynchronousSocketChannel.open(group);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            var stream = new Stream(this, channel, machine);
            channel.connect(address, stream, new CompletionHandler<Void, Stream>() {
                @Override public void completed(Void nothing, Stream s) { s.begin(); }
                @Override public void failed(Throwable why, Stream s) { s.end("connect: " + why.getMessage()); }
            });
            return stream;
        } catch (IOException | RuntimeException e) {
            var stream = new Stream(this, channel, machine);
            run(() -> stream.end("connect: " + e.getMessage()));
            return stream;
        }
    }

    /** A listening socket; each connection gets a machine of its own, or is closed when there is none. */
    public Listener listen(InetSocketAddress address, Supplier<Machine> machines) throws IOException {
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
                    run(Listener.this::accept);
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
                        stream.begin();
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
            group.shutdownNow();
        } catch (IOException e) {
            LOG.fine("close of the group: " + e);
        }
        executor.shutdownNow();
    }
}
