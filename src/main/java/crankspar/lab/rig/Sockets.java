package crankspar.lab.rig;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Supplier;

/**
 * Connections that can be ended by a real reset, which NIO.2's asynchronous channels cannot do
 * (they know no SO_LINGER): one thread waits for readiness and hands each over to the loop, where
 * all else happens.
 */
public final class Sockets implements AutoCloseable {
  private static final int READ = 64 * 1024;

  private final EventLoop loop;
  private final Selector selector;

  public Sockets(EventLoop loop) throws IOException {
    this.loop = loop;
    selector = Selector.open();
    var thread = new Thread(this::await, "rig-sockets");
    thread.setDaemon(true);
    thread.start();
  }

  private void await() {
    try {
      while (selector.isOpen()) {
        selector.select(
            key -> {
              try {
                int ready = key.readyOps();
                key.interestOpsAnd(~ready);
                loop.run(() -> ((Ready) key.attachment()).ready(ready));
              } catch (CancelledKeyException e) {
                // closed under it
              }
            });
        Thread.onSpinWait();
      }
    } catch (IOException | ClosedSelectorException e) {
      // closed: the rig has ended
    }
  }

  private interface Ready {
    void ready(int what);
  }

  /** A listening socket; {@link #close} ends it, not what it has accepted. */
  public final class Door implements Ready, AutoCloseable {
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final Supplier<ConnectionHandler> machines;
    private final SelectionKey key;

    private Door(InetSocketAddress at, Supplier<ConnectionHandler> machines) throws IOException {
      this.machines = machines;
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(at, 512).configureBlocking(false);
      key = server.register(selector, 0, this);
      listen(key, SelectionKey.OP_ACCEPT);
    }

    public InetSocketAddress address() {
      try {
        return (InetSocketAddress) server.getLocalAddress();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }

    @Override
    public void ready(int what) {
      try {
        for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
          ConnectionHandler m = machines.get();
          var line = new Line(c, m == null ? ConnectionHandler.DEAF : m);
          if (m == null) {
            line.reset();
          } else {
            line.begin();
          }
        }
        listen(key, SelectionKey.OP_ACCEPT);
      } catch (IOException e) {
        // closed, or out of descriptors: the test that does that sees it
      }
    }

    @Override
    public void close() {
      try {
        server.close();
      } catch (IOException e) {
        // as closed as it can be
      }
    }
  }

  private void listen(SelectionKey key, int what) {
    try {
      key.interestOpsOr(what);
      selector.wakeup();
    } catch (CancelledKeyException e) {
      // closed meanwhile
    }
  }

  public Door listen(InetSocketAddress at, Supplier<ConnectionHandler> machines)
      throws IOException {
    return new Door(at, machines);
  }

  /** On the loop; a failure is told as its end. */
  public void connect(InetSocketAddress to, ConnectionHandler machine) {
    try {
      SocketChannel c = SocketChannel.open();
      new Line(c, machine).connect(to);
    } catch (IOException | RuntimeException e) {
      loop.run(() -> machine.ended("connect: " + e.getMessage()));
    }
  }

  /** One connection. */
  private final class Line implements Connection, Ready {
    private final SocketChannel channel;
    private final ConnectionHandler machine;
    private final SelectionKey key;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private final ByteBuffer in = ByteBuffer.allocate(READ);
    private boolean open = true, up, finishing, finished, held, eof;

    Line(SocketChannel channel, ConnectionHandler machine) throws IOException {
      this.channel = channel;
      this.machine = machine;
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = channel.register(selector, 0, this);
    }

    void begin() {
      up = true;
      machine.opened(this);
      listen(key, SelectionKey.OP_READ);
    }

    void connect(InetSocketAddress to) throws IOException {
      if (channel.connect(to)) {
        loop.run(this::begin);
      } else {
        listen(key, SelectionKey.OP_CONNECT);
      }
    }

    @Override
    public void ready(int what) {
      if (!open) {
        return;
      }
      try {
        if (!up) {
          channel.finishConnect();
          begin();
          return;
        }
        if ((what & SelectionKey.OP_WRITE) != 0) {
          flush();
        }
        if (open && (what & SelectionKey.OP_READ) != 0) {
          read();
        }
      } catch (IOException e) {
        end(e.getMessage());
      }
    }

    private void read() throws IOException {
      if (held || eof) {
        return;
      }
      int n = channel.read(in.clear());
      if (n < 0) {
        eof = true;
        machine.ended("closed by the peer"); // what is still on its way to it goes on
        if (finished) {
          close();
        }
        return;
      }
      if (n > 0) {
        machine.received(in.flip());
      }
      if (open && !held) {
        listen(key, SelectionKey.OP_READ);
      }
    }

    @Override
    public void write(byte[] bytes, int length, Runnable written) {
      if (open && !finishing) {
        out.add(ByteBuffer.wrap(bytes, 0, length));
        flush();
      }
    }

    private void flush() {
      try {
        while (!out.isEmpty()) {
          channel.write(out.peek());
          if (out.peek().hasRemaining()) {
            listen(key, SelectionKey.OP_WRITE);
            return;
          }
          out.poll();
        }
        if (finishing && !finished) {
          finished = true;
          channel.shutdownOutput();
          if (eof) {
            close();
          }
        }
      } catch (IOException e) {
        end(e.getMessage());
      }
    }

    @Override
    public void reading(boolean on) {
      held = !on;
      if (on && open && !eof) {
        listen(key, SelectionKey.OP_READ);
      }
    }

    @Override
    public void finish() {
      finishing = true;
      flush();
    }

    @Override
    public void reset() {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // gone already
      }
      close();
    }

    @Override
    public void close() {
      if (open) {
        open = false;
        try {
          channel.close();
          selector.wakeup();
        } catch (IOException e) {
          // as closed as it can be
        }
        machine.closed();
      }
    }

    private void end(String why) {
      if (open) {
        close();
        machine.ended(why);
      }
    }
  }

  @Override
  public void close() {
    try {
      selector
          .keys()
          .forEach(
              k -> {
                try {
                  k.channel().close();
                } catch (IOException e) {
                  // as closed as it can be
                }
              });
      selector.close();
    } catch (IOException | ClosedSelectorException e) {
      // as closed as it can be
    }
  }
}
