package crankspar.membership;

/**
 * What is said of one member.
 *
 * @param member its number in the list of peers
 * @param incarnation which only the member itself raises: at a start, and to withdraw a wrong word
 *     of it
 * @param zone its data centre's number; {@code weight} its share of duties, 1 to 255
 */
public record News(int member, State state, int incarnation, int zone, int weight) {
  /** How a member stands, in the words that operators read. */
  public enum State {
    /** Listed, and never heard: it may never have existed. */
    UNKNOWN,
    ALIVE,
    /** It did not answer; it has a while to withdraw that. */
    SUSPECT,
    DEAD,
    /** It said that it goes. */
    LEFT
  }
}
