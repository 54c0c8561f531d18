package crankspar.membership;

import crankspar.core.Counters;
import crankspar.net.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.logging.Logger;

/**
 * The socket between poolers. NIO.2 has no asynchronous datagrams: one thread waits for them and hands each over to the
 * loop, which owns all state; no more than a bound are on their way, and what comes beyond is dropped and counted. Sending
 * never waits: what the kernel has no room for is lost, as any datagram may be.
 */
public final class Datagrams implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Datagrams.class.getName());
    /** Datagrams between the waiting thread and the loop. */
    private static final int WAITING_MOST = 1024;

    private final Loop loop;
    private final Counters counters;
    private final DatagramChannel channel;
    private final AtomicInteger waiting = new AtomicInteger();

    /** Listens at once; {@code taker} hears each on the loop. */
    public Datagrams(Loop loop, Counters counters, InetSocketAddress listen, Consumer<byte[]> taker) throws IOException {
        this(loop, counters, listen, from -> true, taker);
    }

    /** Only what comes from an address that {@code known} holds is handed over; the rest is dropped and counted. */
    public Datagrams(Loop loop, Counters counters, InetSocketAddress listen, Predicate<InetSocketAddress> known, Consumer<byte[]> taker)
            throws IOException {
        this.loop = loop;
        this.counters = counters;
        channel = DatagramChannel.open();
        try {
            channel.bind(listen);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        var thread = new Thread(() -> receive(known, taker), "peers");
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

    private void receive(Predicate<InetSocketAddress> known, Consumer<byte[]> taker) {
        var buffer = ByteBuffer.allocate(2 * Packet.MOST);
        while (channel.isOpen()) {
            try {
                buffer.clear();
                var from = (InetSocketAddress) channel.receive(buffer);
                if (!known.test(from)) {
                    loop.run(() -> counters.add("peers_dropped_stranger"));
                    continue;
                }
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                if (waiting.get() >= WAITING_MOST) {
                    loop.run(() -> counters.add("peers_dropped_full"));
                    Thread.onSpinWait();
                    continue;
                }
                waiting.incrementAndGet();
                loop.runUrgent(() -> {
                    waiting.decrementAndGet();
                    taker.accept(bytes);
                });
            } catch (ClosedChannelException e) {
                return;
            } catch (IOException e) {
                LOG.fine("receive: " + e); // a port that was refused at the other end, say
            }
        }
    }

    /** Once, on the loop; what cannot be sent is lost and counted. */
    public void send(InetSocketAddress to, byte[] bytes) {
        if (bytes.length > Packet.MOST) {
            throw new IllegalArgumentException("a datagram of " + bytes.length + " bytes"); // longer ones void a run
        }
        try {
            if (channel.send(ByteBuffer.wrap(bytes), to) == 0) {
                counters.add("peers_unsent");
            }
        } catch (IOException e) {
            counters.add("peers_unsent");
        }
    }

    @Override public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.fine("close of the peers' socket: " + e);
        }
    }
}
