package crankspar.net;

import crankspar.core.Counters;
import crankspar.net.ClientConnectionHandler.Standing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A front's client connections, each counted until it is really closed. Up to a bound all are
 * admitted; at the bound the one that needs its place least makes room. Those that say nothing, or
 * stop in the middle of a message, are ended in time.
 */
public final class Clients<S extends ClientConnectionHandler> {
  private static final double SWEEP = 100;

  /** From connecting to a greeting (ms): guards against hundreds that connect and say nothing. */
  private static final double SILENT_MOST = 1000;

  /** From connecting to a first request (ms). */
  private static final double UNASKED_MOST = 2600;

  /**
   * For one message, from its first byte to its last (ms): guards against lines that never end.
   * Slow clients of ours need 2 s for one; rude ones are owed their end within 3 s of connecting.
   */
  private static final double HALF_MOST = 2400;

  /**
   * An answer that its client does not take keeps its connection from making room for so long (ms).
   */
  private static final double UNSENT_MOST = 5000;

  /**
   * The share of the places that may be taken beyond the bound while idle connections end gently to
   * make room.
   */
  private static final double BEYOND = 0.05;

  /** The share of the places up to which idle connections are kept. */
  private static final double KEPT = 0.4;

  private final EventLoop loop;
  private final Counters counters;
  private final int most;
  private final int kept;
  private final Supplier<S> maker;
  private final Supplier<ConnectionHandler> refused;
  private final Map<S, Place> places = new LinkedHashMap<>();
  private InetSocketAddress address;
  private Listener listener;

  /** A bind that fails after a drain is tried again after this long (ms). */
  private static final double REOPEN = 50;

  private boolean stopping, draining;

  /** How long a session has stood as it stands, to the nearest sweep. */
  private static final class Place {
    final double opened;
    Standing standing = Standing.NEW;
    long progress;
    double since;

    Place(double now) {
      opened = since = now;
    }
  }

  public Clients(EventLoop loop, Counters counters, int most, Supplier<S> maker) {
    this(loop, counters, most, maker, () -> null);
  }

  /** {@code refused} makes what hears a connection that finds no place, or null to close it. */
  public Clients(
      EventLoop loop,
      Counters counters,
      int most,
      Supplier<S> maker,
      Supplier<ConnectionHandler> refused) {
    this.refused = refused;
    this.loop = loop;
    this.counters = counters;
    this.most = most;
    kept = (int) Math.ceil(KEPT * most);
    this.maker = maker;
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    listener = loop.listen(address, this::admit);
    loop.after(SWEEP, this::sweep);
    this.address = listener.address();
    return this.address;
  }

  /** A rehearsal before the start has no loop, and takes no time. */
  private double now() {
    return loop == null ? 0 : loop.now();
  }

  /** A handler for a client's connection, or null when it is to be closed unread. */
  public ConnectionHandler admit() {
    if (places.size() >= most && !makeRoom()) {
      counters.add("client_connections_refused");
      return refused.get();
    }
    counters.add("client_connections");
    S session = maker.get();
    places.put(session, new Place(now()));
    trim();
    return session;
  }

  /**
   * Guards against clients that have no connection left: they hold a third of the descriptors at
   * most, keep what they have, and a request of theirs fails when all of that sits idle. Past a
   * lower share, so that they have room to ask, the longest idle connection is closed for each that
   * comes.
   */
  private void trim() {
    int here = 0;
    S longest = null;
    double since = Double.POSITIVE_INFINITY;
    for (Map.Entry<S, Place> e : places.entrySet()) {
      Standing standing = e.getKey().standing();
      Place place = e.getValue();
      here += standing == Standing.LEAVING ? 0 : 1;
      if (standing == Standing.IDLE && (longest == null || since(place, standing) < since)) {
        longest = e.getKey();
        since = since(place, standing);
      }
    }
    if (here > kept && longest != null && !stopping) {
      close(longest);
    }
  }

  /** What had come on it is read first: no request is lost with it. */
  private void close(S session) {
    session.closeIfIdle();
    if (session.standing() == Standing.LEAVING) {
      counters.add("client_connections_idle_trimmed");
    }
  }

  private double since(Place place, Standing standing) {
    return standing == place.standing ? place.since : now();
  }

  /**
   * Guards against clients that ask once and keep their connections: turning newcomers away instead
   * left four in five of a day's connections unserved.
   */
  private boolean makeRoom() {
    for (int i = places.size(); i > 0; i--) {
      S least = least();
      if (least == null) {
        return false;
      }
      Standing before = least.standing();
      least.readNow();
      if (places.size() < most) {
        return true; // it has left by itself
      }
      if (least.standing() == before) {
        makeRoom(least, before);
        return true;
      }
    }
    return false;
  }

  /**
   * Whoever needs its place least, by what it is doing and then by how long; null where all are
   * needed.
   */
  private S least() {
    S least = null;
    Standing lowest = Standing.HALF;
    double oldest = 0;
    for (Map.Entry<S, Place> e : places.entrySet()) {
      Standing standing = e.getKey().standing();
      double since = since(e.getValue(), standing);
      if (e.getKey().unsent() && now() - since < UNSENT_MOST) {
        continue; // guards against an answer that is lost with a connection that only looks idle
      }
      if (standing.compareTo(lowest) < 0 || standing == lowest && least != null && since < oldest) {
        least = e.getKey();
        lowest = standing;
        oldest = since;
      }
    }
    return least;
  }

  private void makeRoom(S least, Standing standing) {
    counters.add(
        "client_connections_"
            + standing.name().toLowerCase(java.util.Locale.ROOT)
            + "_closed_for_room");
    // A close over unread bytes is a reset, which may overtake the last answer: what rests ends
    // gently while there is room for that.
    // One that is leaving has had its end, and one that has asked for nothing has nothing to lose.
    if (standing == Standing.IDLE && places.size() < most * (1 + BEYOND)) {
      least.closeIfIdle();
    } else {
      least.drop();
    }
  }

  private void sweep() {
    trim();
    for (Map.Entry<S, Place> e : new ArrayList<>(places.entrySet())) {
      note(e.getKey(), e.getValue());
      if (overdue(e.getKey(), e.getValue())) {
        e.getKey().readNow(); // this process may be late, not its client
        note(e.getKey(), e.getValue());
        end(e.getKey(), e.getValue());
      }
    }
    loop.after(SWEEP, this::sweep);
  }

  private void note(S session, Place place) {
    if (session.standing() != place.standing || session.progress() != place.progress) {
      place.standing = session.standing();
      place.progress = session.progress();
      place.since = now();
    }
  }

  private boolean overdue(S session, Place place) {
    return switch (place.standing) {
      case NEW -> now() - place.opened > (session.begun() ? HALF_MOST : SILENT_MOST);
      case HALF -> now() - place.since > HALF_MOST;
      case STARTED -> now() - place.opened > UNASKED_MOST;
      default -> false;
    };
  }

  private void end(S session, Place place) {
    if (!overdue(session, place)) {
      return;
    }
    switch (place.standing) {
      case NEW -> {
        counters.add("client_connections_silent");
        session.turnAway("nothing whole came in time");
      }
      case HALF -> {
        counters.add("client_connections_half");
        session.turnAway("the rest of a message did not come in time");
      }
      default -> {
        counters.add("client_connections_unasked");
        session.closeIfIdle();
      }
    }
  }

  /** Its connection is closed, and its place free. */
  public void closed(S session) {
    places.remove(session);
  }

  public boolean draining() {
    return draining;
  }

  /**
   * A stop has begun: no front sends new connections here, so that those that are idle are worth
   * more.
   */
  public void stopping() {
    stopping = true;
  }

  /** Takes no new connections, and closes each that it has between two requests. */
  public void drain() {
    draining = true;
    listener.close();
    new ArrayList<>(places.keySet()).forEach(ClientConnectionHandler::closeIfIdle);
  }

  /**
   * Whether no connection is open any more: all that was written has left, and each peer has had
   * its end.
   */
  public boolean closed() {
    return places.isEmpty();
  }

  /** The end of a drain: new connections are taken again, at the same address. */
  public void resume() {
    if (!draining) {
      return;
    }
    try {
      listener = loop.listen(address, this::admit);
      draining = false;
    } catch (IOException e) {
      counters.add("client_listener_failures");
      loop.after(REOPEN, this::resume);
    }
  }
}
