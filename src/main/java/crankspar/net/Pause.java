package crankspar.net;

/**
 * Whether the process has stood still (stopped by a signal, by a long collection, by a machine that was paused), and for how
 * long what waits is then held, so that news is heard before any work is sent on what was true before. It knows no clock: times
 * are ms on the loop's.
 *
 * <p>A loop that is merely busy is never late without having worked: only time in which nothing ran though something was due
 * counts, or one task that took as long.
 */
final class Pause {
    /** The rules let new work reach a database for 250 ms after a drain was told; what stood still for less is in time. */
    static final double STILL = 200;
    /** What waited in the sockets is read within this (ms): one round of the runtime's readiness thread, and its hand-over. */
    static final double HELD = 25;
    /** While news keeps coming, so long (ms) after the last of it, ... */
    static final double QUIET = 5;
    /** ... and so long (ms) at the most: who waits for an answer waits too. */
    static final double HELD_MOST = 100;

    private double lastEnded = Double.NEGATIVE_INFINITY, noticed = Double.NEGATIVE_INFINITY, heard = Double.NEGATIVE_INFINITY;

    /** A task that was due at {@code due} begins; how long nothing ran since then (ms), or nought where that is no pause. */
    double began(double due, double now) {
        double still = noticed(now - Math.max(due, lastEnded), now);
        if (still > 0) {
            lastEnded = now;                  // it is noticed once
        }
        return still;
    }

    /** A task has ended; how long it took (ms), or nought where that is no pause. */
    double ended(double began, double now) {
        lastEnded = now;
        return noticed(now - began, now);
    }

    /** Some news has been heard meanwhile. */
    void heard(double now) { heard = now; }

    private double noticed(double still, double now) {
        if (still <= STILL) {
            return 0;
        }
        noticed = now;
        return still;
    }

    /** How much longer what waits is held (ms); nought or less: no longer. */
    double holdFor(double now) {
        double until = Math.min(noticed + HELD_MOST, Math.max(noticed + HELD, heard + QUIET));
        return until - now;
    }
}
