package crankspar.net;

import crankspar.core.Ports;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One TCP connection on the loop's selector: reads into its handler until the socket is empty or a
 * budget is spent, and writes what that yields at once, as far as the system takes it.
 */
public final class SocketConnection implements Connection, Pollable {
  private static final Logger LOG = Logger.getLogger(SocketConnection.class.getName());

  /** More than this queued for a peer that does not read ends its connection (bytes). */
  private static final int QUEUE_MOST = 2304 * 1024;

  /** How long a finished connection is still read, so that no reset overtakes the last answer. */
  private static final double LINGER_MS = 300;

  /** ... and how much of it at most: one that goes on sending is not worth the time. */
  private static final int LINGER_BYTES = 2048 * 1024;

  /** How long a peer may take to read what was written before its connection is finished. */
  private static final double FINISH_MOST_MS = 5000;

  private final EventLoop loop;
  private final ConnectionHandler handler;
  private final ReadinessPhase phase;
  private final ArrivalTime arrival;
  private final OutputQueue queue = new OutputQueue();
  private SocketChannel channel;
  private SelectionKey key;
  private int interest;
  private int lingered;
  private boolean open = true;
  private boolean up;
  private boolean reading;

  /** The last read found nothing more. */
  private boolean empty;

  private boolean paused;
  private boolean flushing;
  private boolean finishing;
  private boolean finished;

  /** Ends it if its peer neither reads nor goes; cancelled with its close. */
  private Ports.Timer ending = () -> {};

  private final UnreadWatch unread;

  private long received;

  SocketConnection(
      EventLoop loop, ConnectionHandler handler, ReadinessPhase phase, double emptyAt) {
    this.loop = loop;
    this.handler = handler;
    this.phase = handler.urgent() ? ReadinessPhase.NEWS : phase;
    arrival = new ArrivalTime(emptyAt);
    unread = new UnreadWatch(loop, queue, () -> end("the peer does not read"));
  }

  @Override
  public ReadinessPhase phase() {
    return phase;
  }

  // ---- Coming up.
  /** Begins to connect; what the system refuses at once is reported later, as its end. */
  void connect(InetSocketAddress address) {
    SocketChannel opened = null;
    try {
      opened = SocketChannel.open();
      opened.configureBlocking(false);
      opened.setOption(StandardSocketOptions.TCP_NODELAY, true);
      connecting(opened, opened.connect(address));
    } catch (IOException | RuntimeException e) {
      Quietly.close(opened);
      loop.run(() -> end("connect: " + e.getMessage()));
    }
  }

  /** The channel is being connected, or is already. */
  private void connecting(SocketChannel channel, boolean connected) throws IOException {
    this.channel = channel;
    register(connected ? 0 : SelectionKey.OP_CONNECT);
    if (connected) {
      loop.run(this::begin);
    }
  }

  /** The channel was accepted: whatever it has brought is read at once. */
  void accepted(SocketChannel channel) throws IOException {
    this.channel = channel;
    register(0);
    begin();
    readNow();
  }

  private void register(int ops) throws IOException {
    interest = ops;
    key = loop.register(channel, ops, this);
  }

  private void begin() {
    if (open) {
      up = true;
      updateInterest();
      guard(() -> handler.opened(this));
    }
  }

  @Override
  public void ready() {
    if (!open) {
      return;
    }
    if (!up) {
      finishConnect();
      return;
    }
    if (key.isValid() && key.isWritable()) {
      flush();
      if (open && queue.isEmpty() && !finishing) {
        guard(handler::drained);
      }
    }
    if (open && key.isValid() && key.isReadable()) {
      readNow();
    }
  }

  @Override
  public void passedOver() {
    arrival.leftUnread(loop.previousPoll());
  }

  private void finishConnect() {
    try {
      if (channel.finishConnect()) {
        arrival.foundEmpty(loop.now());
        begin();
      }
    } catch (IOException e) {
      end("connect: " + e.getMessage());
    }
  }

  /** An exception ends this connection only; its handler still hears of it. */
  private void guard(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "a connection's handler failed", e);
      end("internal error: " + e);
    }
  }

  // ---- Reading.
  @Override
  public void readNow() {
    if (reading || !up) {
      return;
    }
    reading = true;
    ByteBuffer in = loop.readBuffers().borrow();
    try {
      int budget = phase.readBudget();
      empty = false;
      while (open && !paused && budget > 0) {
        int count = readOnce(in);
        if (count <= 0) {
          empty = true;
          return;
        }
        budget -= count;
      }
      arrival.leftUnread(loop.previousPoll());
    } finally {
      reading = false;
      loop.readBuffers().release(in);
    }
  }

  @Override
  public boolean readAll() {
    if (reading) {
      return true; // what the socket holds is being delivered
    }
    do {
      readNow();
    } while (open && up && !paused && !empty);
    return !open || !paused;
  }

  /** Reads once and hands it on; how many bytes, nought or less where the socket has no more. */
  private int readOnce(ByteBuffer in) {
    double began = loop.now();
    int count;
    try {
      count = channel.read(in.clear());
    } catch (IOException e) {
      end("read: " + e.getMessage());
      return -1;
    }
    if (count == 0) {
      arrival.foundEmpty(began);
    } else if (count < 0) {
      peerFinished();
    } else {
      received += count;
      take(in.flip());
    }
    return count;
  }

  private void peerFinished() {
    if (!finishing) {
      guard(handler::finished);
    }
    end("closed by the peer");
  }

  private void take(ByteBuffer in) {
    if (!finishing) {
      guard(() -> handler.received(in));
      return;
    }
    lingered += in.remaining();
    if (lingered > LINGER_BYTES) {
      end("finished");
    }
  }

  @Override
  public double earliestArrival() {
    return arrival.earliest(loop.previousPoll());
  }

  @Override
  public void reading(boolean on) {
    paused = !on;
    arrival.leftUnread(loop.previousPoll());
    updateInterest();
    if (on) {
      loop.run(this::readNow); // what comes behind what waited is not as old
    }
  }

  /** Bytes that the peer has sent so far. */
  long received() {
    return received;
  }

  private void updateInterest() {
    int ops = (paused ? 0 : SelectionKey.OP_READ) | (queue.isEmpty() ? 0 : SelectionKey.OP_WRITE);
    if (ops != interest && open && up && key.isValid()) {
      interest = ops;
      key.interestOps(ops);
    }
  }

  // ---- Writing.
  @Override
  public void write(byte[] bytes, int length, Runnable written) {
    if (!open || finishing) {
      return;
    }
    if (queue.bytes() + length > QUEUE_MOST) {
      loop.run(() -> end("the peer does not read"));
      return;
    }
    queue.add(ByteBuffer.wrap(bytes, 0, length), written);
    flush();
  }

  /** The bytes go to the system next to the check: no queue and no callback comes between. */
  @Override
  public boolean writeIf(BooleanSupplier current, byte[] bytes, Runnable written) {
    if (!open || finishing || !up || !queue.isEmpty()) {
      return Connection.super.writeIf(current, bytes, written);
    }
    ByteBuffer left = ByteBuffer.wrap(bytes);
    left.limit(Math.min(bytes.length, OutputQueue.WRITE_MOST));
    try {
      if (!current.getAsBoolean()) {
        return false;
      }
      channel.write(left);
    } catch (IOException e) {
      loop.run(() -> end("write: " + e.getMessage())); // never within a call of the handler's
      return true;
    }
    left.limit(bytes.length);
    if (left.hasRemaining()) {
      queue.add(left, written);
      flush();
    } else {
      guard(written);
    }
    return true;
  }

  private void flush() {
    if (!open || !up || flushing) {
      return;
    }
    flushing = true;
    try {
      while (open && !queue.isEmpty() && queue.writeFirst(channel, this::guard)) {
        // until nothing is left or the system takes no more
      }
    } catch (IOException e) {
      queue.clear();
      loop.run(() -> end("write: " + e.getMessage())); // never within a call of the handler's
    } finally {
      flushing = false;
    }
    if (open && queue.isEmpty() && finishing && !finished) {
      shutDownOutput();
    }
    updateInterest();
    unread.update();
  }

  @Override
  public int unsentBytes() {
    return queue.bytes();
  }

  // ---- Ending.
  @Override
  public void finish() {
    finishing = true;
    paused = false;
    flush();
    if (open && !finished) {
      ending.cancel();
      ending = loop.timer(FINISH_MOST_MS, () -> end("the peer does not read"));
    }
  }

  private void shutDownOutput() {
    finished = true;
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      loop.run(() -> end("finish: " + e.getMessage()));
      return;
    }
    ending.cancel();
    ending = loop.timer(LINGER_MS, () -> end("finished"));
  }

  @Override
  public void reset() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      LOG.fine("reset: " + e);
    }
    close();
  }

  @Override
  public void close() {
    if (!open) {
      return;
    }
    open = false;
    ending.cancel();
    unread.cancel();
    queue.clear();
    Quietly.close(channel);
    handler.closed();
  }

  void end(String why) {
    if (!open) {
      return;
    }
    close();
    try {
      handler.ended(why);
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "a connection's handler failed at its end", e);
    }
  }
}
