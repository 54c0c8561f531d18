package crankspar.store.raft;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;
import java.util.function.LongFunction;

/**
 * What a member does with a leader's entries that begin right behind its snapshot, while its own
 * log goes on beyond that. Guards against a member that is never brought up to date: MicroRaft 0.7
 * looks for the entry before them in the log, where the snapshot has taken it away, refuses, and
 * cannot go further back; both ends stay so until one of them changes.
 *
 * <p>The entry before is the snapshot's own, which is committed, so that both logs agree there.
 * What follows is compared as Raft's paper has it (5.3): entries of the same place and term are the
 * same, and the first that differs, with all behind it, is not committed. A message of an older
 * term is left alone: its sender leads no more.
 */
public final class Tail {
  private Tail() {}

  /** What is to be done with the message. */
  public sealed interface Verdict {
    /** It is handed on as it came. */
    record Pass() implements Verdict {}

    /** This is handed on in its place: the same without the entries that are here already. */
    record Shorter(AppendEntriesRequest request) implements Verdict {}

    /**
     * The log from here on is another's: it goes, and the member starts again from what is left.
     */
    record Drop(long from) implements Verdict {}
  }

  private static final Verdict PASS = new Verdict.Pass();

  /**
   * {@code snapshot} and {@code last} are places of the log; {@code log} has the entry at a place,
   * or null; {@code term} is the member's.
   */
  public static Verdict judge(
      AppendEntriesRequest r, int term, long snapshot, long last, LongFunction<LogEntry> log) {
    if (r.getTerm() < term
        || snapshot == 0
        || r.getPreviousLogIndex() != snapshot
        || last <= snapshot
        || r.getLogEntries().isEmpty()) {
      return PASS;
    }
    List<LogEntry> entries = r.getLogEntries();
    int same = 0;
    while (same < entries.size()) {
      LogEntry theirs = entries.get(same);
      LogEntry ours = log.apply(theirs.getIndex());
      if (ours == null) {
        break;
      }
      if (ours.getTerm() != theirs.getTerm()) {
        return new Verdict.Drop(theirs.getIndex());
      }
      same++;
    }
    if (same == 0) {
      return PASS;
    }
    LogEntry before = entries.get(same - 1);
    return new Verdict.Shorter(
        new DefaultRaftModelFactory()
            .createAppendEntriesRequestBuilder()
            .setGroupId(r.getGroupId())
            .setSender(r.getSender())
            .setTerm(r.getTerm())
            .setPreviousLogTerm(before.getTerm())
            .setPreviousLogIndex(before.getIndex())
            .setCommitIndex(r.getCommitIndex())
            .setLogEntries(List.copyOf(entries.subList(same, entries.size())))
            .setQuerySequenceNumber(r.getQuerySequenceNumber())
            .setFlowControlSequenceNumber(r.getFlowControlSequenceNumber())
            .build());
  }
}
