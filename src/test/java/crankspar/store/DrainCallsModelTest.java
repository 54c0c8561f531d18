package crankspar.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Operators' calls at several poolers that hear each other in any order, with cuts, losses, copies,
 * kills with state and without, and a process of an earlier release beside them. Guards against a
 * database that gets work again though an operator was told yes, and no call back knew of that
 * (review/8). By hand with more seeds: -Ddrain.seeds=COUNT -Ddrain.first=SEED.
 */
class DrainCallsModelTest {
  private static final String MARK = "drain/db";
  private static final int STEPS = 60;

  /** One pooler: its store, the state that survives a kill, and the calls that it knows of. */
  private static final class Node {
    final String name;
    Store store;
    List<Store.Entry> disk = List.of();
    int life;

    /** Calls out that this pooler knows of, by their number, and those that a call back removed. */
    Set<Integer> outs = new HashSet<>();

    Set<Integer> backs = new HashSet<>();
    Set<Integer> outsOnDisk = new HashSet<>();
    Set<Integer> backsOnDisk = new HashSet<>();

    Node(String name) {
      this.name = name;
      start(false);
    }

    void start(boolean withState) {
      store = new Store(name, name + "#" + life++);
      outs = withState ? new HashSet<>(outsOnDisk) : new HashSet<>();
      backs = withState ? new HashSet<>(backsOnDisk) : new HashSet<>();
      if (withState) {
        disk.forEach(this::take);
      } else {
        save();
      }
    }

    void take(Store.Entry e) {
      try {
        store.take(e);
      } catch (Store.Refused refused) {
        throw new AssertionError(refused);
      }
    }

    void call(boolean out) throws Store.Refused {
      store.put(MARK, out ? "by hand" : null);
    }

    void save() {
      disk = List.copyOf(store.all());
      outsOnDisk = new HashSet<>(outs);
      backsOnDisk = new HashSet<>(backs);
    }

    /** Whether a call out is known that no known call back has seen. */
    boolean mustBeOut() {
      return !backs.containsAll(outs);
    }
  }

  /** What a page from one pooler to another carries. */
  private record Page(List<Store.Entry> entries, Set<Integer> outs, Set<Integer> backs) {}

  private static Page page(Node from) {
    List<Store.Entry> all = from.store.since(0, 100).entries();
    return new Page(List.copyOf(all), Set.copyOf(from.outs), Set.copyOf(from.backs));
  }

  private static void hear(Node node, Page page) {
    page.entries().forEach(node::take);
    node.outs.addAll(page.outs());
    node.backs.addAll(page.backs());
  }

  private static void play(long seed) throws Exception {
    var random = new Random(seed);
    var nodes = new ArrayList<Node>();
    for (int i = 0; i < 2 + random.nextInt(3); i++) {
      nodes.add(new Node("p" + i));
    }
    var underway = new ArrayList<Map.Entry<Node, Page>>();
    boolean losesState = random.nextInt(4) == 0;
    int calls = 0;
    for (int step = 0; step < STEPS; step++) {
      Node node = nodes.get(random.nextInt(nodes.size()));
      switch (random.nextInt(6)) {
        case 0 -> {
          node.call(true);
          node.outs.add(calls++);
          node.save();
        }
        case 1 -> {
          node.backs.addAll(node.outs);
          node.call(false);
          node.save();
        }
        case 2 -> {
          Node to = nodes.get(random.nextInt(nodes.size()));
          underway.add(Map.entry(to, page(node)));
        }
        case 3, 4 -> {
          if (!underway.isEmpty()) { // any order, with losses and copies
            int at = random.nextInt(underway.size());
            Map.Entry<Node, Page> next = underway.get(at);
            hear(next.getKey(), next.getValue());
            if (random.nextInt(3) > 0) {
              underway.remove(at);
            }
          }
        }
        default -> {
          boolean withState = !losesState || random.nextBoolean();
          node.start(withState);
          underway.removeIf(p -> p.getKey() == node && random.nextBoolean());
        }
      }
      assertHeld(node, seed, step);
    }
    for (int round = 0; round < 4; round++) {
      for (Node from : nodes) {
        for (Node to : nodes) {
          hear(to, page(from));
        }
      }
    }
    var marks = new HashSet<Boolean>();
    for (Node node : nodes) {
      assertHeld(node, seed, STEPS);
      marks.add(node.store.get(MARK) != null);
      assertThat(node.store.all()).as("seed " + seed).hasSizeLessThanOrEqualTo(2);
    }
    assertThat(marks).as("alike on all poolers, seed " + seed).hasSizeLessThanOrEqualTo(1);
    Node any = nodes.get(0);
    if (!losesState) {
      assertThat(any.store.get(MARK) != null).as("seed " + seed).isEqualTo(any.mustBeOut());
    }
    any.call(false);
    for (Node to : nodes) {
      hear(to, page(any));
      assertThat(to.store.get(MARK)).as("put back knowing of all, seed " + seed).isNull();
    }
  }

  private static void assertHeld(Node node, long seed, int step) {
    if (node.mustBeOut()) {
      assertThat(node.store.get(MARK))
          .as(
              "seed %d, step %d: %s knows of a call out that no call back has seen",
              seed, step, node.name)
          .isNotNull();
    }
  }

  @Test
  void aYesHoldsUntilACallBackThatKnewOfIt() throws Exception {
    long first = Long.getLong("drain.first", 1);
    for (long seed = first; seed < first + Long.getLong("drain.seeds", 3000); seed++) {
      play(seed);
    }
  }

  /** The order of calls of review/8, and its variants with a lower counter and a new process. */
  @Test
  void aCallBackThatIsReplicatedLateUndoesNothingThatItHasNotSeen() throws Exception {
    var a = new Node("a");
    var b = new Node("b");
    b.call(true);
    b.call(false);
    b.call(true);
    b.call(false);
    a.call(true); // has not heard of any of it
    Page late = page(b);
    Page ofA = page(a);
    hear(a, late);
    hear(b, ofA);
    assertThat(a.store.get(MARK)).isNotNull();
    assertThat(b.store.get(MARK)).isNotNull();
    a.start(false); // knows nothing, signs anew
    a.call(true);
    hear(a, page(b));
    b.call(false);
    hear(a, page(b));
    assertThat(a.store.get(MARK)).as("B did not know of A's last call").isNotNull();
    hear(b, page(a));
    b.call(false);
    hear(a, page(b));
    assertThat(a.store.get(MARK)).isNull();
  }

  /** State that an earlier release wrote, and calls that its processes still make. */
  @Test
  void anEarlierReleasesMarksAreRead() throws Exception {
    var mark = new Store.Entry(MARK, "by hand", 4, "n#old");
    var node = new Node("n");
    node.take(mark);
    assertThat(node.store.get(MARK)).isEqualTo("by hand");
    node.take(new Store.Entry(MARK, null, 5, "n#old"));
    assertThat(node.store.get(MARK)).as("its own call back").isNull();
    node.call(true);
    long version = markOf(node).counter();
    node.take(new Store.Entry(MARK, null, version + 9, "other#old"));
    assertThat(node.store.get(MARK)).as("it is not known what it has seen").isNotNull();
    node.take(new Store.Entry(MARK, null, markOf(node).counter() + 1, "n#old"));
    assertThat(node.store.get(MARK)).as("by the process that shares the file").isNull();
    node.take(new Store.Entry(MARK, "by hand", 2, "other#old"));
    assertThat(node.store.get(MARK)).as("an earlier release's call is a call").isNotNull();
  }

  /**
   * An earlier release put it back on this one's state, alone, and this one starts anew on that.
   */
  @Test
  void aReturnByAnEarlierReleaseOnTheSameFileIsRead() throws Exception {
    var node = new Node("n");
    node.call(true);
    var onDisk = new ArrayList<>(node.store.all());
    long version = markOf(node).counter() + 1;
    onDisk.replaceAll(
        e -> e.key().equals(MARK) ? new Store.Entry(MARK, null, version, "n#old") : e);
    node.start(false);
    onDisk.forEach(node::take);
    assertThat(node.store.get(MARK)).isNull();
    for (Store.Entry e :
        EntryMerge.merge(onDisk, node.store.all(), EntryMerge.Changes.NONE, "n", "n#new")) {
      assertThat(e.key().equals(MARK) && e.value() != null).isFalse();
    }
  }

  private static Store.Entry markOf(Node node) {
    var marks = new HashMap<String, Store.Entry>();
    node.store.all().forEach(e -> marks.put(e.key(), e));
    return marks.get(MARK);
  }

  /** Guards against an entry that is written by hand, cannot be read, and fails the loop. */
  @Test
  void whatFollowsFromCallsIsNotWritten() throws Exception {
    var node = new Node("n");
    for (String value : new String[] {"junk", "1 0 n#0\n", null}) {
      assertThatThrownBy(() -> node.store.put("drain-calls/db", value))
          .isInstanceOf(Store.Refused.class);
      assertThatThrownBy(() -> node.store.check(new Change("drain-calls/db", value)))
          .isInstanceOf(Store.Refused.class);
    }
    assertThatThrownBy(
            () -> node.store.take(new Store.Entry("drain-calls/db", "junk", 3, "other#1")))
        .isInstanceOf(Store.Refused.class);
    node.call(true);
    assertThat(node.store.get(MARK)).isNotNull();
  }

  /** Guards against a call that is refused for want of room, and is half in force. */
  @Test
  void aCallWithoutRoomLeavesNothing() throws Exception {
    var node = new Node("n");
    for (int i = 0; i < Store.ENTRIES_MOST - 1; i++) {
      node.store.put("k" + i, "v");
    }
    assertThatThrownBy(() -> node.call(true)).isInstanceOf(Store.Refused.class);
    assertThat(node.store.get(MARK)).isNull();
    assertThat(node.store.get("drain-calls/db")).isNull();
  }

  /** Guards against an entry that grows with each restart. */
  @Test
  void theCallsOfManyLivesStayBounded() throws Exception {
    var node = new Node("n");
    for (int i = 0; i < 500; i++) {
      node.start(true);
      node.call(true);
      node.save();
      node.call(false);
      node.call(true);
      node.save();
    }
    assertThat(node.store.get(MARK)).isNotNull();
    assertThat(node.store.get("drain-calls/db").split("\n"))
        .hasSizeLessThanOrEqualTo(DrainCalls.WRITERS_MOST);
    node.call(false);
    assertThat(node.store.get(MARK)).isNull();
  }
}
