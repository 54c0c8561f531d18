package crankspar.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The thin driver of one connection: reads into its machine and writes what that yields. */
public final class Stream implements Machine.Out {
    private static final Logger LOG = Logger.getLogger(Stream.class.getName());
    /** More than this queued for a peer that does not read ends its connection. */
    private static final int QUEUE_MOST = 2304 * 1024;
    /** How long a finished connection is still read, so that no reset overtakes the last answer (ms). */
    private static final double LINGER = 300;
    /** ... and how much of it at most: one that goes on sending is not worth the time. */
    private static final int LINGER_BYTES = 2048 * 1024;

    /** How long a peer may take to read what was written before its connection is finished (ms). */
    private static final double FINISH_MOST = 5000;

    private record Chunk(ByteBuffer bytes, Runnable written) { }

    private final Loop loop;
    private final AsynchronousSocketChannel channel;
    private final Machine machine;
    private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
    private ByteBuffer in;
    private int queued, lingered, next = Machine.READ;
    private boolean open = true, reading, held, writing, finishing, finished, wasUnderway;
    private long received;

    Stream(Loop loop, AsynchronousSocketChannel channel, Machine machine) {
        this.loop = loop;
        this.channel = channel;
        this.machine = machine;
    }

    /** Now, or after what is held for a pause. */
    void inTurn(Runnable what) {
        if (loop.holds(machine.urgent())) {
            loop.later(what);
        } else {
            what.run();
        }
    }

    void begin() {
        if (open) {
            next = machine.firstRead();
            in = ByteBuffer.allocate(next);
            guard(() -> machine.opened(this));
            read();
        }
    }

    /** An exception ends this connection only; its machine still hears of it, and its request gets its outcome. */
    private void guard(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "a connection's machine failed", e);
            end("internal error: " + e);
        }
    }

    private void read() {
        if (!open || reading || held) {
            return;
        }
        reading = true;
        in = next == in.capacity() ? in.clear() : ByteBuffer.allocate(next);
        channel.read(in, null, new CompletionHandler<Integer, Void>() {
            @Override public void completed(Integer count, Void nothing) {
                if (loop.holds(machine.urgent())) {
                    loop.later(() -> took(count));
                } else {
                    took(count);
                }
            }

            private void took(int count) {
                reading = false;
                if (!open) {
                    return;
                }
                if (count < 0) {
                    if (!finishing) {
                        guard(machine::finished);
                    }
                    end("closed by the peer");
                    return;
                }
                received += count;
                in.flip();
                fit(count);
                if (!finishing) {
                    guard(() -> machine.received(in));
                } else if ((lingered += count) > LINGER_BYTES) {
                    end("finished");
                    return;
                }
                // Handlers may run inline: going round by the queue keeps a fast peer from nesting reads.
                if (machine.urgent()) {
                    loop.runUrgent(Stream.this::read);
                } else {
                    loop.nextRead(Stream.this::read);
                }
            }

            @Override public void failed(Throwable why, Void nothing) {
                inTurn(() -> {
                    reading = false;
                    end("read: " + why.getMessage());
                });
            }
        });
    }

    /** A buffer that is filled grows for the next read, and goes back once reads are short: idle peers keep a small one. */
    private void fit(int count) {
        int first = machine.firstRead();
        next = count == in.capacity() ? Machine.READ : count < first ? first : in.capacity();
    }

    @Override public void write(byte[] bytes, int length, Runnable written) {
        if (!open || finishing) {
            return;
        }
        queued += length;
        if (queued > QUEUE_MOST) {
            loop.run(() -> end("the peer does not read"));
            return;
        }
        queue.add(new Chunk(ByteBuffer.wrap(bytes, 0, length), written));
        flush();
    }

    private void flush() {
        if (!open || writing) {
            return;
        }
        if (queue.isEmpty()) {
            if (finishing && !finished) {
                finishNow();
            }
            return;
        }
        writing = true;
        Chunk chunk = queue.peek();
        channel.write(chunk.bytes(), null, new CompletionHandler<Integer, Void>() {
            @Override public void completed(Integer count, Void nothing) {
                writing = false;
                if (!open) {
                    return;
                }
                queued -= count;
                if (!chunk.bytes().hasRemaining()) {
                    queue.poll();
                    if (chunk.written() != null) {
                        guard(chunk.written());
                    }
                }
                flush();
            }

            @Override public void failed(Throwable why, Void nothing) {
                writing = false;
                inTurn(() -> end("write: " + why.getMessage()));
            }
        });
    }

    @Override public void reading(boolean on) {
        held = !on;
        read();
    }

    /** Bytes that the peer has sent so far. */
    long received() { return received; }

    @Override public void finish() {
        finishing = true;
        held = false;
        flush();
        if (!finished) {
            loop.after(FINISH_MOST, () -> {
                if (!finished) {              // guards against a peer that neither reads nor goes
                    end("the peer does not read");
                }
            });
        }
    }

    @Override public boolean unsent() { return !queue.isEmpty(); }

    @Override public boolean underway() { return open ? writing && queue.size() == 1 : wasUnderway; }

    private void finishNow() {
        finished = true;
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            end("finish: " + e.getMessage());
            return;
        }
        read();
        loop.after(LINGER, () -> end("finished"));
    }

    @Override public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            LOG.fine("reset: " + e);
        }
        close();
    }

    @Override public void close() {
        if (open) {
            wasUnderway = underway();
            open = false;
            queue.clear();
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException e) {
                    LOG.fine("close: " + e);
                }
            }
            machine.closed();
        }
    }

    void end(String why) {
        if (open) {
            close();
            try {
                machine.ended(why);
            } catch (RuntimeException e) {
                LOG.log(Level.WARNING, "a connection's machine failed at its end", e);
            }
        }
    }
}
