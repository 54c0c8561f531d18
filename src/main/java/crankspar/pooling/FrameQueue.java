package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The frames that a client has sent and that are not processed yet, in order. */
final class FrameQueue {
  private final ArrayDeque<Frame> frames = new ArrayDeque<>(2);

  /** What a frame takes besides its bytes. */
  private static final int FRAME_OVERHEAD = 64;

  private int bytes;
  private int longTexts;

  /** The number of queued frames that preceded a cancel, which applies to their first statement. */
  private int framesBeforeCancel;

  void add(Frame frame) {
    frames.add(frame);
    bytes += frame.size() + FRAME_OVERHEAD;
    longTexts += LongTexts.isLong(frame) ? 1 : 0;
  }

  /** Whether the first queued frame is a long text. */
  boolean startsWithLongText() {
    return longTexts > 0 && LongTexts.isLong(frames.peek());
  }

  /** Whether a long text is among the queued frames. */
  boolean hasLongText() {
    return longTexts > 0;
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  /** Bytes of memory that the queued frames take. */
  int bytes() {
    return bytes;
  }

  Frame poll() {
    Frame frame = frames.poll();
    bytes -= frame.size() + FRAME_OVERHEAD;
    longTexts -= LongTexts.isLong(frame) ? 1 : 0;
    return frame;
  }

  /** This frame and those queued after it, up to the batch's end: they are sent in one write. */
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

  /** Records a cancel request, which applies to the frames queued now. */
  void cancelled() {
    framesBeforeCancel = frames.size();
  }

  /** Records that the frame polled last was processed. */
  void frameProcessed() {
    framesBeforeCancel = Math.max(0, framesBeforeCancel - 1);
  }

  /** Whether a cancel applies to the statement being opened; clears the cancel. */
  boolean takeCancel() {
    boolean came = framesBeforeCancel > 0;
    framesBeforeCancel = 0;
    return came;
  }

  void clear() {
    frames.clear();
    bytes = 0;
    longTexts = 0;
  }
}
