package crankspar.pg;

import crankspar.core.Ports.Audit;

/**
 * What each message of a client asks for: simple queries only, after a startup message. An answer
 * that needs no database is written at once; a statement for one goes to {@link
 * ClientSession#take}.
 */
final class ClientProtocol {
  private final ClientSession session;
  private final ClientDesk desk;
  private boolean welcomed;

  /** It has sent a query since it was welcomed. */
  private boolean asked;

  /** An error has answered a message of the extended protocol; silence until a sync or a query. */
  private boolean skipping;

  /** A cancel has come for the statement that is next. */
  private boolean cancelNext;

  ClientProtocol(ClientSession session, ClientDesk desk) {
    this.session = session;
    this.desk = desk;
  }

  boolean welcomed() {
    return welcomed;
  }

  boolean asked() {
    return asked;
  }

  /** A cancel has come before the statement that it is for was taken. */
  void cancelNext(boolean statementWaits) {
    cancelNext = statementWaits;
  }

  /** Takes a message that may have come at {@code since} (ms) at the earliest. */
  void on(PgMessage m, double since) {
    if (m instanceof PgMessage.Startup) {
      welcomed = true;
      session.write(AnswerEncoder.welcome(desk.key(session)));
    } else if (m instanceof PgMessage.EncryptionRequest) {
      session.write(AnswerEncoder.noEncryption());
    } else if (m instanceof PgMessage.Query q && welcomed) {
      skipping = false;
      query(q.sql(), since);
    } else if (m instanceof PgMessage.Sync && welcomed) {
      skipping = false;
      session.write(new PgEncoder().add(new PgMessage.ReadyForQuery()).bytes());
    } else if (m instanceof PgMessage.Other o && welcomed) {
      unknown(o.type());
    } else {
      session.finish(); // nothing else comes before a startup
    }
  }

  private void query(String sql, double since) {
    asked = true;
    byte[] local = cancelNext ? null : LocalQuery.answer(sql, desk);
    if (cancelNext) {
      cancelNext = false;
      desk.notTaken(sql, Audit.Answer.NOT_TAKEN);
      session.write(AnswerEncoder.error("57014", "canceled by its client"));
    } else if (local != null) {
      session.write(local);
    } else {
      session.take(sql, since);
    }
  }

  /** The extended protocol is not spoken here: one error, and silence until the client syncs. */
  private void unknown(char type) {
    desk.counters().add("client_unknown_messages");
    if (!skipping) {
      skipping = true;
      String why = "message type " + type + " is not supported: simple queries only";
      session.write(new PgEncoder().add(PgMessage.Report.error("ERROR", "0A000", why)).bytes());
    }
  }
}
