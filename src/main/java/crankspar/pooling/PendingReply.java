package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * What one of the client's messages, or one of the pooler's own, is answered with. Where the server
 * passes over it after an error, both undoes run: what the client has prepared, and what its
 * connection holds. Where a whole batch is begun again, only the client's do.
 *
 * @param statements what is done once it has been answered
 * @param prepared the statement that it prepares or uses, or null
 * @param answer what the client hears in place of the server's answer, or null
 */
record PendingReply(
    MessageKind kind,
    List<Statement> statements,
    Prepared prepared,
    Frame answer,
    Runnable undoAtClient,
    Runnable undoAtServer) {

  /** The kind of message. */
  enum MessageKind {
    PARSE,
    BIND,
    DESCRIBE_STATEMENT,
    DESCRIBE_PORTAL,
    EXECUTE,
    CLOSE,
    SYNC,
    QUERY,
    CALL,
    /** The pooler's own: its answer goes no further. */
    INTERNAL,
    /** Spared the server: its answer is made here. */
    LOCAL;

    /** Whether the server's message of this type answers such a message. */
    boolean answeredBy(char type) {
      return switch (type) {
        case '1' -> this == PARSE || this == INTERNAL;
        case '2' -> this == BIND || this == INTERNAL;
        case '3' -> this == CLOSE || this == INTERNAL;
        case 't' -> this == DESCRIBE_STATEMENT;
        case 'T' -> this == DESCRIBE_STATEMENT || this == DESCRIBE_PORTAL || this == QUERY;
        case 'n' -> this == DESCRIBE_STATEMENT || this == DESCRIBE_PORTAL;
        case 'C' -> this == QUERY || this == EXECUTE || this == INTERNAL;
        case 'D', 'I', 'G', 'H', 'W' -> this == QUERY || this == EXECUTE;
        case 's' -> this == EXECUTE;
        case 'c' -> true;
        case 'V' -> this == CALL;
        default -> false;
      };
    }

    /** Whether ReadyForQuery follows it. */
    boolean endsBatch() {
      return this == SYNC || this == QUERY || this == CALL;
    }
  }

  private static void nothing() {}

  static PendingReply expect(MessageKind step, Prepared prepared) {
    return new PendingReply(
        step, List.of(), prepared, null, PendingReply::nothing, PendingReply::nothing);
  }

  static PendingReply expect(MessageKind step, List<Statement> statements) {
    return new PendingReply(
        step, statements, null, null, PendingReply::nothing, PendingReply::nothing);
  }

  /** One of the pooler's own, about this statement. */
  static PendingReply internal(Prepared prepared, Runnable undoAtServer) {
    return new PendingReply(
        MessageKind.INTERNAL, List.of(), prepared, null, PendingReply::nothing, undoAtServer);
  }

  /** An answer that needs no server. */
  static PendingReply local(Frame answer) {
    return new PendingReply(
        MessageKind.LOCAL, List.of(), null, answer, PendingReply::nothing, PendingReply::nothing);
  }

  PendingReply withAnswer(Frame frame) {
    return new PendingReply(kind, statements, prepared, frame, undoAtClient, undoAtServer);
  }

  PendingReply withClientUndo(Runnable undo) {
    return new PendingReply(kind, statements, prepared, answer, undo, undoAtServer);
  }

  PendingReply withServerUndo(Runnable undo) {
    return new PendingReply(kind, statements, prepared, answer, undoAtClient, undo);
  }
}
