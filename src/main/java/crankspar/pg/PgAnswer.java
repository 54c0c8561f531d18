package crankspar.pg;

import crankspar.net.Passage;

/**
 * A row as a server gave it: a client gets these very values. One too long to hold has no row here but its
 * size, and the passage on which its bytes come.
 */
public record PgAnswer(PgMessage.RowDescription columns, PgMessage.DataRow row, PgMessage.CommandComplete complete,
                       int size, Passage passage) {
    public PgAnswer(PgMessage.RowDescription columns, PgMessage.DataRow row, PgMessage.CommandComplete complete) {
        this(columns, row, complete, 0, null);
    }

    static PgAnswer begun(PgMessage.RowDescription columns, int size, Passage passage) {
        return new PgAnswer(columns, null, null, size, passage);
    }
}
