package crankspar.core;

import crankspar.Router.Role;

/**
 * How an attempt ended, as a value: each kind is one row of the protocol's table of outcomes.
 *
 * @param <A> a front's own kind of answer, which the core hands on unread
 */
public sealed interface AttemptEnd<A> {
    /** What the answer told of its member; NaN where it told no position (Unix ms). */
    record Note(Role role, double position) {
        public static final Note NONE = new Note(Role.UNKNOWN, Double.NaN);
    }

    record Served<A>(A answer, Note note) implements AttemptEnd<A> { }
    /** Turned away for its role or for how far it lags; nothing ran. */
    record Missed<A>(Note note) implements AttemptEnd<A> { }
    /** Turned away unseen. */
    record TurnedAway<A>(Note note) implements AttemptEnd<A> { }
    /** Answered with an error; it may have run. */
    record Erred<A>(Note note, String why) implements AttemptEnd<A> { }
    /** Never written, and its member is not to blame: the time was up before a connection was. */
    record Unsent<A>(String why) implements AttemptEnd<A> { }
    /** The connection failed or ended first. */
    record Broken<A>(Reach reach, String why) implements AttemptEnd<A> { }
}
