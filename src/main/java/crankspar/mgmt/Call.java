package crankspar.mgmt;

import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import java.nio.ByteBuffer;

/** One caller's connection: one call, one answer, and the end. */
final class Call implements ConnectionHandler, HttpParser.Handler {
  private static final int BODY_MOST = 4096;

  private final Calls calls;
  private final HttpParser parser = new HttpParser(true, BODY_MOST, this);
  private HttpHead.Request head;
  private Connection out;
  private boolean whole;
  private boolean over;

  Call(Calls calls) {
    this.calls = calls;
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
  }

  @Override
  public void received(ByteBuffer in) {
    try {
      parser.feedMessage(in);
    } catch (HttpParser.Malformed e) {
      calls.counters().add("calls_malformed");
      answer(Calls.said(400, "malformed: " + e.getMessage()));
    }
    in.position(in.limit()); // what follows the one call is nobody's
  }

  @Override
  public void head(HttpHead head) {
    this.head = (HttpHead.Request) head;
  }

  @Override
  public void body(byte[] part) {} // no call has one: read past

  @Override
  public void end() {
    whole = true;
    calls.answer(head, this::answer);
  }

  private void answer(byte[] response) {
    if (!over) {
      over = true;
      out.write(response);
      out.finish();
    }
  }

  /** The rest of the call did not come in time; one that is whole has its answer coming. */
  void late() {
    if (!over && !whole) {
      calls.counters().add("calls_half");
      answer(Calls.said(408, "the call did not come whole"));
    }
  }

  void drop() {
    over = true;
    if (out != null) {
      out.close();
    }
  }

  @Override
  public void ended(String why) {
    over = true;
  }

  @Override
  public boolean urgent() {
    return true;
  } // a drain may wait here

  @Override
  public void closed() {
    calls.closed(this);
  }
}
