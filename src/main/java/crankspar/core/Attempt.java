package crankspar.core;

/** One sending of a request to one member, from the module's word to its end. */
final class Attempt<Q, A> implements Ports.Hearer<A> {
    private final Pooler<Q, A> core;
    final String request;
    final PendingRequest<Q, A> owed;
    final int number;
    final String member;
    final double sent;
    Ports.Call call;
    boolean ended, written, told;

    Attempt(Pooler<Q, A> core, String request, PendingRequest<Q, A> owed, String member, double now) {
        this.core = core;
        this.request = request;
        this.owed = owed;
        this.member = member;
        sent = now;
        number = owed.sent++;
    }

    /** Told by the wire or, where an answer overtakes that, known from how it ended. */
    @Override public void written() {
        if (!written) {
            written = true;
            core.written(this);
        }
    }

    @Override public boolean began(A answer) { return core.began(this, answer); }

    @Override public boolean held(A answer, AttemptEnd.Note note) { return core.held(this, answer, note); }

    @Override public void ended(AttemptEnd<A> end) { core.ended(this, end); }
}
