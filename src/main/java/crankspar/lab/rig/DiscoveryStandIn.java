package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.discovery.MemberList;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A stand-in for discovery: the whole list, a watch on changes, one call after the other at a
 * capacity of its own, calls that waited too long answered 503, and what goes wrong with it. Its
 * record tells when each change was written to each caller: the time from which a pooler counts as
 * told.
 */
public final class DiscoveryStandIn implements AutoCloseable {
  /** A change on its way to a caller. */
  public record Written(double at, String caller, long revision, String member, Health health) {}

  private static final double BEAT = 2000;

  /**
   * The changes that are kept for watches that fell behind; one further behind gets the whole list.
   */
  private static final int HISTORY_MOST = 1000;

  private static final int WRITTEN_MOST = 1_000_000;

  private record Change(long revision, Member member) {}

  private final EventLoop loop;
  private final Sockets.Door listener;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  /**
   * By who calls (its Host header): where each database is for it, as addresses may vary from one
   * pooler to the next.
   */
  private final Map<String, Map<String, InetSocketAddress>> seenBy = new LinkedHashMap<>();

  private final List<Change> history = new ArrayList<>();
  private final LinkedHashSet<Caller> watches = new LinkedHashSet<>();
  private final CallQueue calls;
  private final List<Written> written = new ArrayList<>();
  private long revision = 1;
  private double late;
  private boolean down, silent, indented;
  private final List<Runnable> atReturn = new ArrayList<>();
  private List<Member> old;
  private Predicate<String> reaches = caller -> true;

  public DiscoveryStandIn(EventLoop loop, Sockets sockets, InetSocketAddress at)
      throws IOException {
    this.loop = loop;
    calls = new CallQueue(loop);
    listener = sockets.listen(at, () -> down ? null : new Caller());
    beat();
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  /** A database as it is now; every watch hears of it, after as long as this discovery is late. */
  public void set(Member m, InetSocketAddress address) {
    loop.run(
        () -> {
          addresses.put(m.id(), address);
          change(m);
        });
  }

  /** Where a database is for the pooler that calls discovery by this name. */
  public void seen(String caller, String id, InetSocketAddress address) {
    loop.run(() -> seenBy.computeIfAbsent(caller, k -> new LinkedHashMap<>()).put(id, address));
  }

  /** Whether what is written now arrives at who calls by this name: else it is no telling. */
  public void reaches(Predicate<String> reaches) {
    loop.run(() -> this.reaches = reaches);
  }

  /** The same database in another state of health. */
  public void health(String id, Health health) {
    loop.run(() -> change(Members.withHealth(members.get(id), health)));
  }

  private void change(Member m) {
    if (m.health() == Health.GONE) {
      members.remove(m.id());
    } else {
      members.put(m.id(), m);
    }
    long number = ++revision;
    history.add(new Change(number, m));
    if (history.size() > HISTORY_MOST) {
      history.remove(0);
    }
    loop.after(
        late,
        () -> said(() -> List.copyOf(watches).forEach(w -> w.tell(number, false, List.of(m)))));
  }

  // ---- What goes wrong.
  /** Watches end, and calls are ended at the door. */
  public void down(boolean on) {
    loop.run(
        () -> {
          down = on;
          if (on) {
            List.copyOf(watches).forEach(Caller::drop);
          }
        });
  }

  /**
   * As an agent whose service is away: connections stand, nothing is said, and calls wait. At the
   * return those are answered, and who listened is told what came meanwhile.
   */
  public void silent(boolean on) {
    loop.run(
        () -> {
          silent = on;
          if (!on) {
            List.copyOf(atReturn).forEach(Runnable::run);
            atReturn.clear();
          }
        });
  }

  /**
   * All that listen now are told nothing any more, though their connections stand; who calls anew
   * is heard.
   */
  public void deafen() {
    loop.run(watches::clear);
  }

  /** Lists are laid out over several lines, or each on one. */
  public void indented(boolean on) {
    loop.run(() -> indented = on);
  }

  /** The whole list of now, as one caller sees it. */
  public String whole(String caller) throws InterruptedException {
    var text = new String[1];
    loop.runAndWait(() -> text[0] = list(caller, revision, true, listed()).write());
    return text[0];
  }

  private void said(Runnable what) {
    if (!silent) {
      what.run();
    } else if (atReturn.size() < HISTORY_MOST) {
      atReturn.add(what);
    }
  }

  /** Each call takes so long (ms), and fails once it has waited longer than {@code most}. */
  public void capacity(double each, double most) {
    loop.run(() -> calls.capacity(each, most));
  }

  /** Changes are told so much later (ms). */
  public void late(double ms) {
    loop.run(() -> late = ms);
  }

  /**
   * Calls for the whole list get the one of now from here on, whatever changes; or the present one
   * again.
   */
  public void old(boolean on) {
    loop.run(() -> old = on ? List.copyOf(members.values()) : null);
  }

  /**
   * It counts from one anew, as another service in its place: revisions before and after are not to
   * be compared.
   */
  public void renumber() {
    loop.run(
        () -> {
          revision = 1;
          history.clear();
          List.copyOf(watches).forEach(Caller::drop);
        });
  }

  // ---- What was seen.
  public List<Written> written() throws InterruptedException {
    var all = new ArrayList<Written>();
    loop.runAndWait(() -> all.addAll(written));
    return all;
  }

  /** Calls that came, and those of them that failed. */
  public long[] calls() throws InterruptedException {
    long[] both = new long[2];
    loop.runAndWait(
        () -> {
          both[0] = calls.came();
          both[1] = calls.failed();
        });
    return both;
  }

  /** How many watches stand. */
  public int watches() throws InterruptedException {
    int[] n = new int[1];
    loop.runAndWait(() -> n[0] = watches.size());
    return n[0];
  }

  private MemberList list(String caller, long number, boolean complete, List<Member> which) {
    var at = new LinkedHashMap<>(addresses);
    at.putAll(seenBy.getOrDefault(caller, Map.of()));
    at.keySet().retainAll(which.stream().map(Member::id).toList());
    return new MemberList(number, complete, which, at);
  }

  private List<Member> listed() {
    return old != null ? old : List.copyOf(members.values());
  }

  private void beat() {
    loop.after(
        BEAT,
        () -> {
          if (!silent) {
            List.copyOf(watches).forEach(w -> w.chunk("\n"));
          }
          beat();
        });
  }

  /** One connection. */
  private final class Caller implements ConnectionHandler, HttpParser.Handler {
    private final HttpParser parser = new HttpParser(true, 0, this);
    private Connection out;
    private String name = "";
    private boolean over;

    @Override
    public void opened(Connection out) {
      this.out = out;
    }

    @Override
    public void received(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.Malformed e) {
        in.position(in.limit());
        drop();
      }
    }

    @Override
    public void ended(String why) {
      over = true;
      watches.remove(this);
    }

    @Override
    public void head(HttpHead head) {
      if (!(head instanceof HttpHead.Request r) || !r.target().startsWith("/api/targets")) {
        drop();
        return;
      }
      name = r.headers().getOrDefault("host", "");
      boolean stream = r.target().contains("stream=1");
      long index = Long.parseLong("0" + r.target().replaceAll(".*index=(\\d+).*|.*", "$1"));
      calls.add(
          () ->
              said(
                  () -> {
                    if (over) {
                      return;
                    }
                    if (!stream) {
                      byte[] all =
                          list(name, revision, true, listed())
                              .write()
                              .getBytes(StandardCharsets.UTF_8);
                      out.write(
                          HttpEncoder.response(
                              200, Map.of("Content-Type", "application/json"), all));
                      return;
                    }
                    out.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
                    watches.add(this);
                    boolean has =
                        index > 0
                            && index <= revision
                            && (index == revision
                                || !history.isEmpty() && history.get(0).revision() <= index + 1);
                    tell(
                        revision,
                        !has,
                        has
                            ? history.stream()
                                .filter(c -> c.revision() > index)
                                .map(Change::member)
                                .toList()
                            : listed());
                  }),
          () -> {
            if (!over) {
              out.write(HttpEncoder.response(503, Map.of(), new byte[0]));
            }
          });
    }

    @Override
    public void body(byte[] part) {}

    @Override
    public void end() {} // no request here has a body: it is answered in its turn from its head on

    void drop() {
      over = true;
      watches.remove(this);
      out.reset();
    }

    void tell(long number, boolean complete, List<Member> which) {
      MemberList list = list(name, number, complete, which);
      chunk(
          (indented
                  ? list.write()
                      .replace("[{", "[\n  {")
                      .replace("},{", "},\n\n  {")
                      .replace("]}", "\n]\n}")
                  : list.write())
              + "\n");
      for (Member m : list.members()) {
        if (written.size() < WRITTEN_MOST && reaches.test(name)) {
          written.add(new Written(loop.now(), name, list.revision(), m.id(), m.health()));
        }
      }
    }

    void chunk(String text) {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      out.write(
          (Integer.toHexString(body.length) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.UTF_8));
    }
  }

  @Override
  public void close() {
    listener.close();
    loop.run(() -> List.copyOf(watches).forEach(Caller::drop));
  }
}
