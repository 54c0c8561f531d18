package crankspar.hearsay;

import crankspar.Router;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * The decision module with an ear for its peers, as one {@link Router}: the daemon's core and the simulator's adapter use
 * it alike. Every event goes on to the module unchanged; what passes is noted, and what peers told comes to the module as
 * {@link Router#onHearsay}.
 */
public final class Hearing implements Router {
    /** The module's own cookies count up from nought and never come so far. */
    private static final long COOKIE = 1L << 40;

    /**
     * Up to so many poolers each hears a member's answers often enough by itself. Measured in the simulator with three:
     * hearing of the others' too costs 0.04, most of it under overload, where reads then fill replicas evenly to the brim.
     */
    private static final int FEW = 6;

    private final Router module;
    private final Actions actions;
    private final Hearsay hearsay;
    private boolean waiting;

    private Hearing(Router module, Settings settings, Actions actions) {
        this.module = module;
        this.actions = actions;
        hearsay = new Hearsay(settings);
    }

    /** Makes the module, with an ear where the settings allow poolers to tell and there are too many for each to learn by itself. */
    public static BiFunction<Settings, Actions, Router> before(BiFunction<Settings, Actions, Router> module) {
        return (settings, actions) -> settings.limits().mayTell() && settings.siblings() > FEW
                ? new Hearing(module.apply(settings, actions), settings, actions) : module.apply(settings, actions);
    }

    @Override public void onStart(double now) { module.onStart(now); }

    @Override public void onMembers(double now, ListKind kind, List<Member> members) {
        hearsay.members(kind, members);
        module.onMembers(now, kind, members);
    }

    @Override public void onWatchLost(double now) { module.onWatchLost(now); }

    @Override public void onRequest(double now, Request request) {
        hearsay.request();
        module.onRequest(now, request);
    }

    @Override public void onOutcome(double now, Outcome o) {
        learned(o.member(), o.role(), o.position());
        module.onOutcome(now, o);
    }

    @Override public void onProbe(double now, ProbeResult r) {
        if (r.ok()) {
            learned(r.member(), r.role(), r.position());
        }
        module.onProbe(now, r);
    }

    private void learned(String member, Role role, double position) {
        hearsay.learned(member, role, position);
        if (!waiting && hearsay.due()) {
            waiting = true;
            actions.setTimer(hearsay.period(), COOKIE);
        }
    }

    @Override public void onGone(double now, String request) { module.onGone(now, request); }

    @Override public void onTimer(double now, long cookie) {
        if (cookie != COOKIE) {
            module.onTimer(now, cookie);
            return;
        }
        waiting = false;
        byte[] message = hearsay.next(now);
        if (message != null) {
            actions.tell(message);
        }
    }

    @Override public void onPeer(double now, byte[] message) {
        List<Router.Told> news = hearsay.heard(now, message);
        if (!news.isEmpty()) {
            module.onHearsay(now, news);
        }
    }

    @Override public Map<String, Long> counts() { return hearsay.counts(); }

    @Override public Set<String> avoided() { return module.avoided(); }
}
