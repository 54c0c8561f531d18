package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import java.util.function.BiConsumer;

/**
 * Prepared statements of one client on one server connection: under which name the server knows
 * what the client names, and what has to be prepared there first. It hands each message out with
 * the answer that it will have; a null message is spared the server.
 */
final class StatementNames {
  /** A name that no statement has on a server. */
  private static final String NONEXISTENT_NAME = Prepared.NAME_PREFIX + "unknown";

  /** SQLSTATE of a name that is taken. */
  private static final String DUPLICATE_PREPARED_STATEMENT = "42P05";

  /** Before the names of portals of the pooler's own. */
  private static final String INTERNAL_PORTAL_PREFIX = Prepared.NAME_PREFIX + "options_";

  private final SessionState client;
  private final ServerState server;
  private final ProjectedOptions options;
  private final BatchState batch;
  private final int maxServerStatements;
  private final BiConsumer<Frame, PendingReply> send;
  private long prepares;
  private long preparedUnderOtherOptions;
  private long portals;

  StatementNames(
      SessionState client,
      ServerState server,
      ProjectedOptions options,
      BatchState batch,
      int maxServerStatements,
      BiConsumer<Frame, PendingReply> send) {
    this.client = client;
    this.server = server;
    this.options = options;
    this.batch = batch;
    this.maxServerStatements = maxServerStatements;
    this.send = send;
  }

  /** Parse messages that have gone to the server. */
  long prepares() {
    return prepares;
  }

  /** Those of them that were prepared under options that their client has changed since. */
  long preparedUnderOtherOptions() {
    return preparedUnderOtherOptions;
  }

  /** The client prepares its unnamed statement, in place of the one before. */
  void parseUnnamed(Prepared statement) {
    Prepared before = client.prepared("");
    client.prepare("", statement);
    Runnable undo = () -> client.prepare("", before);
    if (statement.equals(server.unnamed())) {
      skipParse(statement, undo);
    } else {
      parseAsUnnamed(statement, undo);
    }
  }

  /**
   * A name that is taken is an error of the server's, inside a block one that fails it; so it is
   * asked to prepare the statement that is there once more, which it refuses as it would have. In a
   * block that has failed it takes some texts and not others, and the one that is there may have to
   * be prepared first, which it would not take.
   */
  void parseDuplicate(String name, Prepared existing, Prepared statement) {
    if (batch.status() == 'E' && !server.has(existing)) {
      server.setUnnamed(null);
      parse("", statement, PendingReply.internal(statement, () -> {}));
      String message = "prepared statement " + Sql.identifier(name) + " already exists";
      failOnServer(Frame.error("ERROR", DUPLICATE_PREPARED_STATEMENT, message, null));
      return;
    }
    ensurePrepared(existing);
    parse(existing.name(), statement, PendingReply.expect(MessageKind.PARSE, (Prepared) null));
  }

  /** The client prepares a statement under a name that is free. */
  void parseNamed(String name, Prepared statement) {
    client.prepare(name, statement);
    Runnable undo = () -> client.close(name);
    if (server.has(statement)) {
      skipParse(statement, undo);
    } else {
      evictFor(statement);
      server.add(statement);
      parse(
          statement.name(),
          statement,
          PendingReply.expect(MessageKind.PARSE, statement)
              .withClientUndo(undo)
              .withServerUndo(() -> server.remove(statement)));
    }
  }

  /**
   * The server has it. In a block that has failed it would refuse it all the same; it is asked by
   * the unnamed statement, which is never taken.
   */
  private void skipParse(Prepared statement, Runnable undo) {
    if (batch.status() == 'E') {
      parseAsUnnamed(statement, undo);
      return;
    }
    send.accept(
        null,
        PendingReply.expect(MessageKind.LOCAL, statement)
            .withAnswer(Frame.PARSE_COMPLETE)
            .withClientUndo(undo));
  }

  private void parseAsUnnamed(Prepared statement, Runnable undo) {
    server.setUnnamed(statement);
    parse(
        "",
        statement,
        PendingReply.expect(MessageKind.PARSE, statement)
            .withClientUndo(undo)
            .withServerUndo(() -> server.setUnnamed(null)));
  }

  private void parse(String serverName, Prepared statement, PendingReply reply) {
    prepares++;
    send.accept(statement.parseMessage(serverName), reply);
  }

  /** The name under which the server knows it; a name that nobody knows goes on as it is. */
  String serverName(String name) {
    Prepared statement = client.prepared(name);
    if (statement == null) {
      if (name.isEmpty()) {
        closeUnnamed();
      }
      return name;
    }
    if (!name.isEmpty()) {
      ensurePrepared(statement);
      return statement.name();
    }
    if (statement.equals(server.unnamed())) {
      return "";
    }
    if (!optionsMatch(statement)) { // options cannot be changed back behind it without losing it
      ensurePrepared(statement);
      return statement.name();
    }
    server.setUnnamed(statement);
    parse("", statement, PendingReply.internal(statement, () -> server.setUnnamed(null)));
    return "";
  }

  /** The client has none: what another one left there is not to answer for it. */
  private void closeUnnamed() {
    server.setUnnamed(null);
    sendInternal(Frame.close('S', ""));
  }

  private void ensurePrepared(Prepared statement) {
    if (server.has(statement)) {
      return;
    }
    evictFor(statement);
    server.add(statement);
    PendingReply reply = PendingReply.internal(statement, () -> server.remove(statement));
    if (optionsMatch(statement)) {
      parse(statement.name(), statement, reply);
    } else {
      preparedUnderOtherOptions++;
      var change = OptionsChange.around(statement.options(), options.current());
      change.before().forEach(this::execute);
      parse(statement.name(), statement, reply);
      change.after().forEach(this::execute);
    }
  }

  /** Whether the server would read its text now as when its client prepared it. */
  private boolean optionsMatch(Prepared statement) {
    StatementOptions required = statement.options();
    return required == StatementOptions.ANY
        || required.equals(options.current().statementOptions());
  }

  /**
   * Has the server fail what it is in the midst of, by a statement that nobody has; the client
   * hears this error in its turn.
   */
  void failOnServer(Frame error) {
    Frame bind = Frame.body().text("").text(NONEXISTENT_NAME).int16(0).int16(0).int16(0).as('B');
    send.accept(bind, PendingReply.internal(null, () -> {}).withAnswer(error));
  }

  /** Runs a statement of the pooler's own within the client's transaction. */
  private void execute(String sql) {
    String portal = INTERNAL_PORTAL_PREFIX + ++portals;
    server.setUnnamed(null);
    sendInternal(Frame.body().text("").text(sql).int16(0).as('P'));
    sendInternal(Frame.body().text(portal).text("").int16(0).int16(0).int16(0).as('B'));
    sendInternal(Frame.body().text(portal).int32(0).as('E'));
  }

  private void sendInternal(Frame f) {
    send.accept(f, PendingReply.internal(null, () -> {}));
  }

  /** Makes room for a statement: the least recently used ones are closed on the server. */
  private void evictFor(Prepared statement) {
    for (Prepared old : StateDiff.prepareSteps(server, statement, maxServerStatements).close()) {
      server.remove(old);
      send.accept(Frame.close('S', old.name()), PendingReply.internal(old, () -> server.add(old)));
    }
    if (server.takeStale(statement)) { // it may be there still, under a plan that no longer fits
      send.accept(
          Frame.close('S', statement.name()),
          PendingReply.internal(statement, () -> server.markStale(statement)));
    }
  }
}
