package crankspar.audit;

/**
 * What {@link Standing} knows of another pooler in one life of it: its last digest, and how its
 * clock stands to this one's.
 */
final class Peer {
  /**
   * A life that has told for this long (ms), two rounds, is not taken over by another while it is
   * seen.
   */
  static final double STOOD = 2 * Gossip.PERIOD;

  /** Which list somebody claims to be the present one. */
  record Claim(long revision, int content) {}

  final int life;
  final double began;
  int count, digests;
  int least, leastBefore;
  double spanBegan, heard, confirmed;
  Digest digest;

  Peer(int life, double now) {
    this.life = life;
    began = now;
    spanBegan = now;
  }

  /**
   * Whether this life has told for two rounds, from its first word to its last: silence since is no
   * standing.
   */
  boolean stood() {
    return digests >= Standing.SETTLED && heard - began >= STOOD;
  }

  Claim claim() {
    return new Claim(digest.revision(), digest.content());
  }
}
