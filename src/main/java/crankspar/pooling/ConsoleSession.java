package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;

/** One client session on the admin console; the front answers its simple queries itself. */
final class ConsoleSession {
  /** The database name that selects the console. */
  static final String NAME = "crankspar";

  private final ClientContext desk;

  /**
   * Whether a message of the extended protocol was refused; messages up to its Sync are ignored.
   */
  private boolean skipping;

  ConsoleSession(ClientContext desk) {
    this.desk = desk;
  }

  List<Frame> answer(Frame frame) throws Frame.Malformed {
    if (frame.type() == 'Q') {
      return query(frame.read().text());
    }
    if (frame.type() == 'S') {
      skipping = false;
      return List.of(Frame.ready('I'));
    }
    if (skipping) {
      return List.of();
    }
    skipping = true;
    return List.of(error("0A000", "the console takes simple queries only"));
  }

  private List<Frame> query(String sql) {
    List<Frame> answer = sql.isBlank() ? List.of(Frame.EMPTY_QUERY) : desk.console(sql);
    var all = new ArrayList<Frame>();
    if (answer == null) {
      all.add(error("42601", "the console knows SHOW, PAUSE and RESUME: try SHOW help"));
    } else {
      all.addAll(answer);
    }
    all.add(Frame.ready('I'));
    return all;
  }

  private static Frame error(String code, String message) {
    return Frame.error("ERROR", code, message, null);
  }
}
