package crankspar.pg;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The messages of PostgreSQL's protocol, version 3, that a pooler meets: decoded once, encoded
 * once.
 */
public sealed interface PgMessage {
  // ---- from a client
  record Startup(Map<String, String> parameters) implements PgMessage {}

  /** SSLRequest or GSSENCRequest: this wire has neither. */
  record EncryptionRequest() implements PgMessage {}

  record CancelRequest(int process, int secret) implements PgMessage {}

  record Query(String sql) implements PgMessage {}

  record Sync() implements PgMessage {}

  record Terminate() implements PgMessage {}

  // ---- from a server
  record AuthenticationOk() implements PgMessage {}

  record BackendKeyData(int process, int secret) implements PgMessage {}

  record ParameterStatus(String name, String value) implements PgMessage {}

  record ReadyForQuery() implements PgMessage {}

  /** The columns; their fields go on as they came. */
  record RowDescription(int columns, byte[] body) implements PgMessage {}

  /** A null value is a null. */
  record DataRow(List<byte[]> values) implements PgMessage {}

  /** A row whose one value is too long to hold: its bytes follow as parts. */
  record LongRow(int size) implements PgMessage {}

  record Part(byte[] bytes) implements PgMessage {}

  record CommandComplete(String tag) implements PgMessage {}

  record EmptyQueryResponse() implements PgMessage {}

  /** ErrorResponse or, where {@code notice}, NoticeResponse: fields by their code letters. */
  record Report(boolean notice, Map<Character, String> fields) implements PgMessage {
    public static Report error(String severity, String code, String message) {
      var fields = new LinkedHashMap<Character, String>();
      fields.put('S', severity);
      fields.put('V', severity);
      fields.put('C', code);
      fields.put('M', message);
      return new Report(false, fields);
    }

    public Report with(char field, String value) {
      var more = new LinkedHashMap<>(fields);
      more.put(field, value);
      return new Report(notice, more);
    }

    public String code() {
      return fields.getOrDefault('C', "");
    }

    public String message() {
      return fields.getOrDefault('M', "");
    }
  }

  /** A message of a type that is passed over or refused, as the state demands. */
  record Other(char type) implements PgMessage {}
}
