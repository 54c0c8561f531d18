package crankspar.lab.rig;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The way from one party to another over TCP: who connects to its address reaches the other through
 * it, and what goes wrong on the way is set for each direction apart. All of it happens on the
 * loop.
 *
 * <p>What a link cannot do on loopback: keep a connection from coming up at all without refusing
 * it. While it is cut, one comes up and stays silent.
 */
public final class Link implements AutoCloseable {
  /** THERE from who connects, BACK to it. */
  public enum Way {
    THERE,
    BACK
  }

  /**
   * How bytes travel one way: {@code delay} ms late, at most so many a second; nothing moves while
   * it stalls.
   */
  public record Travel(boolean stalled, double delay, double bytesPerSecond) {
    public static final Travel FREE = new Travel(false, 0, Double.POSITIVE_INFINITY);
    public static final Travel STALLED = new Travel(true, 0, Double.POSITIVE_INFINITY);
  }

  /**
   * What may wait on its way in one direction of a connection (bytes): then its sender is read no
   * further.
   */
  private static final int WAITING_MOST = 1 << 20;

  private final EventLoop loop;
  private final InetSocketAddress to;
  private final Sockets sockets;
  private final Sockets.Door listener;
  private final Map<Way, Travel> travel = new EnumMap<>(Way.class);
  private final Set<Pair> pairs = new HashSet<>();
  private boolean refuses;

  public Link(EventLoop loop, Sockets sockets, InetSocketAddress at, InetSocketAddress to)
      throws IOException {
    this.loop = loop;
    this.to = to;
    this.sockets = sockets;
    travel.put(Way.THERE, Travel.FREE);
    travel.put(Way.BACK, Travel.FREE);
    listener = sockets.listen(at, () -> refuses ? null : new Pair().near);
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  /** From now on bytes travel so, those on their way among them. */
  public void travel(Way way, Travel how) {
    loop.run(
        () -> {
          travel.put(way, how);
          List.copyOf(pairs).forEach(p -> p.flow(way).move());
        });
  }

  /** On the loop: whether bytes move this way now. */
  boolean moves(Way way) {
    return !travel.get(way).stalled();
  }

  /** Silent both ways, open connections and new ones; once it is back, what waited comes late. */
  public void cut(boolean on) {
    for (Way way : Way.values()) {
      travel(way, on ? Travel.STALLED : Travel.FREE);
    }
  }

  /** New connections are ended at once. */
  public void refuse(boolean on) {
    loop.run(() -> refuses = on);
  }

  /** Ends every open connection by a reset, both ways. */
  public void reset() {
    loop.run(() -> new ArrayList<>(pairs).forEach(Pair::reset));
  }

  private record Part(byte[] bytes, double due) {}

  /** One connection through the link. */
  private final class Pair {
    final Side near = new Side(this, Way.THERE);
    final Side far = new Side(this, Way.BACK);

    Pair() {
      pairs.add(this);
    }

    Side sender(Way way) {
      return way == Way.THERE ? near : far;
    }

    Flow flow(Way way) {
      return sender(way).flow;
    }

    void reset() {
      pairs.remove(this);
      for (Side s : List.of(near, far)) {
        if (s.out != null) {
          s.out.reset();
        }
      }
    }
  }

  /** One end: what it sends goes into its flow and comes out at the other end. */
  private final class Side implements ConnectionHandler {
    final Pair pair;
    final Way way;
    final Flow flow;
    Connection out;

    Side(Pair pair, Way way) {
      this.pair = pair;
      this.way = way;
      flow = new Flow(this);
    }

    Side other() {
      return pair.sender(way == Way.THERE ? Way.BACK : Way.THERE);
    }

    @Override
    public void opened(Connection out) {
      this.out = out;
      if (way == Way.THERE) {
        sockets.connect(to, pair.far);
      }
      other().flow.move();
    }

    @Override
    public void received(ByteBuffer in) {
      byte[] bytes = new byte[in.remaining()];
      in.get(bytes);
      flow.add(bytes);
    }

    @Override
    public void ended(String why) {
      if (out == null && way == Way.BACK) {
        pair.reset(); // the other party does not listen: its refusal is told as a reset
        return;
      }
      flow.ended = true;
      flow.move();
    }
  }

  private final class Flow {
    final Side from;
    final ArrayDeque<Part> waiting = new ArrayDeque<>();
    int bytes;
    double free;
    boolean ended, moving;

    Flow(Side from) {
      this.from = from;
    }

    void add(byte[] part) {
      waiting.add(new Part(part, loop.now() + travel.get(from.way).delay()));
      bytes += part.length;
      if (bytes > WAITING_MOST) {
        from.out.reading(false);
      }
      move();
    }

    /** The first that waits leaves when its time has come; a stall holds ends back too. */
    void move() {
      Connection to = from.other().out;
      Travel how = travel.get(from.way);
      if (moving || to == null || how.stalled()) {
        return;
      }
      Part first = waiting.peek();
      if (first == null) {
        if (ended) {
          to.finish();
          pairs.remove(from.pair);
        }
        return;
      }
      moving = true;
      loop.after(
          Math.max(first.due(), free) - loop.now(),
          () -> {
            moving = false;
            if (!travel.get(from.way).stalled()) {
              waiting.poll();
              bytes -= first.bytes().length;
              free = loop.now() + 1000 * first.bytes().length / how.bytesPerSecond();
              to.write(first.bytes());
              if (bytes <= WAITING_MOST / 2) {
                from.out.reading(true);
              }
              move();
            }
          });
    }
  }

  @Override
  public void close() {
    listener.close();
    reset();
  }
}
