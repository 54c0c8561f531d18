package crankspar.pg;

import crankspar.core.FinalAnswer;
import java.nio.ByteBuffer;

/** How a pooler's answers are said on the wire, up to ReadyForQuery. */
final class AnswerEncoder {
  private AnswerEncoder() {}

  /**
   * The whole answer. {@code cancelled} says that its client has called it off, {@code reads} that
   * the statement changes nothing.
   */
  static byte[] whole(FinalAnswer<PgAnswer> answer, boolean cancelled, boolean reads) {
    var encoder = new PgEncoder();
    if (answer instanceof FinalAnswer.Served<PgAnswer> served) {
      PgAnswer value = served.answer();
      encoder.add(value.columns()).add(value.row()).add(value.complete());
    } else if (answer instanceof FinalAnswer.Refused<PgAnswer> refused) {
      encoder.add(refusal(refused));
    } else if (answer instanceof FinalAnswer.Failed<PgAnswer> failed) {
      String code = code(failed, cancelled, reads);
      encoder.add(PgMessage.Report.error("ERROR", code, "failed: " + failed.why()));
    }
    return encoder.add(new PgMessage.ReadyForQuery()).bytes();
  }

  /** A new client is welcomed; {@code key} names it in a cancel. */
  static byte[] welcome(PgMessage.BackendKeyData key) {
    return new PgEncoder()
        .add(new PgMessage.AuthenticationOk())
        .add(new PgMessage.ParameterStatus("server_version", "14.0 (crankspar)"))
        .add(new PgMessage.ParameterStatus("client_encoding", "UTF8"))
        .add(new PgMessage.ParameterStatus("standard_conforming_strings", "on"))
        .add(key)
        .add(new PgMessage.ReadyForQuery())
        .bytes();
  }

  /** The answer to a request for encryption: it goes on without. */
  static byte[] noEncryption() {
    return new byte[] {'N'};
  }

  /** The whole answer to a new client that finds no place: nothing of it was taken. */
  static byte[] tooManyConnections() {
    return fatal("53300", "too many connections");
  }

  /** An error that is the whole answer to a query. */
  static byte[] error(String code, String message) {
    return new PgEncoder()
        .add(PgMessage.Report.error("ERROR", code, message))
        .add(new PgMessage.ReadyForQuery())
        .bytes();
  }

  /** An error that ends the connection. */
  static byte[] fatal(String code, String message) {
    return new PgEncoder().add(PgMessage.Report.error("FATAL", code, message)).bytes();
  }

  /**
   * A refusal for each of so many statements, and an error that ends the connection; in one piece,
   * which costs less than as many writes.
   */
  static byte[] lastWords(int statements, String code, String message) {
    byte[] refusal = error("53300", "not looked at: " + message);
    byte[] end = fatal(code, message);
    var all = ByteBuffer.allocate(statements * refusal.length + end.length);
    for (int i = 0; i < statements; i++) {
      all.put(refusal);
    }
    return all.put(end).array();
  }

  /** The beginning of an answer whose row goes out as it comes. */
  static byte[] head(PgAnswer answer) {
    return new PgEncoder().add(answer.columns()).add(new PgMessage.LongRow(answer.size())).bytes();
  }

  /** The end of an answer whose row has gone out as it came. */
  static byte[] rest(FinalAnswer.Served<PgAnswer> answer) {
    return new PgEncoder()
        .add(answer.answer().complete())
        .add(new PgMessage.ReadyForQuery())
        .bytes();
  }

  private static PgMessage.Report refusal(FinalAnswer.Refused<PgAnswer> refused) {
    var report = PgMessage.Report.error("ERROR", "53300", "refused: trying again is harmless");
    double retryIn = refused.retryIn();
    return retryIn > 0 ? report.with('D', Long.toString(Math.round(retryIn))) : report;
  }

  private static String code(
      FinalAnswer.Failed<PgAnswer> failed, boolean cancelled, boolean reads) {
    if (cancelled && (reads || !failed.mayHaveRun())) {
      return "57014";
    }
    return failed.mayHaveRun() ? "08007" : "58000";
  }
}
