package crankspar.pooling;

import crankspar.core.FinalAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Handles a client's startup: encryption requests, cancel requests and the login itself. */
final class Login {
  private static final int MAX_ENCRYPTION_REQUESTS = 2;
  private static final int PROTOCOL_MAJOR = 3;
  private static final int MAJOR_SHIFT = 16;
  private static final int MINOR_MASK = 0xffff;

  /** The ParameterStatus values of the admin console. */
  private static final PMap<String, String> CONSOLE_PARAMETERS =
      HashTreePMap.<String, String>empty()
          .plus("server_version", "14.0 (crankspar)")
          .plus("client_encoding", "UTF8")
          .plus("standard_conforming_strings", "on");

  private final Client client;
  private final ClientContext context;
  private int encryptionRequests;
  private String user;
  private String databaseName;
  private ServerKey key;
  private SessionState session;

  /** Set only for a client of the admin console, else null. */
  private ConsoleSession console;

  /** Startup parameters of a client that waits for a server to report its parameters. */
  private Map<String, String> pendingParameters;

  Login(Client client, ClientContext desk) {
    this.client = client;
    this.context = desk;
  }

  /** The user that the client named, or null before its startup message. */
  String user() {
    return user;
  }

  /** The database that the client named, or null before its startup message. */
  String databaseName() {
    return databaseName;
  }

  /** What a server connection for this client has to match, or null. */
  ServerKey key() {
    return key;
  }

  SessionState session() {
    return session;
  }

  /** The admin console's session, or null. */
  ConsoleSession console() {
    return console;
  }

  void take(Frame f) throws Frame.Malformed {
    if (f.type() == Frame.ENCRYPTION) {
      if (++encryptionRequests > MAX_ENCRYPTION_REQUESTS) {
        throw new Frame.Malformed("too many encryption requests");
      }
      client.refuseEncryption();
      return;
    }
    Frame.Reader r = f.read();
    int code = r.int32();
    if (f.type() == Frame.CANCEL) {
      int process = r.int32();
      int secret = r.int32();
      context.cancel(process, secret);
      client.disconnect();
      return;
    }
    int major = code >>> MAJOR_SHIFT;
    int minor = code & MINOR_MASK;
    if (major != PROTOCOL_MAJOR) {
      throw new Frame.Malformed("protocol " + major + "." + minor + " is not supported");
    }
    var parameters = new LinkedHashMap<String, String>();
    for (String name = r.text(); !name.isEmpty(); name = r.text()) {
      parameters.put(name, r.text());
    }
    negotiate(minor, parameters);
    login(parameters);
  }

  /** Answers a newer minor version or unknown protocol options with what is supported. */
  private void negotiate(int minor, Map<String, String> parameters) {
    List<String> unknown = parameters.keySet().stream().filter(n -> n.startsWith("_pq_.")).toList();
    if (minor > 0 || !unknown.isEmpty()) {
      Frame.Body b = Frame.body().int32(PROTOCOL_MAJOR << MAJOR_SHIFT).int32(unknown.size());
      unknown.forEach(b::text);
      client.write(List.of(b.as('v')));
    }
  }

  private void login(Map<String, String> parameters) {
    user = parameters.getOrDefault("user", "");
    databaseName = parameters.getOrDefault("database", user);
    Setup.Database database = client.database();
    if (user.isEmpty()) {
      client.fatal("28000", "no user is named");
    } else if (context.draining()) {
      client.fatal("57P03", "this pooler takes no new clients now");
    } else if (asksForReplication(parameters)) {
      client.fatal("0A000", "replication is not pooled");
    } else if (database == null && databaseName.equals(ConsoleSession.NAME)) {
      console = new ConsoleSession(context);
      session = SessionState.of(Map.of());
      completeLogin(CONSOLE_PARAMETERS, parameters);
    } else if (database == null) {
      client.fatal("3D000", "database \"" + databaseName + "\" is not set up here");
    } else if (!database.allows(user)) {
      client.fatal(
          "28000", "user \"" + user + "\" is not set up for database \"" + databaseName + "\"");
    } else {
      start(database, parameters);
    }
  }

  private static boolean asksForReplication(Map<String, String> parameters) {
    String value = parameters.get("replication");
    return value != null && !value.matches("false|off|no|0");
  }

  private void start(Setup.Database database, Map<String, String> parameters) {
    key = new ServerKey(database.name(), database.serverName(), user);
    session = SessionState.of(parameters);
    if (session.options().size() > SessionLimits.MAX_OPTIONS) {
      client.fatal("53400", "more than " + SessionLimits.MAX_OPTIONS + " options");
      return;
    }
    PMap<String, String> reported = context.reported(key);
    if (reported != null) {
      completeLogin(reported, parameters);
    } else {
      learnServerParameters(database, user, parameters);
    }
  }

  /** Makes the first client of a key wait until a server has reported its parameters. */
  private void learnServerParameters(
      Setup.Database database, String user, Map<String, String> parameters) {
    try {
      Route.RoutingDecision way =
          context.route().decide(database.forUser(user), "", List.of(), client.session());
      pendingParameters = parameters;
      client.submit(new OpeningBatch(client, List.of(), true, way, false, Setup.Mode.TRANSACTION));
    } catch (Route.Refused e) {
      client.fatal(e.code, e.getMessage());
    }
  }

  /** Completes or rejects the login of the client that waited for a server's parameters. */
  void serverParametersLearned(FinalAnswer<Answer> answer, OpeningBatch batch, String refusal) {
    PMap<String, String> reported = context.reported(client.key());
    if (answer instanceof FinalAnswer.Served<Answer> && reported != null) {
      completeLogin(reported, pendingParameters);
      pendingParameters = null;
    } else if (batch.serverError != null) {
      client.end(batch.serverError);
    } else {
      client.fatal("57P03", "no server is available: " + refusal);
    }
  }

  /**
   * Sends the login's replies; a value the client asked for itself, such as its time zone, counts
   * as reported and is sent in the client's spelling.
   */
  private void completeLogin(PMap<String, String> reported, Map<String, String> asked) {
    var frames = new ArrayList<Frame>();
    frames.add(Frame.body().int32(0).as('R'));
    var own = new HashMap<String, String>();
    asked.forEach((name, value) -> own.put(name.toLowerCase(Locale.ROOT), value));
    PMap<String, String> told = reported;
    for (Map.Entry<String, String> e : reported.entrySet()) {
      String value = own.getOrDefault(e.getKey().toLowerCase(Locale.ROOT), e.getValue());
      if (!ReportedStatus.PARAMETERS.contains(e.getKey())) {
        frames.add(Frame.parameter(e.getKey(), value));
        told = value.equals(e.getValue()) ? told : told.plus(e.getKey(), value);
      }
    }
    client.session().reportedParameters(told);
    frames.add(Frame.body().int32(client.process()).int32(client.secret()).as('K'));
    frames.add(Frame.ready('I'));
    client.loggedIn(frames);
    context.count("pooling_logins");
  }
}
