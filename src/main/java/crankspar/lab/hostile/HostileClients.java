package crankspar.lab.hostile;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A process of hostile clients on one thread. A client whose connection ends opens another one, a
 * flooding one at once.
 */
public final class HostileClients {
  /** A rate (bytes a second) without a bound. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  /** Before a connection of a crowd is opened anew, and after one that was refused (ms). */
  private static final long RECONNECT_MS = 200;

  private static final long TICK_MS = 20;
  private static final int TICKS_PER_SECOND = 50;
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int CONNECTS_PER_TICK = 64;

  private final InetSocketAddress address;
  private final Selector selector = Selector.open();
  private final ByteBuffer in = ByteBuffer.allocate(BUFFER_BYTES);
  private final List<Client> clients = new ArrayList<>();
  private final boolean resets;
  private long numbers;
  private long connections;
  private long written;
  private int connectsLeft;

  private final class Client {
    final HostileKind kind;
    SelectionKey key;
    SocketChannel channel;
    ByteBuffer out;
    long opensAt;
    long sent;
    int writable;
    int readable;

    Client(HostileKind kind) {
      this.kind = kind;
    }

    void tick(long now) throws IOException {
      writable = perTick(kind.writeRate());
      readable = perTick(kind.readRate());
      if (channel == null && now >= opensAt && connectsLeft-- > 0) {
        open();
      } else if (channel != null && channel.isConnected()) {
        interest();
      }
    }

    private static int perTick(int rate) {
      return rate == UNLIMITED ? rate : (rate + TICKS_PER_SECOND - 1) / TICKS_PER_SECOND;
    }

    private void open() throws IOException {
      sent = 0;
      connections++;
      out = ByteBuffer.wrap(kind.opening(numbers++));
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = channel.register(selector, SelectionKey.OP_CONNECT, this);
      try {
        if (channel.connect(address)) {
          interest();
        }
      } catch (IOException e) {
        ended();
      }
    }

    private void interest() {
      boolean more = out.hasRemaining() || sent == 0 || kind.repeats() && !finished();
      key.interestOps(
          (more && writable > 0 ? SelectionKey.OP_WRITE : 0)
              | (readable > 0 ? SelectionKey.OP_READ : 0));
    }

    private boolean finished() {
      return kind.reconnects() && sent > 0;
    }

    void ready() {
      try {
        if (key.isConnectable() && channel.finishConnect()) {
          interest();
        } else {
          if (key.isReadable() && !read()) {
            return;
          }
          if (key.isWritable()) {
            write();
          }
          interest();
        }
      } catch (IOException e) {
        ended();
      }
    }

    private void write() throws IOException {
      if (!out.hasRemaining()) {
        out = ByteBuffer.wrap(kind.next(kind == HostileKind.REST_TRAILERS ? sent : numbers++));
        sent++;
      }
      out.limit(Math.min(out.capacity(), out.position() + Math.min(writable, BUFFER_BYTES)));
      int count = channel.write(out);
      out.limit(out.capacity());
      written += count;
      writable -= count;
    }

    /** False where the connection has ended, or its one answer is here. */
    private boolean read() throws IOException {
      in.clear().limit(Math.min(BUFFER_BYTES, readable));
      int count = channel.read(in);
      readable -= Math.max(0, count);
      if (count < 0 || finished() && !out.hasRemaining()) {
        ended();
        return false;
      }
      return true;
    }

    void ended() {
      close();
      opensAt = now() + (kind.repeats() ? 0 : RECONNECT_MS);
      if (kind.repeats() && connectsLeft-- > 0) {
        try {
          open();
        } catch (IOException e) {
          opensAt = now() + RECONNECT_MS;
        }
      }
    }

    void close() {
      try {
        if (channel != null) {
          if (resets) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
          }
          channel.close();
        }
      } catch (IOException e) {
        // it is gone
      }
      channel = null;
    }
  }

  private HostileClients(InetSocketAddress address, boolean resets) throws IOException {
    this.address = address;
    this.resets = resets;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void play(long forMs) throws IOException {
    long end = now() + forMs;
    long tick = 0;
    while (now() < end) {
      if (now() >= tick) {
        tick = now() + TICK_MS;
        connectsLeft = CONNECTS_PER_TICK;
        for (Client client : clients) {
          client.tick(now());
        }
      }
      selector.select(Math.max(1, tick - now()));
      for (SelectionKey key : selector.selectedKeys()) {
        if (key.isValid()) {
          ((Client) key.attachment()).ready();
        }
      }
      selector.selectedKeys().clear();
    }
    clients.forEach(Client::close);
  }

  /** Arguments: port, milliseconds, FIN or RESET at the end, then a kind and a count by turns. */
  public static void main(String[] args) throws IOException {
    var address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]));
    var hostile = new HostileClients(address, args[2].equals("RESET"));
    for (int i = 3; i < args.length; i += 2) {
      for (int n = Integer.parseInt(args[i + 1]); n > 0; n--) {
        hostile.clients.add(hostile.new Client(HostileKind.valueOf(args[i])));
      }
    }
    hostile.play(Long.parseLong(args[1]));
    System.out.println(hostile.connections + " connections, " + hostile.written + " bytes");
  }
}
