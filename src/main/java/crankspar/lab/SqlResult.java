package crankspar.lab;

import crankspar.pooling.Frame;
import java.util.List;
import java.util.function.IntFunction;

/** What a statement of the stand-in gives; {@code columns} is null where it gives no rows. */
record SqlResult(
    List<String> columns,
    int[] types,
    int count,
    IntFunction<List<String>> rows,
    String tag,
    String copy) {
  /** Object identifiers of types. */
  static final int INT4 = 23;

  static final int INT8 = 20;
  static final int TEXT = 25;

  static SqlResult of(String tag) {
    return new SqlResult(null, null, 0, null, tag, null);
  }

  Frame description() {
    Frame.Body b = Frame.body().int16(columns.size());
    for (int i = 0; i < columns.size(); i++) {
      b.text(columns.get(i))
          .int32(0)
          .int16(0)
          .int32(types[i])
          .int16(types[i] == INT4 ? 4 : types[i] == INT8 ? 8 : -1)
          .int32(-1)
          .int16(0);
    }
    return b.as('T');
  }

  Frame row(int i) {
    return Frame.row(rows.apply(i));
  }

  String text(int i) {
    return String.join("\t", rows.apply(i));
  }

  SqlResult part(int from, int to) {
    return new SqlResult(
        columns, types, to - from, i -> rows.apply(from + i), "FETCH " + (to - from), null);
  }

  /** Rows by their number, from 0 on. */
  static SqlResult rows(
      List<String> columns, int[] types, int count, IntFunction<List<String>> rows, String tag) {
    return new SqlResult(columns, types, count, rows, tag, null);
  }
}
