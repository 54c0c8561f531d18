package crankspar.lab.hostile;

import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** What one hostile client sends, how fast it writes, and how fast it reads. */
public enum HostileKind {
  /** Many short reads at once; the answers are not read. */
  UNREAD_STATEMENTS(Front.PLATFORM, false, HostileClients.UNLIMITED, 0),
  /** Many reads at once, each of a value of 64 KB; the answers are not read. */
  UNREAD_VALUES(Front.PLATFORM, false, HostileClients.UNLIMITED, 0),
  /** Very many small messages, then bytes that are none; the answers are not read. */
  UNREAD_REFUSALS(Front.PLATFORM, false, HostileClients.UNLIMITED, 0),
  /** Half of a large statement, and no more. */
  HALF_STATEMENT(Front.PLATFORM, false, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A whole large statement, again and again. */
  LARGE_STATEMENTS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** The head of a message that is far too long. */
  OVERSIZED_HEAD(Front.PLATFORM, false, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A statement of some KB, written slowly. */
  SLOW_WRITE(Front.PLATFORM, false, 2000, HostileClients.UNLIMITED),
  /** Reads of 64 KB values, read slowly. */
  SLOW_READ(Front.PLATFORM, true, HostileClients.UNLIMITED, 2000),
  EMPTY_STATEMENTS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  WITHOUT_ID(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  NEW_IDS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  NEW_CLASSES(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  UNSOUND_COMMENTS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  UNKNOWN_MESSAGES(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A new connection under a new user name for each statement. */
  NEW_USERS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Cancels of nobody, each on a connection of its own. */
  CANCELS(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A request head of 30,000 fields of one name. */
  REST_REPEATED_FIELD(Front.REST, false, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Trailers of a chunked body without an end. */
  REST_TRAILERS(Front.REST, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  REST_HALF_BODY(Front.REST, false, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Many reads at once; the answers are not read. */
  REST_UNREAD(Front.REST, false, HostileClients.UNLIMITED, 0),
  REST_NEW_GROUPS(Front.REST, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  REST_STATUS(Front.REST, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  REST_UNSOUND(Front.REST, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Writes with ever new keys, one after the other. */
  REST_NEW_KEYS(Front.REST, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Many selects at once; the answers are not read. */
  POOLING_UNREAD(Front.POOLING, false, HostileClients.UNLIMITED, 0),
  POOLING_HALF_STATEMENT(Front.POOLING, false, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  POOLING_EMPTY(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Parse messages of ever new names and texts. */
  POOLING_NEW_NAMES(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  POOLING_UNSOUND(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A statement of a megabyte whose comment is full of names. */
  TEXT_COMMENT_NAMES(Front.PLATFORM, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A simple query of a megabyte of semicolons. */
  TEXT_SEMICOLONS(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A simple query of very many short SETs. */
  TEXT_SETS(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A SET of one name of very many parts. */
  TEXT_OPTION_NAME(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A startup parameter, and one in {@code options}, whose name has very many parts. */
  TEXT_STARTUP_NAME(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  TEXT_STARTUP_OPTIONS(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Semicolons and a letter at the admin console. */
  TEXT_CONSOLE(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** Ever new prepared statements of a megabyte, each closed at once. */
  TEXT_PREPARED(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** An option with a value of a megabyte, on a connection of its own each. */
  TEXT_OPTION_VALUE(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED),
  /** A simple query of a megabyte that reads a value. */
  TEXT_QUERY(Front.POOLING, true, HostileClients.UNLIMITED, HostileClients.UNLIMITED);

  /** The front that a kind speaks to. */
  public enum Front {
    PLATFORM,
    REST,
    POOLING
  }

  /**
   * Whether its requests are sound and go to databases: many such clients take what these can do,
   * so that others may be refused, in time.
   */
  boolean asksDatabases() {
    return switch (this) {
      case UNREAD_STATEMENTS,
              UNREAD_VALUES,
              LARGE_STATEMENTS,
              SLOW_WRITE,
              SLOW_READ,
              NEW_IDS,
              NEW_USERS,
              REST_UNREAD,
              REST_NEW_KEYS,
              POOLING_UNREAD,
              TEXT_SETS,
              TEXT_PREPARED,
              TEXT_OPTION_VALUE,
              TEXT_QUERY ->
          true;
      default -> false;
    };
  }

  /** Statements that one who does not read sends at once. */
  private static final int BURST = 90;

  private static final int SMALL_MESSAGES = 400;
  private static final int REST_BURST = 30;
  private static final int REPEATED_FIELDS = 30_000;
  private static final int HALF_BYTES = 300 * 1024;
  private static final int LARGE_BYTES = 1000 * 1024;
  private static final int SLOW_BYTES = 16 * 1024;
  private static final int OVERSIZED_BYTES = 32_000_000;

  /** Messages that a flood writes together. */
  private static final int BATCH = 64;

  private final Front front;
  private final boolean repeats;
  private final int writeRate;
  private final int readRate;

  HostileKind(Front front, boolean repeats, int writeRate, int readRate) {
    this.front = front;
    this.repeats = repeats;
    this.writeRate = writeRate;
    this.readRate = readRate;
  }

  /** The front that it speaks to. */
  public Front front() {
    return front;
  }

  /** Whether it goes on sending; others send once and stay. */
  boolean repeats() {
    return repeats;
  }

  /** Bytes that it writes in a second. */
  int writeRate() {
    return writeRate;
  }

  /** Bytes that it reads in a second. */
  int readRate() {
    return readRate;
  }

  /** Whether it is a costly text, which drawn mixes of crowds and floods have none of. */
  boolean isText() {
    return compareTo(TEXT_COMMENT_NAMES) >= 0;
  }

  /** Whether each message has a connection of its own. */
  boolean reconnects() {
    return this == TEXT_STARTUP_NAME
        || this == TEXT_STARTUP_OPTIONS
        || this == TEXT_OPTION_VALUE
        || this == NEW_USERS
        || this == CANCELS
        || this == REST_UNSOUND
        || this == POOLING_UNSOUND;
  }

  /** What it writes first; {@code number} is never given twice. */
  byte[] opening(long number) {
    if (this == CANCELS) {
      return ByteBuffer.allocate(16)
          .putInt(16)
          .putInt(80877102)
          .putInt((int) number)
          .putInt(7)
          .array();
    }
    return switch (front) {
      case REST -> new byte[0];
      case PLATFORM -> startup(this == NEW_USERS ? "u" + number : "client", "core");
      case POOLING -> poolingStartup();
    };
  }

  private byte[] poolingStartup() {
    return switch (this) {
      case TEXT_CONSOLE -> startup("app", "crankspar");
      case TEXT_STARTUP_NAME ->
          startup(Map.of("user", "app", "database", "league", HostileText.startupName(), "1"));
      case TEXT_STARTUP_OPTIONS ->
          startup(
              Map.of(
                  "user",
                  "app",
                  "database",
                  "league",
                  "options",
                  "-c " + HostileText.startupName() + "=1"));
      default -> startup("app", "league");
    };
  }

  private static byte[] startup(String user, String database) {
    return startup(Map.of("user", user, "database", database));
  }

  private static byte[] startup(Map<String, String> parameters) {
    return new PgEncoder().add(new PgMessage.Startup(parameters)).bytes();
  }

  /** What it writes next; {@code number} is never given twice. */
  byte[] next(long number) {
    return switch (this) {
      case UNREAD_STATEMENTS, UNREAD_VALUES -> reads(number, BURST);
      case UNREAD_REFUSALS -> refusals();
      case HALF_STATEMENT, POOLING_HALF_STATEMENT ->
          Arrays.copyOf(query(large(number, LARGE_BYTES)), HALF_BYTES);
      case LARGE_STATEMENTS -> query(large(number, LARGE_BYTES));
      case OVERSIZED_HEAD -> ByteBuffer.allocate(5).put((byte) 'Q').putInt(OVERSIZED_BYTES).array();
      case SLOW_WRITE -> query(large(number, SLOW_BYTES));
      case SLOW_READ, NEW_USERS -> reads(number, 1);
      case CANCELS -> new byte[0];
      case EMPTY_STATEMENTS, POOLING_EMPTY -> repeated(query(""), BATCH);
      case WITHOUT_ID -> repeated(query("/* c=check */ SELECT 1"), BATCH);
      case NEW_IDS -> reads(number, BATCH);
      case NEW_CLASSES ->
          query("/* id=h%x,c=k%d,d=300,cluster=2 */ SELECT 1".formatted(number, number));
      case UNSOUND_COMMENTS -> repeated(query("/* id=h%x,,, SELECT".formatted(number)), BATCH);
      case UNKNOWN_MESSAGES -> repeated(new byte[] {'B', 0, 0, 0, 6, 0, 0, 'S', 0, 0, 0, 4}, BATCH);
      case POOLING_UNREAD -> repeated(query("SELECT repeat('x', 2000)"), BURST);
      case POOLING_NEW_NAMES -> parse("s" + number, "SELECT " + number);
      case TEXT_COMMENT_NAMES -> query(HostileText.namesInComment(number));
      case TEXT_SEMICOLONS -> query(HostileText.semicolons());
      case TEXT_SETS -> query(HostileText.shortSets());
      case TEXT_OPTION_NAME -> query(HostileText.longOptionName());
      case TEXT_STARTUP_NAME, TEXT_STARTUP_OPTIONS -> query("SELECT 1");
      case TEXT_CONSOLE -> query(HostileText.semicolons() + "x");
      case TEXT_PREPARED -> preparedAndClosed("s" + number, "SELECT 1 -- " + large(number));
      case TEXT_OPTION_VALUE -> query("SET a.b" + number + " = '" + large(number) + "'");
      case TEXT_QUERY -> query("SELECT 1 -- " + large(number));
      case POOLING_UNSOUND -> new byte[] {'?', 0, 0, 0, 9, 1, 2, 3, 4, 5};
      default -> rest(number);
    };
  }

  /** Statements that are the shortest that count, and a message of a type that there is not. */
  private static byte[] refusals() {
    byte[] statements = repeated(query("/* id=h */ SELECT 1234567890123456"), SMALL_MESSAGES);
    byte[] all = Arrays.copyOf(statements, statements.length + 5);
    all[statements.length] = '?';
    return all;
  }

  private byte[] rest(long number) {
    return ascii(
        switch (this) {
          case REST_REPEATED_FIELD -> get("/v1/status", "a: b\r\n".repeat(REPEATED_FIELDS));
          case REST_TRAILERS ->
              number == 0 // the first of a connection
                  ? "POST /v1/groups/2/claim HTTP/1.1\r\nHost: x\r\nIdempotency-Key: t\r\n"
                      + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
                  : "t: u\r\n".repeat(BATCH);
          case REST_HALF_BODY ->
              "POST /v1/groups/2/claim HTTP/1.1\r\nHost: x\r\nIdempotency-Key: h"
                  + number
                  + "\r\nContent-Length: 60000\r\n\r\n"
                  + "x".repeat(30_000);
          case REST_UNREAD -> get("/v1/groups/2/check", "").repeat(REST_BURST);
          case REST_NEW_GROUPS -> get("/v1/groups/" + (3 + number) + "/check", "");
          case REST_STATUS -> get("/v1/status", "").repeat(BATCH);
          case REST_NEW_KEYS ->
              "POST /v1/groups/2/claim HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k"
                  + number
                  + "\r\nContent-Length: 2\r\n\r\n{}";
          default -> "NONSENSE\r\n\r\n";
        });
  }

  private static String get(String path, String fields) {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] query(String sql) {
    return new PgEncoder().add(new PgMessage.Query(sql)).bytes();
  }

  private static byte[] parse(String name, String sql) {
    byte[] body = ascii(name + "\0" + sql + "\0\0\0");
    return ByteBuffer.allocate(body.length + 10)
        .put((byte) 'P')
        .putInt(body.length + 4)
        .put(body)
        .put((byte) 'S')
        .putInt(4)
        .array();
  }

  /** A read as clients that behave send it. */
  static String read(String id, int waits) {
    return "/* id=%s,c=check,d=%d,cluster=2 */ SELECT val FROM state WHERE uid = 'u'"
        .formatted(id, waits);
  }

  private static byte[] reads(long number, int count) {
    var all = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      all.writeBytes(query(read("h%x-%x".formatted(number, i), 2000)));
    }
    return all.toByteArray();
  }

  private static byte[] preparedAndClosed(String name, String sql) {
    byte[] parsed = parse(name, sql);
    byte[] close = ascii("S" + name + "\0");
    return ByteBuffer.allocate(parsed.length + close.length + 10)
        .put(parsed)
        .put((byte) 'C')
        .putInt(close.length + 4)
        .put(close)
        .put((byte) 'S')
        .putInt(4)
        .array();
  }

  private static String large(long number) {
    return number + "x".repeat(LARGE_BYTES);
  }

  private static String large(long number, int bytes) {
    return "/* id=h%x,c=check,d=2000,cluster=2 */ SELECT '%s'".formatted(number, "x".repeat(bytes));
  }

  private static byte[] repeated(byte[] message, int times) {
    var all = new ByteArrayOutputStream();
    for (int i = 0; i < times; i++) {
      all.writeBytes(message);
    }
    return all.toByteArray();
  }
}
