package crankspar.pooling;

import crankspar.pooling.PendingReply.Step;
import java.util.function.BiConsumer;

/**
 * Prepared statements of one client on one server connection: under which name the server knows
 * what the client names, and what has to be prepared there first. It hands each message out with
 * the answer that it will have; a null message is spared the server.
 */
final class StatementNames {
  private final SessionState client;
  private final ServerState server;
  private final int mostOnServer;
  private final BiConsumer<Frame, PendingReply> send;
  private long prepares;

  StatementNames(
      SessionState client,
      ServerState server,
      int mostOnServer,
      BiConsumer<Frame, PendingReply> send) {
    this.client = client;
    this.server = server;
    this.mostOnServer = mostOnServer;
    this.send = send;
  }

  /** Parse messages that have gone to the server. */
  long prepares() {
    return prepares;
  }

  /** The client prepares its unnamed statement, in place of the one before. */
  void parseUnnamed(Prepared statement) {
    Prepared before = client.prepared("");
    client.prepare("", statement);
    Runnable undo = () -> client.prepare("", before);
    if (statement.equals(server.unnamed())) {
      spare(statement, undo);
    } else {
      server.unnamed(statement);
      parse(
          "",
          statement,
          PendingReply.to(Step.PARSE, statement)
              .undoneAtClient(undo)
              .undoneAtServer(() -> server.unnamed(null)));
    }
  }

  /**
   * A name that is taken is an error of the server's, inside a block one that fails it; so it is
   * asked to prepare the statement that is there once more, which it refuses as it would have.
   */
  void parseTaken(Prepared taken, Prepared statement) {
    ensurePrepared(taken);
    parse(taken.name(), statement, PendingReply.to(Step.PARSE, (Prepared) null));
  }

  /** The client prepares a statement under a name that is free. */
  void parseNamed(String name, Prepared statement) {
    client.prepare(name, statement);
    Runnable undo = () -> client.close(name);
    if (server.has(statement)) {
      spare(statement, undo);
    } else {
      evictFor(statement);
      server.add(statement);
      parse(
          statement.name(),
          statement,
          PendingReply.to(Step.PARSE, statement)
              .undoneAtClient(undo)
              .undoneAtServer(() -> server.remove(statement)));
    }
  }

  private void spare(Prepared statement, Runnable undo) {
    send.accept(
        null,
        PendingReply.to(Step.LOCAL, statement)
            .answeredAs(Frame.PARSE_COMPLETE)
            .undoneAtClient(undo));
  }

  private void parse(String as, Prepared statement, PendingReply reply) {
    prepares++;
    send.accept(statement.parse(as), reply);
  }

  /** The name under which the server knows it; a name that nobody knows goes on as it is. */
  String onServer(String name) {
    Prepared statement = client.prepared(name);
    if (statement == null) {
      return name;
    }
    if (!name.isEmpty()) {
      ensurePrepared(statement);
      return statement.name();
    }
    if (!statement.equals(server.unnamed())) {
      server.unnamed(statement);
      parse("", statement, PendingReply.internal(statement, () -> server.unnamed(null)));
    }
    return "";
  }

  private void ensurePrepared(Prepared statement) {
    if (server.has(statement)) {
      return;
    }
    evictFor(statement);
    server.add(statement);
    parse(
        statement.name(),
        statement,
        PendingReply.internal(statement, () -> server.remove(statement)));
  }

  /** Makes room for a statement: the least recently used ones are closed on the server. */
  private void evictFor(Prepared statement) {
    for (Prepared old : Carry.statement(server, statement, mostOnServer).close()) {
      server.remove(old);
      send.accept(Frame.close('S', old.name()), PendingReply.internal(old, () -> server.add(old)));
    }
    if (server.unfit(statement)) { // it may be there still, under a plan that no longer fits
      send.accept(
          Frame.close('S', statement.name()),
          PendingReply.internal(statement, () -> server.drop(statement)));
    }
  }
}
