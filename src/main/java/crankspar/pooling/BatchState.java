package crankspar.pooling;

/**
 * The protocol state of a client and its server connection: in a block, in a batch without its
 * Sync, skipping after an error, or in a COPY. The two sides may differ, because some messages are
 * answered locally and never reach the server.
 */
final class BatchState {
  private char status = 'I';

  /** Set by a Sync or a simple query until its ReadyForQuery. */
  private boolean awaitsReady;

  /** Set by an error until the client's Sync; messages are skipped meanwhile. */
  private boolean skipping;

  private boolean copying;

  /** A Sync was sent right after the Execute of the running COPY; the server ignores it. */
  private boolean syncIgnored;

  /**
   * A COPY followed by such a Sync failed. If the server reads that Sync only after the error, it
   * answers it.
   */
  private boolean syncUncertain;

  /** Whether this batch sent the end of a COPY's data before the server had started the COPY. */
  private boolean endOfDataSent;

  /** Set while a COPY data message that arrives in parts is forwarded. */
  private boolean inParts;

  /** Whether the client has started an extended-protocol batch and not sent its Sync. */
  private boolean clientBatchOpen;

  /** Whether the server has received part of such a batch but not its Sync. */
  private boolean serverBatchOpen;

  /** Whether that batch has sent an Execute to the server. */
  private boolean serverBatchExecuted;

  /** The transaction status of the last ReadyForQuery: I, T or E. */
  char status() {
    return status;
  }

  /** Whether the client's next messages must wait for ReadyForQuery. */
  boolean awaitingReady() {
    return awaitsReady && !copying;
  }

  boolean skipping() {
    return skipping;
  }

  boolean copying() {
    return copying;
  }

  boolean serverBatchOpen() {
    return serverBatchOpen;
  }

  /** Whether the server may answer a Sync that it was expected to ignore. */
  boolean syncUncertain() {
    return syncUncertain;
  }

  /** Whether the open batch has sent an Execute, which its Sync would commit. */
  boolean serverBatchExecuted() {
    return serverBatchExecuted;
  }

  /**
   * Whether a transaction is open: a block, or a batch without its Sync. The status of the last
   * ReadyForQuery does not cover the latter.
   */
  boolean inTransaction() {
    return status != 'I' || clientBatchOpen || serverBatchOpen;
  }

  /** Whether to drop a message: all up to the Sync after an error, and a Sync within COPY data. */
  boolean skips(Frame f) {
    return f.type() == 'S' ? copying : skipping;
  }

  /** Records a message from the client. */
  void fromClient(Frame f) {
    clientBatchOpen = f.beginsBatch() || clientBatchOpen && !f.endsBatch();
    if (f.type() == 'S') {
      skipping = false;
    }
  }

  /** Records a message to the server. */
  void toServer(Frame f) {
    serverBatchOpen = f.beginsBatch() || serverBatchOpen && !f.endsBatch();
    serverBatchExecuted = f.type() == 'E' || serverBatchExecuted && !f.endsBatch();
    awaitsReady |= f.endsBatch();
  }

  /**
   * Whether a COPY data message is forwarded. Within a batch the server may already have started
   * the COPY; if not, it drops the data.
   */
  boolean forwardsData(Frame f) {
    boolean forwards = f.type() == Frame.PART ? inParts : copying || serverBatchOpen;
    inParts = forwards && !f.whole();
    return forwards;
  }

  /** Whether the message that ends a COPY's data is forwarded; ends the COPY. */
  boolean forwardsEndOfData() {
    endOfDataSent = !copying && serverBatchOpen;
    boolean forwards = copying || serverBatchOpen;
    copying = false;
    return forwards;
  }

  /** Whether the COPY that just started has already been sent all its data and what follows. */
  boolean endOfDataSent() {
    return endOfDataSent;
  }

  /**
   * Starts a COPY; {@code syncBehind}: its Sync is ignored as COPY data, so the batch stays open.
   */
  void copyStarted(boolean syncBehind) {
    copying = true;
    syncIgnored = syncBehind;
    if (syncBehind) {
      clientBatchOpen = serverBatchOpen = serverBatchExecuted = true;
      awaitsReady = false;
    }
  }

  /** Records a completed statement. A COPY has then read everything sent before its end. */
  void statementCompleted() {
    syncIgnored = false;
  }

  /** Records an error, which ends a COPY. */
  void failed() {
    copying = false;
    syncUncertain |= syncIgnored;
    syncIgnored = false;
  }

  /** Records a message the pooler rejected; the rest of its batch is skipped. */
  void messageRefused() {
    skipping = true;
  }

  /** Records a simple query the pooler rejected; unlike a batch, it needs no Sync. */
  void queryRefused() {
    skipping = false;
  }

  /**
   * Records an error in a batch whose Sync was not yet sent. The server skips a simple query too,
   * so no ReadyForQuery arrives before the client's Sync.
   */
  void failedBeforeSync() {
    skipping = true;
    clientBatchOpen = serverBatchOpen = true;
    awaitsReady = false;
  }

  void ready(char newStatus) throws Frame.Malformed {
    if (newStatus != 'I' && newStatus != 'T' && newStatus != 'E') {
      throw new Frame.Malformed("ReadyForQuery with an unknown transaction status");
    }
    status = newStatus;
    awaitsReady = copying = syncIgnored = endOfDataSent = false;
  }

  /** Resets the batch: it is retried, abandoned, or ended by a Sync expected to be ignored. */
  void rewind() {
    clientBatchOpen = serverBatchOpen = serverBatchExecuted = false;
    skipping = awaitsReady = copying = inParts = endOfDataSent = false;
  }
}
