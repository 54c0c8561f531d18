package crankspar.discovery;

import crankspar.Router;
import crankspar.core.Counters;
import crankspar.core.Ports;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.json.Json;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The calls to discovery, as {@link DiscoveryClient} wants them: mostly one that stays open. When
 * discovery moves, the call at the old address is heard on until the one at the new address has
 * brought its list.
 */
public final class Watch implements Ports.Discovery {
  private static final Logger LOG = Logger.getLogger(Watch.class.getName());

  /**
   * Whether lists are pushed by an agent, and how long (ms) new work may reach a member after it
   * was told to drain.
   */
  public record Terms(boolean pushed, double grace) {
    public static Terms of(Router.Settings settings) {
      return new Terms(!settings.watchDiscovery(), settings.guarantees().drainGrace());
    }
  }

  private final EventLoop loop;
  private final Counters counters;
  private final Consumer<MemberList> lists;
  private final Runnable lost;
  private final DiscoveryClient following;
  private final Map<Integer, Session> sessions = new HashMap<>();
  private InetSocketAddress address;
  private long revision;
  private final List<Runnable> word = new ArrayList<>();
  private int looks;

  public Watch(
      EventLoop loop,
      InetSocketAddress address,
      long revision,
      Counters counters,
      Terms terms,
      Consumer<MemberList> lists,
      Runnable lost) {
    this.loop = loop;
    this.address = address;
    this.revision = revision;
    this.counters = counters;
    this.lists = lists;
    this.lost = lost;
    following = new DiscoveryClient(terms.pushed(), terms.grace());
  }

  /** The module's wish; an agent's lists are followed whatever it wishes. */
  @Override
  public void watch(boolean on) {
    step(new DiscoveryClient.Event.Wanted(on));
  }

  /** Asks once for what is new, and hears no further; nothing where a call stands. */
  public void ask() {
    step(new DiscoveryClient.Event.Once());
  }

  /**
   * Runs after each line that discovery has written, lists and empty ones alike: what is in force
   * is the present list then.
   */
  public void onWord(Runnable what) {
    word.add(what);
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Whether a watch stands and has brought something. */
  public boolean up() {
    return following.standing() >= 0;
  }

  public long revision() {
    return revision;
  }

  /**
   * Discovery is to be found elsewhere from now on. Guards against a gap: the new watch opens at
   * once and asks for the whole list, as the count of another service's versions may be another.
   */
  public void moveTo(InetSocketAddress address) {
    if (address.equals(this.address)) {
      return;
    }
    LOG.info("discovery moves to " + address);
    counters.add("discovery_moves");
    this.address = address;
    revision = 0;
    step(new DiscoveryClient.Event.Moved());
  }

  private void step(DiscoveryClient.Event event) {
    for (DiscoveryClient.Effect effect : following.step(loop.now(), event)) {
      if (effect instanceof DiscoveryClient.Effect.Open e) {
        counters.add("discovery_watches");
        var session = new Session(e.call());
        sessions.put(e.call(), session);
        session.stream = loop.connect(address, session);
      } else if (effect instanceof DiscoveryClient.Effect.Drop e) {
        Session session = sessions.remove(e.call());
        if (session != null) {
          session.drop();
        }
      } else if (effect instanceof DiscoveryClient.Effect.Lost e) {
        counters.add("discovery_lost");
        LOG.info("watch lost: " + e.why());
        lost.run();
      }
    }
    double next = following.next();
    if (next < Double.POSITIVE_INFINITY) {
      int mine = ++looks; // only the last of the looks that were set is taken
      loop.after(
          next - loop.now() + 1,
          () -> {
            if (mine == looks) {
              step(new DiscoveryClient.Event.Look());
            }
          });
    }
  }

  private final class Session implements ConnectionHandler, HttpParser.Handler, Objects.Hearer {
    private final HttpParser parser = new HttpParser(false, Long.MAX_VALUE, this);
    private final Objects objects = new Objects(this);
    private final InetSocketAddress at = address;
    private final int call;
    private Connection stream;
    private boolean over;

    Session(int call) {
      this.call = call;
    }

    private void drop() {
      over = true;
      stream.close();
    }

    private void fail(String why) {
      if (!over) {
        drop();
        sessions.remove(call);
        LOG.info("a call to discovery ended: " + why);
        step(new DiscoveryClient.Event.Ended(call));
      }
    }

    @Override
    public void opened(Connection out) {
      step(new DiscoveryClient.Event.Up(call));
      out.write(
          HttpEncoder.request(
              "GET",
              "/api/targets?stream=1&index=" + revision,
              Map.of("Host", at.getHostString() + ":" + at.getPort()),
              new byte[0]));
    }

    @Override
    public void received(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.Malformed e) {
        in.position(in.limit());
        fail("malformed: " + e.getMessage());
      }
    }

    @Override
    public void ended(String why) {
      fail(why);
    }

    @Override
    public boolean urgent() {
      return true;
    }

    @Override
    public void head(HttpHead head) {
      if (head instanceof HttpHead.Response r && r.status() != 200) {
        fail("status " + r.status());
      }
    }

    @Override
    public void body(byte[] part) {
      if (!over) {
        objects.feed(part);
      }
      if (!over && objects.begun()) {
        step(new DiscoveryClient.Event.Begun(call));
      }
    }

    @Override
    public boolean object(String text) {
      try {
        MemberList list = MemberList.read(Json.object(text));
        boolean present = at.equals(address);
        if (present) {
          revision = list.revision();
        }
        counters.add("discovery_lists");
        lists.accept(list);
        return emptyLine();
      } catch (IOException | IllegalArgumentException e) {
        malformed("list: " + e.getMessage());
        return false;
      }
    }

    @Override
    public boolean emptyLine() {
      step(new DiscoveryClient.Event.Word(call));
      if (at.equals(address)) {
        word.forEach(Runnable::run);
      }
      return !over;
    }

    @Override
    public void malformed(String why) {
      counters.add("discovery_malformed");
      revision = 0; // what was missed is not known: the next watch brings the whole list
      fail("malformed " + why);
    }

    @Override
    public void end() {
      fail("the answer ended");
    }
  }
}
