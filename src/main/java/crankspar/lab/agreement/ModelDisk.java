package crankspar.lab.agreement;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * A member's disk: what was written and not yet flushed may be lost by a crash, from any write on.
 * A full disk refuses each write. {@code broken} is a disk that forgets what it was told to flush,
 * which no protocol survives: the checks must find it.
 */
final class ModelDisk implements RaftStore {
  private final boolean broken;
  private final List<Runnable> unflushed = new ArrayList<>();
  private final TreeMap<Long, LogEntry> log = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();
  private RaftEndpointPersistentState endpoint;
  private RaftGroupMembersView members;
  private RaftTermPersistentState term;

  /**
   * Each write is refused; one was, and its member must not go on with what it holds beyond the
   * disk.
   */
  boolean full, refused;

  ModelDisk(boolean broken) {
    this.broken = broken;
  }

  private void write(Runnable what) throws IOException {
    room();
    unflushed.add(what);
  }

  private void room() throws IOException {
    if (full) {
      refused = true;
      throw new IOException("no space left");
    }
  }

  /** Its machine dies: of what was not flushed a part from the front is there. */
  void crash(Random random) {
    int kept = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
    unflushed.subList(0, kept).forEach(Runnable::run);
    unflushed.clear();
    full = refused = false;
  }

  // ---- What its member knows of its own log.
  /** The place of the newest whole snapshot, or 0. */
  long snapshot() {
    for (var s : snapshots.descendingMap().values()) {
      if (s.size() == s.firstEntry().getValue().getSnapshotChunkCount()) {
        return s.firstEntry().getValue().getIndex();
      }
    }
    return 0;
  }

  long last() {
    return log.isEmpty() ? 0 : log.lastKey();
  }

  LogEntry entry(long index) {
    return log.get(index);
  }

  int term() {
    return term == null ? 0 : term.getTerm();
  }

  /** What a start finds; null on an empty disk. */
  RestoredRaftState restore() {
    if (endpoint == null || members == null) {
      return null;
    }
    SnapshotEntry snapshot = null;
    for (var s : snapshots.descendingMap().values()) {
      SnapshotChunk one = s.firstEntry().getValue();
      if (s.size() == one.getSnapshotChunkCount()) {
        snapshot =
            new DefaultRaftModelFactory()
                .createSnapshotEntryBuilder()
                .setIndex(one.getIndex())
                .setTerm(one.getTerm())
                .setSnapshotChunks(new ArrayList<>(s.values()))
                .setGroupMembersView(one.getGroupMembersView())
                .build();
        break;
      }
    }
    long from = snapshot == null ? 0 : snapshot.getIndex();
    return new RestoredRaftState(
        endpoint, members, term, snapshot, new ArrayList<>(log.tailMap(from, false).values()));
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    write(() -> endpoint = state);
    flush();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
    write(() -> members = view);
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    write(() -> term = state);
    flush();
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    for (LogEntry e : entries) {
      write(() -> log.put(e.getIndex(), e));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    write(
        () ->
            snapshots
                .computeIfAbsent(chunk.getIndex(), k -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), chunk));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    write(() -> log.tailMap(index, true).clear());
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    write(() -> log.headMap(index, true).clear());
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    write(() -> snapshots.remove(index));
  }

  @Override
  public void flush() throws IOException {
    room();
    if (!broken) {
      unflushed.forEach(Runnable::run);
      unflushed.clear();
    }
  }
}
