package crankspar.audit;

/**
 * What a pooler is told of itself and the others, for its {@link Standing}.
 *
 * @param poolers how many there are by the configuration, this one among them; where it is the only
 *     one it is never shut out
 * @param lease how long (ms) after it was the present one a list may be acted on
 * @param share the most of the poolers that see each other that are out at once; one always may
 */
public record StandingSettings(int me, int poolers, double lease, double share) {
  /** What discovery has to tell counts as told so long (ms) after. */
  public static final double LEASE = 6000;

  public static final double SHARE = 1.0 / 3;

  public StandingSettings {
    if (me < 0 || poolers < 1 || !(lease >= 1000) || !(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException(
          "standing: me " + me + ", poolers " + poolers + ", lease " + lease + ", share " + share);
    }
  }
}
