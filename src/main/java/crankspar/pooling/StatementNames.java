package crankspar.pooling;

import crankspar.pooling.PendingReply.MessageKind;
import java.util.function.BiConsumer;

/**
 * Maps one client's prepared statements to their names on one server connection and prepares there
 * first what is missing. Passes each message to the sender with the reply expected for it; a null
 * message is answered locally and not sent to the server.
 */
final class StatementNames {
  /** Name that no statement on a server has. */
  private static final String NONEXISTENT_NAME = Prepared.NAME_PREFIX + "unknown";

  /** SQLSTATE duplicate_prepared_statement. */
  private static final String DUPLICATE_PREPARED_STATEMENT = "42P05";

  /** Prefix of the portals in which the pooler runs its own statements. */
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

  /** Returns the number of Parse messages sent to the server. */
  long prepares() {
    return prepares;
  }

  /**
   * Returns how many of those Parse messages needed options that their client has changed since.
   */
  long preparedUnderOtherOptions() {
    return preparedUnderOtherOptions;
  }

  /** Handles a Parse of the unnamed statement, which replaces the one before. */
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
   * Handles a Parse under a name that the client already uses. The server has to raise the error,
   * because within a transaction block the error fails the block; the new text is therefore parsed
   * under the existing statement's server name, which the server rejects as it would on a dedicated
   * connection. A failed block accepts only some texts. If the existing statement is missing on the
   * server, a failed block might not accept it, so the new text is parsed as the unnamed statement,
   * which fails if the block does not accept that text either, and the duplicate name is reported
   * by {@link #failOnServer}.
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

  /** Handles a Parse under a name that the client does not use yet. */
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
   * Answers the Parse locally, as the server already has the statement. In a failed block the
   * server would reject the Parse; there it is sent as the unnamed statement, whose name is never
   * taken.
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

  /**
   * Returns the server's name for a client's statement, preparing the statement there first if
   * needed. An unknown name is passed through unchanged.
   */
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
    if (!optionsMatch(statement)) { // restoring options would replace the unnamed statement
      ensurePrepared(statement);
      return statement.name();
    }
    server.setUnnamed(statement);
    parse("", statement, PendingReply.internal(statement, () -> server.setUnnamed(null)));
    return "";
  }

  /**
   * Closes the unnamed statement on the server; otherwise one left there by another client would
   * run for this client.
   */
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

  /**
   * Whether the current options on the server give the text the meaning that it had when prepared.
   */
  private boolean optionsMatch(Prepared statement) {
    StatementOptions required = statement.options();
    return required == StatementOptions.ANY
        || required.equals(options.current().statementOptions());
  }

  /**
   * Makes the server fail the current batch or transaction by binding a statement that does not
   * exist; the client receives {@code error} in place of the server's error, in order.
   */
  void failOnServer(Frame error) {
    Frame bind = Frame.body().text("").text(NONEXISTENT_NAME).int16(0).int16(0).int16(0).as('B');
    send.accept(bind, PendingReply.internal(null, () -> {}).withAnswer(error));
  }

  /** Runs a statement of the pooler within the client's transaction. */
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

  /** Closes the least recently used statements on the server until there is room for a new one. */
  private void evictFor(Prepared statement) {
    for (Prepared old : StateDiff.prepareSteps(server, statement, maxServerStatements).close()) {
      server.remove(old);
      send.accept(Frame.close('S', old.name()), PendingReply.internal(old, () -> server.add(old)));
    }
    if (server.takeStale(statement)) { // may still exist there, with a plan that is no longer valid
      send.accept(
          Frame.close('S', statement.name()),
          PendingReply.internal(statement, () -> server.markStale(statement)));
    }
  }
}
