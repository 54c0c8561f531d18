package crankspar.store.raft;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A member with a snapshot at 120 and a log beyond it, and a leader's entries from 121 on. */
class TailTest {
  private static final RaftModelFactory MAKE = new DefaultRaftModelFactory();
  private static final RaftEndpoint LEADER = () -> "m1";

  private final TreeMap<Long, LogEntry> log = new TreeMap<>();

  private static LogEntry entry(long index, int term) {
    return MAKE.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation("x").build();
  }

  private static AppendEntriesRequest from(int term, long previous, int... terms) {
    var entries = new ArrayList<LogEntry>();
    for (int t : terms) {
      entries.add(entry(previous + 1 + entries.size(), t));
    }
    return MAKE.createAppendEntriesRequestBuilder()
        .setGroupId("store")
        .setSender(LEADER)
        .setTerm(term)
        .setPreviousLogIndex(previous)
        .setPreviousLogTerm(3)
        .setCommitIndex(previous)
        .setLogEntries(entries)
        .setQuerySequenceNumber(7)
        .setFlowControlSequenceNumber(9)
        .build();
  }

  private Tail.Verdict judge(AppendEntriesRequest r, int... mine) {
    log.clear();
    for (int t : mine) {
      log.put(121L + log.size(), entry(121 + log.size(), t));
    }
    return Tail.judge(r, 5, 120, log.isEmpty() ? 0 : log.lastKey(), log::get);
  }

  @Test
  void whatDiffersGoesWithAllBehindIt() {
    assertThat(judge(from(5, 120, 4, 5), 3, 3)).isEqualTo(new Tail.Verdict.Drop(121));
    assertThat(judge(from(5, 120, 4, 5), 4, 4, 4)).isEqualTo(new Tail.Verdict.Drop(122));
  }

  @Test
  void whatIsHereAlreadyIsLeftOut() {
    AppendEntriesRequest shorter =
        ((Tail.Verdict.Shorter) judge(from(5, 120, 4, 4, 5), 4, 4)).request();
    assertThat(shorter.getPreviousLogIndex()).isEqualTo(122);
    assertThat(shorter.getPreviousLogTerm()).isEqualTo(4);
    assertThat(shorter.getLogEntries()).extracting(LogEntry::getIndex).containsExactly(123L);
    assertThat(
            List.of(
                shorter.getCommitIndex(),
                shorter.getQuerySequenceNumber(),
                shorter.getFlowControlSequenceNumber()))
        .containsExactly(120L, 7L, 9L);
    assertThat(((Tail.Verdict.Shorter) judge(from(5, 120, 4), 4, 4, 4)).request().getLogEntries())
        .isEmpty();
  }

  /**
   * Guards against entries that are dropped on the word of one who leads no more: some of them may
   * be committed.
   */
  @Test
  void everythingElseIsHandedOnAsItCame() {
    var pass = new Tail.Verdict.Pass();
    assertThat(judge(from(4, 120, 4), 3)).as("an older term").isEqualTo(pass);
    assertThat(judge(from(5, 119, 4), 3)).as("not behind the snapshot").isEqualTo(pass);
    assertThat(judge(from(5, 120), 3)).as("a heartbeat").isEqualTo(pass);
    assertThat(judge(from(5, 120, 4))).as("nothing beyond the snapshot").isEqualTo(pass);
  }
}
