package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * The expected reply to one message of the client's or the pooler's own. If the server skips the
 * message after an error, both undo actions run: for what the client has prepared, and for what the
 * connection holds. If a whole batch is retried, only the client's undo runs.
 *
 * @param statements the statements whose effects apply once the reply has arrived
 * @param prepared the prepared statement that the message creates or uses, or null
 * @param answer the frame sent to the client in place of the server's reply, or null
 */
record PendingReply(
    MessageKind kind,
    List<Statement> statements,
    Prepared prepared,
    Frame answer,
    Runnable undoAtClient,
    Runnable undoAtServer) {

  /** The kind of message that the reply answers. */
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
    /** A message of the pooler's own: its reply is not forwarded. */
    INTERNAL,
    /** A message that does not go to the server: the pooler answers it. */
    LOCAL;

    /** Whether a server message of this type can be a reply to this kind of message. */
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

    /** Whether the server answers it with ReadyForQuery at the end. */
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

  /** The reply to a message of the pooler's own about this statement. */
  static PendingReply internal(Prepared prepared, Runnable undoAtServer) {
    return new PendingReply(
        MessageKind.INTERNAL, List.of(), prepared, null, PendingReply::nothing, undoAtServer);
  }

  /** A reply that the pooler gives without the server. */
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
