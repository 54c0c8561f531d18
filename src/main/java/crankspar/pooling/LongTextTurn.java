package crankspar.pooling;

/** One client's part in {@link LongTexts}: whether its next message may be read, and its wait. */
final class LongTextTurn {
  private final ClientContext context;
  private final LongTexts shared;

  /** Called when the wait is over. */
  private final Runnable resume;

  /** Called when the wait has been too long. */
  private final Runnable refuse;

  private double waitingSince = Double.NaN;
  private boolean scheduled;
  private double readingSince = Double.NaN;

  LongTextTurn(ClientContext context, Runnable resume, Runnable refuse) {
    this.context = context;
    shared = context.longTexts();
    this.resume = resume;
    this.refuse = refuse;
  }

  /**
   * Whether the next queued message may be read now; if not, the client is resumed later.
   *
   * @param wholeBatch whether the queued messages after it are read too
   */
  boolean mayRead(FrameQueue held, boolean wholeBatch) {
    if (!(wholeBatch ? held.hasLongText() : held.startsWithLongText())) {
      return true;
    }
    double now = context.now();
    if (shared.mayRead(now)) {
      waitingSince = Double.NaN;
      readingSince = now;
      return true;
    }
    waitingSince = Double.isNaN(waitingSince) ? now : waitingSince;
    if (!scheduled) {
      scheduled = true;
      context.runAfter(shared.openAt() - now, this::waited);
    }
    return false;
  }

  private void waited() {
    scheduled = false;
    boolean tooLong = context.now() - waitingSince > LongTexts.WAIT_MOST_MS;
    if (tooLong && !shared.mayRead(context.now())) {
      waitingSince = Double.NaN;
      refuse.run();
    } else {
      resume.run();
    }
  }

  /** Whether the client waits for its turn. */
  boolean waiting() {
    return scheduled;
  }

  /** The messages that were allowed have been read. */
  void ended() {
    if (!Double.isNaN(readingSince)) {
      shared.read(readingSince, context.now());
      readingSince = Double.NaN;
    }
  }
}
