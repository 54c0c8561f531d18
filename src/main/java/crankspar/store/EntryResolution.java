package crankspar.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * Decides which entries follow from an entry that is heard and from a change that is asked for,
 * over what is held already. For most keys the newest version counts. The calls about a database
 * are joined ({@link DrainCalls}), and its mark, which all readers and earlier releases look at,
 * follows from them. Free of I/O: the store and the state file ask the same questions.
 */
final class EntryResolution {
  /** Begins the signature of a mark that follows from calls; an earlier release's has none. */
  static final String DERIVED = "calls:";

  private static final String DEFAULT_VALUE = "by hand";

  private final String node;
  private final String writer;
  private final Function<String, Store.Entry> held;
  private long counter;
  private final List<Store.Entry> results = new ArrayList<>(2);

  /**
   * Creates a resolution.
   *
   * @param writer who signs versions that are made here
   * @param held what is held of a key, or null
   * @param counter the highest version that is known
   */
  EntryResolution(String node, String writer, Function<String, Store.Entry> held, long counter) {
    this.node = node;
    this.writer = writer;
    this.held = held;
    this.counter = counter;
  }

  /**
   * The entries that replace what is held once this one is heard, in their order.
   *
   * @throws Store.Refused if it tells of calls and cannot be read
   */
  List<Store.Entry> heard(Store.Entry e) throws Store.Refused {
    counter = Math.max(counter, e.counter());
    if (e.key().startsWith(DrainCalls.KEY)) {
      heardCalls(e);
    } else if (e.key().startsWith(DrainCalls.MARK)) {
      heardMark(e);
    } else {
      replaceIfNewer(e);
    }
    return results;
  }

  /** The entries that replace what is held once this change is made; none if it changes nothing. */
  List<Store.Entry> changed(Change change) {
    if (change.key().startsWith(DrainCalls.MARK)) {
      String id = change.key().substring(DrainCalls.MARK.length());
      DrainCalls known = calls(id);
      boolean out = change.value() != null;
      update(id, out ? known.takeOut(writer) : known.putBack(), change.value(), out);
    } else if (!Objects.equals(value(held.apply(change.key())), change.value())) {
      results.add(new Store.Entry(change.key(), change.value(), ++counter, writer));
    }
    return results;
  }

  /**
   * The entries that give back what a process holds, over a change that was answered with a no and
   * may have been written all the same.
   */
  List<Store.Entry> restored(Change held) {
    if (!held.key().startsWith(DrainCalls.MARK) || held.value() != null) {
      return changed(held);
    }
    String id = held.key().substring(DrainCalls.MARK.length());
    update(id, calls(id).withdraw(writer), null, false);
    return results;
  }

  private void heardCalls(Store.Entry e) throws Store.Refused {
    String id = e.key().substring(DrainCalls.KEY.length());
    DrainCalls known = calls(id);
    DrainCalls received = DrainCalls.parse(e.value());
    DrainCalls joined = known.join(received);
    if (joined.equals(received) && e.newerThan(held.apply(e.key()))) {
      results.add(e);
    } else if (!joined.equals(known) || !joined.equals(received)) {
      results.add(new Store.Entry(e.key(), joined.text(), ++counter, writer));
    }
    deriveMark(id, joined, null, false);
  }

  private void heardMark(Store.Entry e) {
    String id = e.key().substring(DrainCalls.MARK.length());
    DrainCalls known = calls(id);
    Store.Entry mark = held.apply(e.key());
    DrainCalls calls = e.node().startsWith(DERIVED) ? known : afterEarlierRelease(e, id, known);
    if (!calls.equals(known)) {
      results.add(new Store.Entry(DrainCalls.KEY + id, calls.text(), ++counter, writer));
    }
    boolean undone = e.value() == null && calls.out();
    if (e.newerThan(mark) && !undone) {
      results.add(e);
    } else if (e.newerThan(mark) || !calls.equals(known)) {
      deriveMark(id, calls, value(mark), e.newerThan(mark));
    }
  }

  /**
   * A process of this pooler of an earlier release, which shares the state's file, has seen the
   * calls there, as its version is the higher one; of another pooler's that is not known.
   */
  private DrainCalls afterEarlierRelease(Store.Entry e, String id, DrainCalls known) {
    boolean sharesFile = e.node().startsWith(node + "#");
    Store.Entry calls = held.apply(DrainCalls.KEY + id);
    boolean knowing = calls != null && e.counter() > calls.counter();
    return e.value() == null && sharesFile && knowing
        ? known.putBack()
        : known.afterEarlierRelease(e);
  }

  private void update(String id, DrainCalls calls, String value, boolean anew) {
    if (!calls.equals(calls(id))) {
      results.add(new Store.Entry(DrainCalls.KEY + id, calls.text(), ++counter, writer));
    }
    deriveMark(id, calls, value, anew);
  }

  /** Makes the mark fit the calls; {@code anew}: a new version even if it does. */
  private void deriveMark(String id, DrainCalls calls, String value, boolean anew) {
    String key = DrainCalls.MARK + id;
    String present = value(held.apply(key));
    boolean fits = present != null == calls.out();
    if (fits && !anew) {
      return;
    }
    String derived = value != null ? value : present != null ? present : DEFAULT_VALUE;
    results.add(new Store.Entry(key, calls.out() ? derived : null, ++counter, DERIVED + writer));
  }

  private void replaceIfNewer(Store.Entry e) {
    if (e.newerThan(held.apply(e.key()))) {
      results.add(e);
    }
  }

  private DrainCalls calls(String id) {
    try {
      return DrainCalls.parse(value(held.apply(DrainCalls.KEY + id)));
    } catch (Store.Refused e) {
      throw new IllegalStateException(e); // nothing else is held
    }
  }

  private static String value(Store.Entry e) {
    return e == null ? null : e.value();
  }
}
