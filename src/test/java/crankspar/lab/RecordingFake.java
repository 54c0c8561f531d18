package crankspar.lab;

import java.util.Map;

/** Entries of a recording that nothing has recorded, for tests of what reads them. */
public final class RecordingFake {
  private RecordingFake() {}

  public static Recording.Executed executed(String server, String sql, long at) {
    return new Recording.Executed(server, 1, "client", 1, sql, Map.of(), at);
  }
}
