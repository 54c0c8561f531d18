package crankspar.mgmt;

import java.util.List;
import java.util.function.Consumer;

/** What operators may ask of the pooler, whatever fronts it has. Called on the loop. */
public interface Operations {
  /** What a call comes to; each stands for one status. */
  enum Done {
    YES,
    UNKNOWN_ID,
    NOT_NOW
  }

  /** One figure: a count since the start of the process, or a present value. */
  record Figure(String name, long value, boolean count) {
    public static Figure count(String name, long value) {
      return new Figure(name, value, true);
    }

    public static Figure gauge(String name, long value) {
      return new Figure(name, value, false);
    }
  }

  /** Whether this process can serve. */
  boolean ready();

  List<Figure> figures();

  /**
   * Takes a database out; {@code told} hears once, at once or later, and of a yes only when that
   * survives a kill.
   */
  void disable(String id, Consumer<Done> told);

  /** Puts a database back; as {@link #disable}. */
  void enable(String id, Consumer<Done> told);

  Done drain();

  Done resume();

  /** A page of the audit as JSON, or null where no audit is set up or it has no such page. */
  default String audit(String page, java.util.Map<String, String> query) {
    return null;
  }
}
