package crankspar.store.agreed;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of a whole book, as it is given to a member that is far behind. {@code number} counts from
 * nought.
 */
public record Page(int number, boolean last, List<Entry> entries) {
  public Page {
    entries = List.copyOf(entries);
  }

  /**
   * What a book consists of. History is not of it: who starts from pages has none, and its watchers
   * are told so.
   */
  public sealed interface Entry {
    record Head(long revision) implements Entry {}

    record Key(String key, Book.Value value) implements Entry {}

    record Lease(
        long number,
        String name,
        String holder,
        long term,
        long renewals,
        double ttl,
        boolean stands)
        implements Entry {}

    record Answered(String client, long number, Result result) implements Entry {}
  }

  /** Cuts entries into pages of some {@code most} characters, one entry at least in each. */
  static List<Page> cut(List<Entry> entries, int most) {
    var pages = new ArrayList<Page>();
    var now = new ArrayList<Entry>();
    long size = 0;
    for (Entry e : entries) {
      long more = e instanceof Entry.Key k ? k.key().length() + k.value().text().length() : 64;
      if (!now.isEmpty() && size + more > most) {
        pages.add(new Page(pages.size(), false, now));
        now.clear();
        size = 0;
      }
      now.add(e);
      size += more;
    }
    pages.add(new Page(pages.size(), true, now));
    return pages;
  }
}
