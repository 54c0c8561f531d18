package crankspar.lab.load;

import java.util.List;

/**
 * What is asked: classes with their shares, sessions and groups, and how long the whole lasts.
 *
 * @param sessions of which each request has one; {@code connections} is the most at once
 * @param front whose protocol is spoken
 * @param lateMost a run in which more than {@code lateShare} of the sends left later than this (ms) is no measurement
 */
public record Workload(List<Kind> kinds, List<Shape> shapes, boolean even, int sessions, int groups, double duration, long seed, Front front,
                       int connections, double lateMost, double lateShare) {
    /** PLATFORM: statements with a comment; SIMPLE and PREPARED: any PostgreSQL server or the pooling front. */
    public enum Front { PLATFORM, SIMPLE, PREPARED }

    /**
     * One class.
     *
     * @param share of all requests, by weight
     * @param giveUp ms after which its client has gone
     * @param sql {@code $n} stands for the request's number, {@code $s} for its session
     */
    public record Kind(String name, double share, double giveUp, boolean write, String sql) { }
}
