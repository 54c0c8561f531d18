package crankspar.lab.load;

/**
 * A request that left and had no answer in time.
 *
 * @param number its number in the plan
 * @param late how late it left (ms)
 * @param waited how long its client waited (ms)
 */
public record Silent(long number, double late, double waited) {}
