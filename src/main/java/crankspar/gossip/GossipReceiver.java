package crankspar.gossip;

import crankspar.Router;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;

/**
 * The decision module with an ear for its peers, as one {@link Router}: the daemon's core and the
 * simulator's adapter use it alike. Every event goes on to the module unchanged; what passes is
 * noted, and what peers told comes to the module as {@link Router#onPeerReports}.
 */
public final class GossipReceiver implements Router {
  /** The module's own cookies count up from nought and never come so far. */
  private static final long COOKIE = 1L << 40;

  /**
   * Up to so many poolers each hears a member's answers often enough by itself. Measured in the
   * simulator with three: hearing of the others' too costs 0.04, most of it under overload, where
   * reads then fill replicas evenly to the brim.
   */
  private static final int FEW = 6;

  private final Router module;
  private final Actions actions;
  private final GossipService gossip;
  private boolean waiting;

  /** How far the databases' clock, by which peers tell times, is ahead of ours (ms). */
  private double ahead;

  private GossipReceiver(
      BiFunction<Settings, Actions, Router> module, Settings settings, Actions actions) {
    this.actions = actions;
    gossip = new GossipService(settings);
    this.module = module.apply(settings, new Counting(actions));
  }

  /** The module's actions, with its sends counted. */
  private final class Counting implements Actions {
    private final Actions to;

    Counting(Actions to) {
      this.to = to;
    }

    @Override
    public void send(String request, String member, double timeout) {
      gossip.inFlight(member, 1);
      wake();
      to.send(request, member, timeout);
    }

    @Override
    public void refuse(String request, double retryIn) {
      to.refuse(request, retryIn);
    }

    @Override
    public void fail(String request) {
      to.fail(request);
    }

    @Override
    public void cancel(String request, int attempt) {
      to.cancel(request, attempt);
    }

    @Override
    public void setTimer(double delay, long cookie) {
      to.setTimer(delay, cookie);
    }

    @Override
    public void probe(String member) {
      to.probe(member);
    }

    @Override
    public void watchDiscovery(boolean on) {
      to.watchDiscovery(on);
    }

    @Override
    public void log(String text) {
      to.log(text);
    }

    @Override
    public void broadcast(byte[] message) {
      to.broadcast(message);
    }
  }

  /**
   * Makes the module, with an ear where the settings allow poolers to tell and there are too many
   * for each to learn by itself.
   */
  public static BiFunction<Settings, Actions, Router> before(
      BiFunction<Settings, Actions, Router> module) {
    return (settings, actions) ->
        settings.limits().peerMessages()
                && settings.instanceCount() > FEW
                && settings.instanceCount() <= GossipMessage.POOLERS_MOST
            ? new GossipReceiver(module, settings, actions)
            : module.apply(settings, actions);
  }

  @Override
  public void onStart(double now) {
    module.onStart(now);
  }

  @Override
  public void onMembers(double now, ListKind kind, List<Member> members) {
    gossip.members(kind, members);
    module.onMembers(now, kind, members);
  }

  @Override
  public void onWatchLost(double now) {
    module.onWatchLost(now);
  }

  @Override
  public void onRequest(double now, Request request) {
    gossip.request();
    module.onRequest(now, request);
  }

  @Override
  public void onOutcome(double now, Outcome o) {
    gossip.inFlight(o.member(), -1);
    learned(o.member(), o.role(), o.position());
    module.onOutcome(now, o);
  }

  @Override
  public void onProbe(double now, ProbeResult r) {
    if (r.ok()) {
      learned(r.member(), r.role(), r.position());
    }
    module.onProbe(now, r);
  }

  private void learned(String member, Role role, double position) {
    gossip.learned(member, role, position + ahead);
    wake();
  }

  private void wake() {
    if (!waiting && gossip.due()) {
      waiting = true;
      actions.setTimer(gossip.period(), COOKIE);
    }
  }

  @Override
  public void onClientGone(double now, String request) {
    module.onClientGone(now, request);
  }

  @Override
  public void onTimer(double now, long cookie) {
    if (cookie != COOKIE) {
      module.onTimer(now, cookie);
      return;
    }
    waiting = false;
    byte[] message = gossip.next(now + ahead);
    if (message != null) {
      actions.broadcast(message);
    }
    hand(now, gossip.look(now + ahead));
    wake();
  }

  @Override
  public void onStall(double now) {
    module.onStall(now);
  }

  @Override
  public void onPeerMessage(double now, byte[] message) {
    hand(now, gossip.heard(now + ahead, message));
  }

  private void hand(double now, List<Router.PeerReport> news) {
    if (!news.isEmpty()) {
      module.onPeerReports(now, ahead == 0 ? news : news.stream().map(this::byOurClock).toList());
    }
  }

  private Router.PeerReport byOurClock(Router.PeerReport told) {
    return new Router.PeerReport(
        told.member(),
        told.role(),
        told.position() - ahead,
        told.heardAt() - ahead,
        told.inFlight());
  }

  /** Poolers tell each other times by the databases' clock: each may have another of its own. */
  @Override
  public void onDatabaseClock(double now, double ahead) {
    this.ahead = ahead;
    module.onDatabaseClock(now, ahead);
  }

  @Override
  public Map<String, Long> counters() {
    var all = new TreeMap<>(module.counters());
    all.putAll(gossip.counts());
    return all;
  }

  @Override
  public Set<String> avoided() {
    return module.avoided();
  }
}
