package crankspar.pg;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Connections that come while all places of a front are taken by requests. The first message of
 * each is read, as it may be a cancel, which frees a place; a new client is told that there are too
 * many. Those that are read and those that are told are bounded in number and time; beyond that one
 * is closed without a word.
 */
final class RefusedSessions {
  /** From connecting to the end of the first message. */
  private static final double FIRST_MESSAGE_MOST_MS = 1000;

  private static final double SWEEP_MS = 100;

  private final EventLoop loop;
  private final ClientDesk desk;
  private final int most;
  private final Set<RefusedSession> unread = new LinkedHashSet<>();
  private boolean sweeping;

  /** Told, and not closed yet: they take no room from a cancel. */
  private int told;

  RefusedSessions(EventLoop loop, ClientDesk desk, int most) {
    this.loop = loop;
    this.desk = desk;
    this.most = most;
  }

  /** A handler for one more, or null when there are too many. */
  ConnectionHandler admit() {
    if (unread.size() >= most) {
      return null;
    }
    var session = new RefusedSession(loop.now());
    unread.add(session);
    if (!sweeping) {
      sweeping = true;
      loop.after(SWEEP_MS, this::sweep);
    }
    return session;
  }

  private void sweep() {
    double before = loop.now() - FIRST_MESSAGE_MOST_MS;
    for (RefusedSession session : new ArrayList<>(unread)) {
      if (session.connectedAt < before) {
        session.drop();
      }
    }
    sweeping = !unread.isEmpty();
    if (sweeping) {
      loop.after(SWEEP_MS, this::sweep);
    }
  }

  private final class RefusedSession implements ConnectionHandler {
    private final double connectedAt;
    private final PgDecoder decoder = new PgDecoder(true);
    private Connection connection;
    private boolean over;
    private boolean wasTold;

    RefusedSession(double connectedAt) {
      this.connectedAt = connectedAt;
    }

    @Override
    public void opened(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer in) {
      if (over) {
        in.position(in.limit());
        return;
      }
      decoder.feed(in);
      try {
        for (PgMessage m = decoder.next(); m != null && !over; m = decoder.next()) {
          decoded(m);
        }
      } catch (PgDecoder.Malformed e) {
        desk.counters().add("client_malformed");
        drop();
      }
    }

    private void decoded(PgMessage message) {
      if (message instanceof PgMessage.EncryptionRequest) {
        connection.write(AnswerEncoder.noEncryption());
      } else if (message instanceof PgMessage.CancelRequest cancel) {
        desk.counters().add("client_cancels_while_full");
        desk.cancel(cancel.process(), cancel.secret());
        drop();
      } else if (message instanceof PgMessage.Startup && told < most) {
        tell();
      } else {
        drop();
      }
    }

    private void tell() {
      desk.counters().add("client_connections_told_full");
      unread.remove(this);
      told++;
      wasTold = true;
      over = true;
      connection.write(AnswerEncoder.tooManyConnections());
      connection.finish();
    }

    private void drop() {
      if (!over) {
        over = true;
        connection.close();
      }
    }

    @Override
    public void ended(String why) {
      over = true;
    }

    @Override
    public void closed() {
      if (wasTold) {
        told--;
      } else {
        unread.remove(this);
      }
    }
  }
}
