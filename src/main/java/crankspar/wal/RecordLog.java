package crankspar.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * A log of records that outlives the process, shared by the processes of one pooler. {@link
 * #append} returns once its records are on disk; whoever appends hears first what others have
 * appended since. A crash during an append costs that batch at most: a torn end is cut off by the
 * next append. What is unreadable before a whole frame is another matter, a disk that has lost what
 * it had taken: it is told by {@link #unreadable}, and such a log is not compacted while what is
 * lost would be of interest, so that the next start tells it too.
 *
 * <p>A failed write or sync leaves no claim on what the file holds behind the last success: the
 * next append cuts it off and writes anew.
 *
 * <p>Calls block on the disk. {@link #prepareCompaction} may run on any thread, all else on one.
 */
public final class RecordLog implements Closeable {
  private static final Logger LOG = Logger.getLogger(RecordLog.class.getName());

  /** Names the format; an unknown one is unreadable as a whole. */
  static final byte[] HEADER = "crankspar log 1\n".getBytes(StandardCharsets.US_ASCII);

  /** How long an append waits for another process's (ms). */
  private static final long LOCK_MOST_MS = 400;

  /** A log shorter than this (bytes) is not worth compacting; a longer one once it has doubled. */
  private static final long COMPACT_LEAST_BYTES = 1 << 20;

  /** Records in one frame of a compacted log. */
  private static final int FRAME_RECORDS_MOST = 64;

  private static final String LOCK = ".lock";

  /**
   * A record that is on disk, and when it was written by the log's own clock (ms): it begins at 0,
   * never goes back, and never runs ahead of real time. Between two processes' lives it stands
   * still, so that no step of the wall clock can make a record older than it is.
   */
  public record Logged(ByteBuffer record, double time) {}

  /** The first {@code upTo} bytes of a file. */
  public record Prefix(Object identity, long upTo) {}

  /** A file that is to replace the log: it holds what is worth keeping of {@code of}. */
  public record Compacted(String temporary, Prefix of, long end) {}

  private final Disk disk;
  private final String name;
  private final DoubleSupplier clock;
  private final double keep;
  private final UnaryOperator<List<Logged>> live;
  private Disk.OpenFile file;
  private Object identity;

  /** Where the last whole frame ends. */
  private long end;

  /**
   * What stands before this is on disk. What another process has left behind it may be in the cache
   * only, and taken for written after a sync of its that failed: it has to be written anew.
   */
  private long synced;

  private long unreadable;
  private double unreadableUntil = Double.NEGATIVE_INFINITY;

  /** How long the log was (bytes) when all of it was last compacted; 0 where that is not known. */
  private long compactedBytes;

  /** The time of the last frame by the log's clock, and by this process's when it was here. */
  private double lastTime;

  private double lastTimeKnown;

  /** The name of the file may not be on disk yet. */
  private boolean folderUnsynced = true;

  /**
   * {@code clock} is a monotonic one (ms); {@code live} gives those of a log's records that are
   * worth keeping, in their order, and a record is of no interest after {@code keep} ms.
   */
  public RecordLog(
      Disk disk, String name, DoubleSupplier clock, double keep, UnaryOperator<List<Logged>> live) {
    this.keep = keep;
    this.disk = disk;
    this.name = name;
    this.clock = clock;
    this.live = live;
    lastTimeKnown = clock.getAsDouble();
  }

  /**
   * Hands on what the log holds, in its order; nothing where there is none yet. Before anything
   * else. What it hands on refers to the whole log in memory: keep copies.
   */
  public void recover(Consumer<Logged> records) throws IOException {
    try {
      open(records);
      compactedBytes = 0;
      syncRecovered();
    } catch (NoSuchFileException e) {
      // a first start
    }
  }

  /**
   * A killed process may have left what it had not synced. A disk that refuses is no reason not to
   * start: all of it is written anew then, before anything is appended.
   */
  private void syncRecovered() {
    try {
      file.sync();
      synced = end;
    } catch (IOException e) {
      LOG.warning("the log " + name + " is not synced, it is tried again: " + e);
    }
  }

  /** The time of the last record by the log's clock. */
  public double lastTime() {
    return lastTime;
  }

  /**
   * Appends a batch, as a whole; {@code others} hears before that, in their order, of the records
   * that other processes have appended. An empty batch only looks.
   */
  public void append(List<ByteBuffer> batch, Consumer<List<Logged>> others) throws IOException {
    try (Closeable lock = disk.lock(name + LOCK, LOCK_MOST_MS)) {
      others.accept(catchUp());
      makeDurable();
      if (!batch.isEmpty()) {
        write(batch);
      }
    }
  }

  private void write(List<ByteBuffer> batch) throws IOException {
    if (file == null) {
      disk.replace(name, HEADER);
      open(none -> {});
    }
    if (folderUnsynced) {
      disk.syncFolder();
      folderUnsynced = false;
    }
    if (file.size() > end) {
      file.truncate(end);
    }
    double time = lastTime + clock.getAsDouble() - lastTimeKnown;
    ByteBuffer frame = Frames.encode(end, time, batch);
    int length = frame.remaining();
    try {
      file.write(end, frame);
      file.sync();
    } catch (IOException e) {
      cutOff(e);
      throw e;
    }
    end += length;
    synced = end;
    setTime(time);
  }

  /** Before anything is written behind it: a lost block in front of a whole frame is damage. */
  private void makeDurable() throws IOException {
    if (file != null && synced < end) {
      file.write(synced, ByteBuffer.wrap(file.read(synced, Math.toIntExact(end - synced))));
      file.sync();
      synced = end;
    }
  }

  /** Leaves nothing of a failed append for a process that follows, if the disk lets it. */
  private void cutOff(IOException why) {
    try {
      file.truncate(end);
    } catch (IOException e) {
      why.addSuppressed(e);
    }
  }

  private void setTime(double time) {
    lastTime = time;
    lastTimeKnown = clock.getAsDouble();
  }

  /** What others have appended since the last look; all of it where another file has the name. */
  private List<Logged> catchUp() throws IOException {
    var news = new ArrayList<Logged>();
    Object present = disk.identity(name);
    if (present == null) {
      closeFile();
    } else if (!present.equals(identity)) {
      open(news::add);
    } else if (file.size() > end) {
      read(end, file.size(), news::add);
    }
    return news;
  }

  private void open(Consumer<Logged> records) throws IOException {
    closeFile();
    file = disk.open(name);
    identity = file.identity();
    folderUnsynced = true;
    unreadable = 0;
    unreadableUntil = Double.NEGATIVE_INFINITY;
    byte[] head = file.read(0, HEADER.length);
    end = HEADER.length;
    synced = end;
    if (!Arrays.equals(head, HEADER)) {
      unreadable = HEADER.length;
      unreadableUntil = 0;
    }
    read(HEADER.length, Math.max(HEADER.length, file.size()), records);
    compactedBytes = end;
  }

  private void read(long from, long to, Consumer<Logged> records) throws IOException {
    byte[] bytes = file.read(from, Math.toIntExact(to - from));
    Frames.Scan scan = Frames.scan(from, bytes, records);
    unreadable += scan.unreadable();
    if (!Double.isNaN(scan.unreadableUntil())) {
      unreadableUntil = scan.unreadableUntil();
    }
    end = scan.end();
    if (!Double.isNaN(scan.lastTime())) {
      setTime(scan.lastTime());
    }
  }

  /** Whether records may be lost that would be of interest still. */
  public boolean isDamaged() {
    return unreadable > 0 && lastTime - unreadableUntil < keep;
  }

  /** The time up to which records may be lost; negative infinity where none are. */
  public double unreadableUntil() {
    return unreadableUntil;
  }

  /** How many bytes could not be read so far. */
  public long unreadable() {
    return unreadable;
  }

  /** How long the log is (bytes). */
  public long size() {
    return end;
  }

  /** All of it. */
  Prefix whole() {
    return new Prefix(identity, end);
  }

  /** What is to be compacted now, if anything is. */
  public Optional<Prefix> compactable() {
    boolean worthwhile = end > COMPACT_LEAST_BYTES && end > 2 * compactedBytes;
    return worthwhile && !isDamaged() ? Optional.of(whole()) : Optional.empty();
  }

  /**
   * Writes what is worth keeping of this much of the log beside it; appends may go on meanwhile.
   * {@link #finishCompaction} puts it in place.
   */
  public Compacted prepareCompaction(Prefix of) throws IOException {
    var records = new ArrayList<Logged>();
    try (Disk.OpenFile present = disk.open(name)) {
      if (!present.identity().equals(of.identity())) {
        throw new IOException("another process has compacted the log");
      }
      byte[] bytes = present.read(HEADER.length, Math.toIntExact(of.upTo() - HEADER.length));
      Frames.scan(HEADER.length, bytes, records::add);
    }
    String temporary = disk.temporary(name);
    try (Disk.OpenFile out = disk.create(temporary)) {
      out.write(0, ByteBuffer.wrap(HEADER));
      long written = writeFrames(out, HEADER.length, live.apply(records));
      out.sync();
      return new Compacted(temporary, of, written);
    } catch (IOException e) {
      disk.discard(temporary, e);
      throw e;
    }
  }

  /**
   * Frames of some records each, so that a bad block costs little. A frame has the time of its last
   * one: none gets older by it.
   */
  private static long writeFrames(Disk.OpenFile out, long from, List<Logged> records)
      throws IOException {
    long at = from;
    for (int first = 0; first < records.size(); first += FRAME_RECORDS_MOST) {
      int last = Math.min(records.size(), first + FRAME_RECORDS_MOST);
      double time = records.get(last - 1).time();
      List<ByteBuffer> batch = records.subList(first, last).stream().map(Logged::record).toList();
      ByteBuffer frame = Frames.encode(at, time, batch);
      int length = frame.remaining();
      out.write(at, frame);
      at += length;
    }
    return at;
  }

  /**
   * Puts a compacted log in place, with what was appended meanwhile; false where another process
   * has replaced the log, so that it is of no use.
   */
  public boolean finishCompaction(Compacted compacted, Consumer<List<Logged>> others)
      throws IOException {
    try (Closeable lock = disk.lock(name + LOCK, LOCK_MOST_MS)) {
      others.accept(catchUp());
      if (file == null || !compacted.of().identity().equals(identity) || isDamaged()) {
        disk.delete(compacted.temporary());
        return false;
      }
      complete(compacted);
      disk.rename(compacted.temporary(), name);
      open(known -> {}); // from now on this is the log, whether or not its name is on disk yet
      synced = end;
      compactedBytes = compacted.end(); // what was appended meanwhile is not compacted yet
      return true;
    } catch (IOException e) {
      disk.discard(compacted.temporary(), e);
      throw e;
    }
  }

  private void complete(Compacted compacted) throws IOException {
    long from = compacted.of().upTo();
    byte[] tail = file.read(from, Math.toIntExact(end - from));
    var since = new ArrayList<Logged>();
    Frames.scan(from, tail, since::add);
    try (Disk.OpenFile out = disk.open(compacted.temporary())) {
      writeFrames(out, compacted.end(), since);
      out.sync();
    }
  }

  /** Deletes what killed processes have left half written beside the log. */
  public void deleteTemporaries() throws IOException {
    try (Closeable lock = disk.lock(name + LOCK, LOCK_MOST_MS)) {
      disk.deleteTemporaries(name);
    }
  }

  private void closeFile() throws IOException {
    Disk.OpenFile open = file;
    file = null;
    identity = null;
    if (open != null) {
      open.close();
    }
  }

  @Override
  public void close() throws IOException {
    closeFile();
  }
}
