package crankspar.store;

import crankspar.core.Counters;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.net.SocketConnection;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * Pulls the peers' changes, page by page. A peer that is down is asked again in the next period.
 */
public final class Replication {
  private static final Logger LOG = Logger.getLogger(Replication.class.getName());
  private static final int LIMIT = 100;
  private static final int BODY_MOST = 8 << 20;

  private final EventLoop loop;
  private final Store store;
  private final Counters counters;
  private final double period;

  public Replication(
      EventLoop loop,
      Store store,
      Counters counters,
      double period,
      List<InetSocketAddress> peers) {
    this.loop = loop;
    this.store = store;
    this.counters = counters;
    this.period = period;
    for (InetSocketAddress peer : peers) {
      loop.run(() -> new Pull(peer).ask(""));
    }
  }

  /** One peer: where its changes have been read to, and the page under way. */
  private final class Pull {
    private final InetSocketAddress peer;

    Pull(InetSocketAddress peer) {
      this.peer = peer;
    }

    void ask(String cursor) {
      new Exchange(this, cursor).start();
    }

    void over(String cursor, boolean more) {
      loop.after(more ? 0 : period, () -> ask(cursor));
    }
  }

  private final class Exchange implements ConnectionHandler, HttpParser.Handler {
    private final Pull pull;
    private final String cursor;
    private final HttpParser parser = new HttpParser(false, BODY_MOST, this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private SocketConnection stream;
    private int status;
    private boolean over;

    Exchange(Pull pull, String cursor) {
      this.pull = pull;
      this.cursor = cursor;
    }

    void start() {
      stream = loop.connect(pull.peer, this);
      loop.after(2 * period + 1000, () -> fail("no answer in time"));
    }

    @Override
    public void opened(Connection out) {
      out.write(
          HttpEncoder.request(
              "GET",
              StoreResource.PATH + "?limit=" + LIMIT + "&cursor=" + cursor,
              Map.of("Host", "peer", "Connection", "close"),
              new byte[0]));
    }

    @Override
    public void received(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.Malformed e) {
        in.position(in.limit());
        fail(e.getMessage());
      }
    }

    @Override
    public void head(HttpHead head) {
      status = ((HttpHead.Response) head).status();
    }

    @Override
    public void body(byte[] part) {
      if (body.size() + part.length > BODY_MOST) {
        fail("a page of more than " + BODY_MOST + " bytes");
      } else if (!over) {
        body.writeBytes(part);
      }
    }

    @Override
    public void end() {
      if (over) {
        return;
      }
      if (status != 200) {
        fail("status " + status);
        return;
      }
      try {
        StoreJson.Read page = StoreJson.read(body.toByteArray());
        page.entries().forEach(this::take);
        finish();
        pull.over(page.next() == null ? "" : page.next(), page.more());
      } catch (IOException e) {
        fail(e.getMessage());
      }
    }

    /** Guards against one entry that is refused and keeps out all that stand behind it. */
    private void take(Store.Entry e) {
      try {
        counters.add(store.take(e) ? "store_pulled" : "store_known");
      } catch (Store.Refused refused) {
        counters.add("store_refused");
        LOG.warning("an entry of " + pull.peer + " is left out: " + refused.getMessage());
      }
    }

    @Override
    public void ended(String why) {
      fail(why);
    }

    private void finish() {
      over = true;
      stream.close();
    }

    private void fail(String why) {
      if (!over) {
        finish();
        counters.add("store_pull_failed");
        LOG.fine(() -> "no page from " + pull.peer + ": " + why);
        pull.over(cursor, false);
      }
    }
  }
}
