package crankspar.core;

import java.util.ArrayList;
import java.util.List;

/** A request that is owed its one final answer. */
final class Owed<Q, A> {
    final Ports.Ask<Q> ask;
    final Ports.Reply<A> reply;
    final double taken;
    final double deadline;
    final String name;
    int sent;
    boolean mayHaveRun, over;
    /** Attempts that are out: one, or two where the settings allow second copies. */
    final List<Attempt<Q, A>> out = new ArrayList<>(1);
    /** Whose answer has begun: no other's counts from then on. */
    Attempt<Q, A> begun;

    Owed(Ports.Ask<Q> ask, Ports.Reply<A> reply, double now, String name) {
        this.name = name;
        this.ask = ask;
        this.reply = reply;
        taken = now;
        deadline = now + ask.ttl();
    }
}
