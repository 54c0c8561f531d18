package crankspar.store;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.store.CommitQueue.Effect;
import crankspar.store.CommitQueue.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** When the local state is written, and when a change may be acknowledged. */
class CommitQueueTest {
  private final CommitQueue queue = new CommitQueue(0);

  @Test
  void aProposalIsCommittedOnceItsWriteIsOnDiskAndNotBefore() {
    assertThat(queue.step(0, new Event.Proposed(1, false))).containsExactly(new Effect.Persist(1));
    assertThat(queue.step(1, new Event.Proposed(2, false))).isEmpty();
    assertThat(queue.step(2, new Event.Tick())).isEmpty();
    assertThat(queue.step(3, new Event.Persisted()))
        .containsExactly(new Effect.Commit(1), new Effect.Persist(2));
    assertThat(queue.step(4, new Event.Persisted())).containsExactly(new Effect.Commit(2));
    assertThat(queue.next()).isInfinite();
  }

  @Test
  void aFailedWriteIsTriedAgainAsAWholeAndItsProposalIsRejectedInTime() {
    queue.step(0, new Event.Proposed(1, false));
    assertThat(queue.step(5, new Event.Failed("no space"))).isEmpty();
    assertThat(queue.next()).isEqualTo(5 + CommitQueue.RETRY_FIRST);
    assertThat(queue.step(25, new Event.Tick())).containsExactly(new Effect.Persist(1));
    assertThat(queue.step(30, new Event.Failed("no space"))).isEmpty();
    assertThat(queue.step(CommitQueue.ACKNOWLEDGE_MOST, new Event.Tick()))
        .containsExactly(
            new Effect.Reject(1, "no space", true),
            new Effect.Persist(CommitQueue.NO_PROPOSAL)); // what the file holds is not known
    assertThat(queue.step(900, new Event.Persisted())).isEmpty();
    assertThat(queue.next()).isInfinite();
  }

  /**
   * A disk that stands still: the answer comes in time, and a success that comes later commits
   * nothing.
   */
  @Test
  void aWriteThatEndsAfterItsProposalWasRejectedCommitsNothing() {
    queue.step(0, new Event.Proposed(1, false));
    assertThat(queue.next()).isEqualTo(CommitQueue.ACKNOWLEDGE_MOST);
    assertThat(queue.step(800, new Event.Tick()))
        .hasSize(1)
        .first()
        .isInstanceOf(Effect.Reject.class);
    assertThat(queue.step(5000, new Event.Persisted())).isEmpty();
  }

  @Test
  void aChangeThatNobodyWaitsForIsWrittenHoweverLongTheDiskRefuses() {
    assertThat(queue.step(0, new Event.Changed()))
        .containsExactly(new Effect.Persist(CommitQueue.NO_PROPOSAL));
    double now = 0;
    for (int i = 0; i < 100; i++) {
      assertThat(queue.step(now, new Event.Failed("I/O error"))).isEmpty();
      double next = queue.next();
      assertThat(next - now).isBetween(CommitQueue.RETRY_FIRST, CommitQueue.RETRY_MOST);
      now = next;
      assertThat(queue.step(now, new Event.Tick()))
          .containsExactly(new Effect.Persist(CommitQueue.NO_PROPOSAL));
    }
    assertThat(queue.step(now, new Event.Persisted())).isEmpty();
  }

  @Test
  void whatChangesDuringAWriteIsWrittenAfterIt() {
    queue.step(0, new Event.Changed());
    assertThat(queue.step(1, new Event.Changed())).isEmpty();
    assertThat(queue.step(2, new Event.Persisted()))
        .containsExactly(new Effect.Persist(CommitQueue.NO_PROPOSAL));
  }

  @Test
  void changesThatNobodyWaitsForAreGathered() {
    var gathering = new CommitQueue(500);
    assertThat(gathering.step(0, new Event.Changed())).isEmpty();
    assertThat(gathering.step(300, new Event.Changed())).isEmpty();
    assertThat(gathering.next()).isEqualTo(500);
    assertThat(gathering.step(500, new Event.Tick()))
        .containsExactly(new Effect.Persist(CommitQueue.NO_PROPOSAL));
    assertThat(gathering.step(501, new Event.Persisted())).isEmpty();
    assertThat(gathering.step(502, new Event.Proposed(1, false)))
        .as("a proposal is not held up")
        .containsExactly(new Effect.Persist(1));
  }

  @Test
  void nothingIsAcknowledgedOnceThisProcessEnds() {
    queue.step(0, new Event.Proposed(1, false));
    queue.step(0, new Event.Proposed(2, true));
    assertThat(queue.step(1, new Event.Closed()))
        .extracting(e -> ((Effect.Reject) e).proposal())
        .containsExactly(1L, 2L);
    assertThat(queue.step(2, new Event.Persisted())).isEmpty();
    assertThat(queue.step(3, new Event.Proposed(3, false)))
        .hasSize(1)
        .first()
        .isInstanceOf(Effect.Reject.class);
  }

  /**
   * Any order of events, seeded: one write at a time, one end for each proposal, in time, and a
   * commit only with its own write.
   */
  @Test
  void whateverTheDiskDoesEachProposalHasOneEndInTime() {
    for (int seed = 0; seed < 300; seed++) {
      var random = new Random(seed);
      var drawn = new CommitQueue(random.nextInt(3) * 100);
      Map<Long, Double> open = new HashMap<>();
      List<Long> underWay = new ArrayList<>();
      double now = 0;
      for (long i = 0; i < 200; i++) {
        now = Math.min(now + random.nextInt(60), Math.max(now, drawn.next()));
        Event event = new Event.Tick();
        int draw = random.nextInt(10);
        if (draw < 3) {
          open.put(i, now);
          event = new Event.Proposed(i, false);
        } else if (draw < 4) {
          event = new Event.Changed();
        } else if (draw < 7 && !underWay.isEmpty()) {
          event = draw < 6 ? new Event.Persisted() : new Event.Failed("drawn");
        }
        Long written = event instanceof Event.Persisted ? underWay.get(0) : null;
        if (event instanceof Event.Persisted || event instanceof Event.Failed) {
          underWay.clear();
        }
        for (Effect effect : drawn.step(now, event)) {
          if (effect instanceof Effect.Persist p) {
            assertThat(underWay).as("seed " + seed).isEmpty();
            underWay.add(p.proposal());
          } else if (effect instanceof Effect.Commit c) {
            assertThat(c.proposal()).as("seed " + seed).isEqualTo(written);
            assertThat(open.remove(c.proposal())).as("seed " + seed).isNotNull();
          } else if (effect instanceof Effect.Reject r) {
            assertThat(now - open.remove(r.proposal()))
                .as("seed " + seed)
                .isLessThanOrEqualTo(CommitQueue.ACKNOWLEDGE_MOST);
          }
        }
      }
    }
  }
}
