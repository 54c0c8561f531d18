package crankspar.rest;

import crankspar.core.FinalAnswer;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import java.util.function.Consumer;

/** Where the final answer to a session's request goes. */
final class RestReply implements Ports.Reply<RestAnswer> {
  private final Pooler<RestQuery, RestAnswer> pooler;
  private final RestSession session;
  private final boolean keepsAnswer;
  private final Consumer<FinalAnswer<RestAnswer>> told;
  private String request;

  private RestReply(
      Pooler<RestQuery, RestAnswer> pooler,
      RestSession session,
      boolean keepsAnswer,
      Consumer<FinalAnswer<RestAnswer>> told) {
    this.pooler = pooler;
    this.session = session;
    this.keepsAnswer = keepsAnswer;
    this.told = told;
  }

  /** An answer that is of use though the client has left. */
  static RestReply kept(
      Pooler<RestQuery, RestAnswer> pooler,
      RestSession session,
      Consumer<FinalAnswer<RestAnswer>> told) {
    return new RestReply(pooler, session, true, told);
  }

  static RestReply ofRead(
      Pooler<RestQuery, RestAnswer> pooler,
      RestSession session,
      Consumer<FinalAnswer<RestAnswer>> told) {
    return new RestReply(pooler, session, false, told);
  }

  @Override
  public void accepted(String id) {
    request = id;
  }

  @Override
  public boolean clientConnected() {
    boolean present = session.present();
    if (present && !session.allRead()) {
      pooler.refusedByFront(request, "its client sends more than is read");
    }
    return present;
  }

  @Override
  public boolean keepsAnswer() {
    return keepsAnswer;
  }

  @Override
  public void answer(FinalAnswer<RestAnswer> answer) {
    told.accept(answer);
  }
}
