package crankspar.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * A listening socket. All pending connections are accepted in one poll and read at once. Each gets
 * its own handler, or is closed if there is none.
 */
public final class Listener implements AutoCloseable, Pollable {
  private static final Logger LOG = Logger.getLogger(Listener.class.getName());
  private static final int BACKLOG = 512;

  /**
   * Maximum number of connections accepted per poll: a full backlog and those that arrive
   * meanwhile.
   */
  private static final int ACCEPTS_MOST = 2 * BACKLOG;

  /** Delay (ms) before the next accept after one failed, for lack of descriptors for instance. */
  private static final double RETRY_MS = 20;

  private final EventLoop loop;
  private final ServerSocketChannel server;
  private final Supplier<ConnectionHandler> handlers;
  private final ReadinessPhase phase;
  private final ArrivalTime arrival;
  private SelectionKey key;

  Listener(
      EventLoop loop,
      InetSocketAddress address,
      Supplier<ConnectionHandler> handlers,
      ReadinessPhase phase)
      throws IOException {
    this.loop = loop;
    this.handlers = handlers;
    this.phase = phase;
    server = ServerSocketChannel.open();
    try {
      server.configureBlocking(false);
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      // One process replaces another under load.
      server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      arrival = new ArrivalTime(loop.now());
      server.bind(address, BACKLOG);
    } catch (IOException | RuntimeException e) {
      server.close();
      throw e;
    }
  }

  /**
   * Accepts connections that arrived since the socket was bound; from then on the polls determine
   * their age.
   */
  void begin() {
    try {
      key = loop.register(server, SelectionKey.OP_ACCEPT, this);
      ready();
    } catch (IOException e) {
      LOG.fine("a listener that was closed before it began: " + e);
    }
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  @Override
  public ReadinessPhase phase() {
    return phase;
  }

  @Override
  public void ready() {
    try {
      for (int i = 0; i < ACCEPTS_MOST && server.isOpen(); i++) {
        double began = loop.now();
        SocketChannel channel = server.accept();
        if (channel == null) {
          arrival.foundEmpty(began);
          return;
        }
        accepted(channel);
      }
      arrival.leftUnread(loop.previousPoll());
    } catch (IOException e) {
      arrival.leftUnread(loop.previousPoll());
      retry(e);
    }
  }

  @Override
  public void passedOver() {
    arrival.leftUnread(loop.previousPoll());
  }

  private void retry(IOException why) {
    if (!server.isOpen() || !key.isValid()) {
      return;
    }
    LOG.warning("accept: " + why);
    key.interestOps(0);
    loop.after(
        RETRY_MS,
        () -> {
          if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
            ready();
          }
        });
  }

  private void accepted(SocketChannel channel) {
    ConnectionHandler handler = handlers.get();
    if (handler == null) {
      Quietly.close(channel); // nothing was read, so the client knows that no request was accepted
      return;
    }
    double emptyAt = arrival.earliest(loop.previousPoll());
    var connection = new SocketConnection(loop, handler, ReadinessPhase.CLIENTS, emptyAt);
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      connection.accepted(channel);
    } catch (IOException e) {
      connection.end("accept: " + e.getMessage());
      Quietly.close(channel);
    }
  }

  /**
   * Accepts the pending connections, which their clients take for accepted, and closes the socket.
   */
  @Override
  public void close() {
    if (loop.here()) {
      closeNow();
    } else {
      loop.run(this::closeNow);
    }
  }

  private void closeNow() {
    if (!server.isOpen()) {
      return;
    }
    if (key != null) {
      ready();
    }
    try {
      server.close();
    } catch (IOException e) {
      LOG.fine("close of a listener: " + e);
    }
  }
}
