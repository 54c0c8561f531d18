package crankspar.lab;

/** What the databases of a {@link RoutingModel} were sent, by all poolers together. */
final class ModelLoad {
  /** The most in any window that one was sent while cold, in times of what it could do. */
  double coldPeak;

  /** The same as a share of its budget with what is put down to chance. */
  double coldShare;

  /** Requests that cold ones were sent by those who had been told of the start. */
  long coldSent;

  /** The most requests that were at one database at once. */
  int fullest;

  void reset() {
    coldPeak = 0;
    coldShare = 0;
    coldSent = 0;
    fullest = 0;
  }
}
