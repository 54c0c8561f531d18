package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The answers that are owed on one connection, in the order of the protocol. */
final class PendingReplies {
  private final ArrayDeque<PendingReply> pending = new ArrayDeque<>();

  /** What was answered since the batch began, for one that is begun again. */
  private final List<PendingReply> answered = new ArrayList<>(4);

  void add(PendingReply reply) {
    pending.add(reply);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** What is answered next, or null. */
  PendingReply next() {
    return pending.peek();
  }

  /** What a message of the server's answers; one that nothing asked for is malformed. */
  PendingReply expected() throws Frame.Malformed {
    PendingReply next = pending.peek();
    if (next == null) {
      throw new Frame.Malformed("an answer that nothing asked for");
    }
    return next;
  }

  /** The next one has had its whole answer. */
  PendingReply complete() {
    PendingReply reply = pending.poll();
    answered.add(reply);
    return reply;
  }

  /** Takes the end of a batch off; it is not begun again with the batch. */
  void removeBatchEnd() {
    pending.poll();
  }

  /** Takes off the Sync that stands right behind the next one; whether there was one. */
  boolean removeFollowingSync() {
    var inOrder = pending.iterator();
    inOrder.next();
    boolean sync = inOrder.hasNext() && inOrder.next().kind() == MessageKind.SYNC;
    if (sync) {
      inOrder.remove();
    }
    return sync;
  }

  /** What was spared the server and is now to be said. */
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
   * After an error in the extended protocol the server passes over everything up to the Sync; all
   * that is undone, the last first.
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

  /** Takes back what the client has prepared and closed since the batch began. */
  void rewind() {
    while (!pending.isEmpty()) {
      pending.pollLast().undoAtClient().run();
    }
    for (int i = answered.size() - 1; i >= 0; i--) {
      answered.get(i).undoAtClient().run();
    }
    answered.clear();
  }

  /** The next batch begins. */
  void beginBatch() {
    answered.clear();
  }
}
