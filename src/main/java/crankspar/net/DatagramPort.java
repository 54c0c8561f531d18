package crankspar.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.logging.Logger;

/**
 * A UDP port on the event loop. Received datagrams are notifications and are handled before any
 * work. Sending never blocks: a datagram for which the system has no buffer space is lost, as any
 * datagram may be.
 */
public final class DatagramPort implements AutoCloseable, Pollable {
  private static final Logger LOG = Logger.getLogger(DatagramPort.class.getName());

  /**
   * Maximum number of datagrams received in one poll; further ones are queued or dropped by the
   * system.
   */
  private static final int RECEIVES_MOST = 256;

  /** Receives each datagram on the event loop. */
  public interface Receiver {
    void received(InetSocketAddress from, byte[] bytes);
  }

  private final DatagramChannel channel;
  private final Receiver receiver;
  private final ByteBuffer buffer;

  /** Starts to listen; datagrams longer than {@code most} bytes are truncated. */
  public DatagramPort(EventLoop loop, InetSocketAddress listen, int most, Receiver receiver)
      throws IOException {
    this.receiver = receiver;
    buffer = ByteBuffer.allocate(most);
    channel = DatagramChannel.open();
    try {
      channel.configureBlocking(false);
      channel.bind(listen);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
    loop.run(() -> register(loop));
  }

  private void register(EventLoop loop) {
    try {
      loop.register(channel, SelectionKey.OP_READ, this);
    } catch (IOException e) {
      LOG.fine("a port that was closed before it began: " + e);
    }
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) channel.getLocalAddress();
  }

  @Override
  public ReadinessPhase phase() {
    return ReadinessPhase.NEWS;
  }

  @Override
  public void ready() {
    for (int i = 0; i < RECEIVES_MOST && channel.isOpen(); i++) {
      try {
        var from = (InetSocketAddress) channel.receive(buffer.clear());
        if (from == null) {
          return;
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        receiver.received(from, bytes);
      } catch (IOException e) {
        LOG.fine("receive: " + e); // a port that was refused at the other end, say
      }
    }
  }

  /** Sends a datagram; returns whether the operating system accepted it. */
  public boolean send(InetSocketAddress to, byte[] bytes) {
    try {
      return channel.send(ByteBuffer.wrap(bytes), to) > 0;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.fine("close of a port: " + e);
    }
  }
}
