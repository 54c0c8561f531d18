package crankspar.lab;

import crankspar.pooling.Frame;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The messages of the extended protocol at one session of the stand-in. */
final class PgExtended {
  private static final int TEXT_OID = 25;

  private final PgBackend backend;

  PgExtended(PgBackend backend) {
    this.backend = backend;
  }

  void parse(Frame f) throws Frame.Malformed, PgFailed {
    Frame.Reader r = f.read();
    String name = r.text();
    String sql = r.text();
    var types = new int[r.int16()];
    for (int i = 0; i < types.length; i++) {
      types[i] = r.int32();
    }
    backend.transaction.checkAccepts(sql);
    backend.statements.prepare(name, sql, types);
    if (backend.goes(backend.server.fault.answering(backend.connection, 'P', sql))) {
      backend.say(Frame.body().as('1'));
    }
  }

  void bind(Frame f) throws Frame.Malformed, PgFailed {
    Frame.Reader r = f.read();
    String portal = r.text();
    PgStatements.Prepared prepared = backend.statements.toBind(r.text());
    List<String> parameters = parameters(r);
    backend.transaction.checkAccepts(prepared.sql());
    backend.transaction.open(portal, new PgPortal(prepared.sql(), parameters));
    if (backend.goes(backend.server.fault.answering(backend.connection, 'B', prepared.sql()))) {
      backend.say(Frame.body().as('2'));
    }
  }

  private static List<String> parameters(Frame.Reader r) throws Frame.Malformed {
    var formats = new int[r.int16()];
    for (int i = 0; i < formats.length; i++) {
      formats[i] = r.int16();
    }
    var parameters = new ArrayList<String>();
    int count = r.int16();
    for (int i = 0; i < count; i++) {
      int length = r.int32();
      byte[] value = length < 0 ? null : r.bytes(length);
      int format = formats.length == 0 ? 0 : formats[formats.length == 1 ? 0 : i];
      parameters.add(value == null ? null : format == 0 ? text(value) : binary(value));
    }
    return parameters;
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  /** Whole numbers as drivers send them. */
  private static String binary(byte[] value) {
    ByteBuffer b = ByteBuffer.wrap(value);
    return switch (value.length) {
      case Short.BYTES -> Short.toString(b.getShort());
      case Integer.BYTES -> Integer.toString(b.getInt());
      case Long.BYTES -> Long.toString(b.getLong());
      default -> text(value);
    };
  }

  void describe(Frame f) throws Frame.Malformed, PgFailed {
    Frame.Reader r = f.read();
    boolean ofStatement = r.code() == 'S';
    String name = r.text();
    String sql =
        ofStatement ? backend.statements.get(name).sql() : backend.transaction.portal(name).sql;
    if (ofStatement) {
      backend.say(parameterTypes(backend.statements.get(name)));
    }
    SqlResult shape = MiniSql.shape(backend, sql);
    backend.say(shape.columns() == null ? Frame.body().as('n') : shape.description());
  }

  private static Frame parameterTypes(PgStatements.Prepared prepared) {
    int[] given = prepared.types();
    int n = Math.max(given.length, SqlText.parameters(prepared.sql()));
    Frame.Body b = Frame.body().int16(n);
    for (int i = 0; i < n; i++) {
      b.int32(i < given.length && given[i] != 0 ? given[i] : TEXT_OID);
    }
    return b.as('t');
  }

  void close(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    if (r.code() == 'S') {
      backend.statements.close(r.text());
    } else {
      backend.transaction.close(r.text());
    }
    backend.say(Frame.body().as('3'));
  }

  void execute(Frame f, PgExecution execution) throws Frame.Malformed, PgFailed {
    Frame.Reader r = f.read();
    PgPortal portal = backend.transaction.portal(r.text());
    execution.execute(portal, r.int32());
  }
}
