package crankspar.audit;

/**
 * What a pooler acts on from one moment to the next: every change of one of these makes a new
 * stand.
 *
 * @param number counts up from 1 with each stand of a process
 * @param at when it began (Unix ms on the pooler's clock)
 * @param origin where the change was learned
 * @param build the program's version, with a hash of its archive
 * @param configuration a hash of the configuration's text; {@code generation} counts its readings
 * @param discovery where discovery is; {@code epoch} counts the services that have been heard
 *     there, as two of them number their lists apart
 * @param revision the list's, as discovery numbers it; {@code content} is a hash of it, the same at
 *     every pooler
 * @param marks the place of the last drain mark, and a hash of the marked ids
 * @param primaries a hash of who is primary by group, as the newest position has it
 */
public record Stand(
    int number,
    double at,
    Origin origin,
    String build,
    int configuration,
    int generation,
    String discovery,
    int epoch,
    long revision,
    int content,
    long marks,
    int marked,
    int primaries) {
  public enum Origin {
    START,
    DISCOVERY,
    PEER,
    OPERATOR,
    FILE
  }

  /** What a list and marks are, apart from when this process learned of them. */
  public boolean sameVersions(Stand o) {
    return build.equals(o.build)
        && configuration == o.configuration
        && sameList(o)
        && marked == o.marked;
  }

  public boolean sameList(Stand o) {
    return revision == o.revision && content == o.content;
  }
}
