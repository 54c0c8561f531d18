package crankspar.lab.load;

/**
 * One request of a plan: when it is meant to leave (ms from the start), its class by number, its
 * session and group.
 */
public record Asked(long number, double at, int kind, int session, int group) {}
