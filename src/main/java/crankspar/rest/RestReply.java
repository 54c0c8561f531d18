package crankspar.rest;

import crankspar.core.FinalAnswer;
import crankspar.core.Ports;
import java.util.function.Consumer;

/**
 * Where the final answer to a session's request goes.
 *
 * @param keepsAnswer whether it is of use though the client has left
 */
record RestReply(RestSession session, boolean keepsAnswer, Consumer<FinalAnswer<RestAnswer>> told)
    implements Ports.Reply<RestAnswer> {
  static RestReply kept(RestSession session, Consumer<FinalAnswer<RestAnswer>> told) {
    return new RestReply(session, true, told);
  }

  static RestReply ofRead(RestSession session, Consumer<FinalAnswer<RestAnswer>> told) {
    return new RestReply(session, false, told);
  }

  @Override
  public boolean clientConnected() {
    return session.present();
  }

  @Override
  public void answer(FinalAnswer<RestAnswer> answer) {
    told.accept(answer);
  }
}
