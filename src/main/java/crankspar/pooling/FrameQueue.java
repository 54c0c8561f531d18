package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What a client has sent and what waits for its turn, in order. */
final class FrameQueue {
  private final ArrayDeque<Frame> frames = new ArrayDeque<>(2);
  private int bytes;

  /** So many came before a cancel that the first statement among them is to hear of. */
  private int framesBeforeCancel;

  void add(Frame frame) {
    frames.add(frame);
    bytes += frame.size();
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  int bytes() {
    return bytes;
  }

  Frame poll() {
    Frame frame = frames.poll();
    bytes -= frame.size();
    return frame;
  }

  /** This frame and what has come behind it, up to what ends a batch: they leave in one piece. */
  List<Frame> pollBatch(Frame first) {
    var all = new ArrayList<Frame>(4);
    all.add(first);
    Frame last = first;
    while (!last.endsBatch() && !frames.isEmpty() && frames.peek().type() != 'X') {
      last = poll();
      all.add(last);
    }
    return all;
  }

  /** A cancel has come for what is held now. */
  void cancelled() {
    framesBeforeCancel = frames.size();
  }

  /** What was polled last is dealt with. */
  void frameProcessed() {
    framesBeforeCancel = Math.max(0, framesBeforeCancel - 1);
  }

  /** Whether a cancel came for the statement that is opened now; it counts once. */
  boolean takeCancel() {
    boolean came = framesBeforeCancel > 0;
    framesBeforeCancel = 0;
    return came;
  }

  void clear() {
    frames.clear();
  }
}
