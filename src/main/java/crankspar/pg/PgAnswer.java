package crankspar.pg;

/** A row as a server gave it: a client gets these very values. */
public record PgAnswer(PgMessage.RowDescription columns, PgMessage.DataRow row, PgMessage.CommandComplete complete) { }
