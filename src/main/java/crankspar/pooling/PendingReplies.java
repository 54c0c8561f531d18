package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The outstanding replies of one connection, in protocol order. */
final class PendingReplies {
  private final ArrayDeque<PendingReply> pending = new ArrayDeque<>();

  /** Replies completed since the batch began, kept to undo them if the batch is retried. */
  private final List<PendingReply> answered = new ArrayList<>(4);

  void add(PendingReply reply) {
    pending.add(reply);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** The next expected reply, or null. */
  PendingReply next() {
    return pending.peek();
  }

  /** The next expected reply; throws if none is outstanding. */
  PendingReply expected() throws Frame.Malformed {
    PendingReply next = pending.peek();
    if (next == null) {
      throw new Frame.Malformed("reply without a request");
    }
    return next;
  }

  /** Completes the next expected reply. */
  PendingReply complete() {
    PendingReply reply = pending.poll();
    answered.add(reply);
    return reply;
  }

  /** Removes the reply that ends a batch; there is nothing to undo for it in a retry. */
  void removeBatchEnd() {
    pending.poll();
  }

  /** Removes a Sync directly after the next expected reply; returns whether there was one. */
  boolean removeFollowingSync() {
    var inOrder = pending.iterator();
    inOrder.next();
    boolean sync = inOrder.hasNext() && inOrder.next().kind() == MessageKind.SYNC;
    if (sync) {
      inOrder.remove();
    }
    return sync;
  }

  /** Takes the local replies whose turn has come. */
  List<Frame> takeLocal() {
    if (pending.isEmpty() || pending.peek().kind() != MessageKind.LOCAL) {
      return List.of();
    }
    var frames = new ArrayList<Frame>(2);
    while (!pending.isEmpty() && pending.peek().kind() == MessageKind.LOCAL) {
      frames.add(complete().answer());
    }
    return frames;
  }

  /**
   * After an error in the extended protocol the server skips everything up to the Sync; the effects
   * of the skipped messages are undone in reverse order.
   */
  void skipToSync() {
    var passedOver = new ArrayList<PendingReply>();
    while (!pending.isEmpty() && pending.peek().kind() != MessageKind.SYNC) {
      passedOver.add(pending.poll());
    }
    for (int i = passedOver.size() - 1; i >= 0; i--) {
      passedOver.get(i).undoAtClient().run();
      passedOver.get(i).undoAtServer().run();
    }
  }

  /** Undoes the client's Parse and Close messages since the batch began, in reverse order. */
  void rewind() {
    while (!pending.isEmpty()) {
      pending.pollLast().undoAtClient().run();
    }
    for (int i = answered.size() - 1; i >= 0; i--) {
      answered.get(i).undoAtClient().run();
    }
    answered.clear();
  }

  /** Starts the next batch. */
  void beginBatch() {
    answered.clear();
  }
}
