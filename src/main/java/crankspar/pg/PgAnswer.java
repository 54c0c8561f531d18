package crankspar.pg;

import crankspar.net.StreamedValue;

/**
 * A row as a server gave it: a client gets these very values. One too long to hold has no row here
 * but its size, and the passage on which its bytes come.
 */
public record PgAnswer(
    PgMessage.RowDescription columns,
    PgMessage.DataRow row,
    PgMessage.CommandComplete complete,
    int size,
    StreamedValue passage) {
  public PgAnswer(
      PgMessage.RowDescription columns, PgMessage.DataRow row, PgMessage.CommandComplete complete) {
    this(columns, row, complete, 0, null);
  }

  static PgAnswer begun(PgMessage.RowDescription columns, int size, StreamedValue passage) {
    return new PgAnswer(columns, null, null, size, passage);
  }
}
