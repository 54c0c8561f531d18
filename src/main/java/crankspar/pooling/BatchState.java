package crankspar.pooling;

/**
 * Where a client and its server connection are in the order of the protocol: in a block, in a batch
 * without its Sync, behind an error, in a COPY. The two sides may differ, as a message may be
 * spared the server.
 */
final class BatchState {
  private char status = 'I';

  /** After a Sync or a simple query, up to ReadyForQuery. */
  private boolean awaitsReady;

  /** After an error, up to the client's Sync. */
  private boolean skipping;

  private boolean copying;

  /** A Sync went out behind what began the present COPY: the server ignores it. */
  private boolean syncIgnored;

  /**
   * A COPY failed that such a Sync stood behind: the server may have read it after the error, and
   * answers it then.
   */
  private boolean syncUncertain;

  /** Whether the end of a COPY's data went out in this batch before the COPY was known to begin. */
  private boolean endOfDataSent;

  /** Within a message of a COPY that comes in parts. */
  private boolean inParts;

  /** Whether the client has begun a batch of the extended protocol and not sent its Sync. */
  private boolean clientBatchOpen;

  /** Whether the server has got a part of such a batch, and no Sync behind it. */
  private boolean serverBatchOpen;

  /** Whether a statement has been executed in that batch. */
  private boolean serverBatchExecuted;

  /** As the server said last: I, T or E. */
  char status() {
    return status;
  }

  /** Whether the client's next messages must wait for the server to be ready. */
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

  /** Whether the server may answer a Sync that it was to ignore. */
  boolean syncUncertain() {
    return syncUncertain;
  }

  /** Whether a statement has been executed in that batch: its Sync would commit it. */
  boolean serverBatchExecuted() {
    return serverBatchExecuted;
  }

  /**
   * Whether a transaction is open: in a block, or in a batch without its Sync. The status that the
   * server told last knows nothing of the latter.
   */
  boolean inTransaction() {
    return status != 'I' || clientBatchOpen || serverBatchOpen;
  }

  /** After an error all up to the Sync is passed over, and within a COPY's data a Sync. */
  boolean skips(Frame f) {
    return f.type() == 'S' ? copying : skipping;
  }

  /** A message has come from the client. */
  void fromClient(Frame f) {
    clientBatchOpen = f.beginsBatch() || clientBatchOpen && !f.endsBatch();
    if (f.type() == 'S') {
      skipping = false;
    }
  }

  /** A message goes to the server. */
  void toServer(Frame f) {
    serverBatchOpen = f.beginsBatch() || serverBatchOpen && !f.endsBatch();
    serverBatchExecuted = f.type() == 'E' || serverBatchExecuted && !f.endsBatch();
    awaitsReady |= f.endsBatch();
  }

  /**
   * Whether a message of a COPY's data goes on. Within a batch the COPY may have begun already; a
   * server drops data that it has not asked for.
   */
  boolean forwardsData(Frame f) {
    boolean forwards = f.type() == Frame.PART ? inParts : copying || serverBatchOpen;
    inParts = forwards && !f.whole();
    return forwards;
  }

  /** Whether the end of a COPY's data goes on. */
  boolean forwardsEndOfData() {
    endOfDataSent = !copying && serverBatchOpen;
    boolean forwards = copying || serverBatchOpen;
    copying = false;
    return forwards;
  }

  /** Whether the data of a COPY that has just begun is all sent, with what stands behind it. */
  boolean endOfDataSent() {
    return endOfDataSent;
  }

  /** {@code syncBehind}: the batch goes on, as a Sync within a COPY's data is ignored. */
  void copyStarted(boolean syncBehind) {
    copying = true;
    syncIgnored = syncBehind;
    if (syncBehind) {
      clientBatchOpen = serverBatchOpen = serverBatchExecuted = true;
      awaitsReady = false;
    }
  }

  /** A statement is done, and with it a COPY: the server has read all that came before its end. */
  void statementCompleted() {
    syncIgnored = false;
  }

  /** An error has come: a COPY ends with it. */
  void failed() {
    copying = false;
    syncUncertain |= syncIgnored;
    syncIgnored = false;
  }

  /** A message was refused before it reached the server: the rest of its batch is passed over. */
  void messageRefused() {
    skipping = true;
  }

  /** A refused simple query needs no Sync. */
  void queryRefused() {
    skipping = false;
  }

  /**
   * An error has come with no Sync behind it; the server passes over a simple query, too, so that
   * no ReadyForQuery follows before the client's Sync.
   */
  void failedBeforeSync() {
    skipping = true;
    clientBatchOpen = serverBatchOpen = true;
    awaitsReady = false;
  }

  void ready(char newStatus) throws Frame.Malformed {
    if (newStatus != 'I' && newStatus != 'T' && newStatus != 'E') {
      throw new Frame.Malformed("ready in no known state");
    }
    status = newStatus;
    awaitsReady = copying = syncIgnored = endOfDataSent = false;
  }

  /** The batch is begun anew, or given up, or ended by a Sync that was to be ignored. */
  void rewind() {
    clientBatchOpen = serverBatchOpen = serverBatchExecuted = false;
    skipping = awaitsReady = copying = inParts = endOfDataSent = false;
  }
}
