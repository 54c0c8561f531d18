package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects a client's messages between transactions, up to the first that ends a batch or makes the
 * server reply (Sync, simple query, function call or Flush). They form the opening batch of one
 * request. Messages that need no server are answered here.
 */
final class BatchCollector {
  /**
   * A larger opening batch is not collected whole: it is streamed to a single member and cannot be
   * retried at another.
   */
  private static final int MAX_OPENING_BYTES = 64 * 1024;

  private final Client client;
  private final ClientContext context;
  private List<Frame> frames = new ArrayList<>(4);
  private int bytes;
  private boolean skipping;

  BatchCollector(Client client, ClientContext desk) {
    this.client = client;
    this.context = desk;
  }

  int bytes() {
    return bytes;
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  void clear() {
    frames.clear();
    bytes = 0;
  }

  /** Refuses a message that is not read, and with it its batch, or the transaction it is in. */
  void refuse(Frame f, boolean inTransaction) {
    context.count("pooling_long_texts_refused");
    clear();
    if (inTransaction) {
      client.fatal("53200", "too many long statements");
    } else {
      boolean whole = f.type() == 'Q';
      client.reject("53300", "too many long statements: trying again is harmless", whole);
    }
  }

  /** After an error, skips the rest of an incomplete batch up to its Sync. */
  void skip(boolean on) {
    skipping = on;
  }

  void take(Frame f) throws Frame.Malformed {
    if (skipping) {
      skipping = f.type() != 'S';
      if (!skipping) {
        client.write(List.of(Frame.ready('I')));
      }
      return;
    }
    if (frames.isEmpty() && answeredLocally(f)) {
      return;
    }
    frames.add(f);
    bytes += f.size();
    if (f.endsBatch() || f.type() == 'H' || bytes > MAX_OPENING_BYTES) {
      List<Frame> opening = frames;
      frames = new ArrayList<>(4);
      bytes = 0;
      open(opening, f.endsBatch());
    }
  }

  private boolean answeredLocally(Frame f) throws Frame.Malformed {
    switch (f.type()) {
      case 'S' -> client.write(List.of(Frame.ready('I')));
      case 'H', 'd', 'c', 'f', Frame.PART -> {}
      case 'Q' -> {
        if (!client.session().parsed(f).statements().isEmpty()) {
          return false;
        }
        client.session().queryEnded();
        client.write(List.of(Frame.EMPTY_QUERY, Frame.ready('I')));
      }
      case 'p' -> throw new Frame.Malformed("unexpected password message");
      default -> {
        return false;
      }
    }
    return true;
  }

  private void open(List<Frame> opening, boolean whole) throws Frame.Malformed {
    if (client.takeCancel()) {
      client.reject("57014", "canceled before it was started", whole);
      return;
    }
    var batch = BatchStatements.of(opening, client.session());
    Setup.Database database = client.database();
    if (database == null) {
      String name = client.databaseName();
      client.reject("3D000", "database \"" + name + "\" is no longer set up here", whole);
      return;
    }
    String user = client.user();
    try {
      Route.RoutingDecision way =
          context
              .route()
              .decide(database.forUser(user), batch.text(), batch.statements(), client.session());
      client.submit(
          new OpeningBatch(client, opening, whole, way, batch.onlyBegins(), database.mode(user)));
    } catch (Route.Refused e) {
      client.reject(e.code, e.getMessage(), whole);
    }
  }
}
