package crankspar.lab.rig;

import crankspar.pg.PgDecoder;
import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one pooler that ask once and close their connection some time later. */
final class LeavingClients extends SelectorThread {
  private static final int READ_BYTES = 4 * 1024;
  private static final byte[] STARTUP =
      new PgEncoder()
          .add(new PgMessage.Startup(Map.of("user", "client", "database", "core")))
          .bytes();

  private final AttemptHistory history;
  private final InetSocketAddress pooler;
  private final String name;
  private final int group;
  private final String requestClass;
  private final double waits;
  private final Random random;
  private final Set<Client> clients = new HashSet<>();
  private final ByteBuffer in = ByteBuffer.allocate(READ_BYTES);
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger welcomed = new AtomicInteger();
  private int ids;

  private static final class Client {
    final PgDecoder decoder = new PgDecoder(false);
    SelectionKey key;

    /** Null until it has asked. */
    String id;

    double asksAt;
    double leavesAfter;
    double leavesAt = Double.POSITIVE_INFINITY;
    boolean welcomed;

    boolean up;
  }

  /**
   * A request of theirs is of this class and group and says that its client waits for so long,
   * whenever that leaves; their ids begin with {@code name}.
   */
  LeavingClients(
      AttemptHistory history,
      InetSocketAddress pooler,
      String name,
      String requestClass,
      int group,
      double waits,
      long seed)
      throws IOException {
    this.history = history;
    this.pooler = pooler;
    this.name = name;
    this.requestClass = requestClass;
    this.group = group;
    this.waits = waits;
    random = new Random(seed);
    begin("leaving-clients");
  }

  int answered() {
    return answered.get();
  }

  int welcomed() {
    return welcomed.get();
  }

  /**
   * So many connect within {@code spread} ms, ask at once and leave {@code least} to {@code most}
   * ms later.
   */
  void arrive(int count, double spread, double least, double most) {
    run(
        () -> {
          for (int i = 0; i < count; i++) {
            connect(AttemptHistory.now() + random.nextDouble() * spread, least, most);
          }
        });
  }

  /** So many connect and rest until {@link #askAll}. */
  void rest(int count) {
    run(
        () -> {
          for (int i = 0; i < count; i++) {
            connect(Double.POSITIVE_INFINITY, 0, 0);
          }
        });
  }

  /** Each that rests asks now and leaves some time later. */
  void askAll(double least, double most) {
    run(
        () -> {
          for (Client c : List.copyOf(clients)) {
            if (c.up && c.id == null) {
              c.leavesAfter = least + random.nextDouble() * (most - least);
              ask(c, new byte[0]);
            }
          }
        });
  }

  private void connect(double asksAt, double least, double most) {
    var c = new Client();
    c.asksAt = asksAt;
    c.leavesAfter = least + random.nextDouble() * (most - least);
    clients.add(c);
    if (asksAt == Double.POSITIVE_INFINITY) {
      open(c);
    }
  }

  private void open(Client c) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      c.key = channel.register(selector, SelectionKey.OP_CONNECT, c);
      if (channel.connect(pooler)) {
        connected(c);
      }
    } catch (IOException e) {
      clients.remove(c);
    }
  }

  private void connected(Client c) {
    c.up = true;
    c.key.interestOps(SelectionKey.OP_READ);
    if (c.asksAt < Double.POSITIVE_INFINITY) {
      ask(c, STARTUP);
    } else {
      write(c, STARTUP);
    }
  }

  private void ask(Client c, byte[] before) {
    c.id = name + ++ids;
    var query =
        new PgMessage.Query(
            "/* id=%s,c=%s,d=%d,cluster=%d */ SELECT 1"
                .formatted(c.id, requestClass, (int) waits, group));
    byte[] statement = new PgEncoder().add(query).bytes();
    ByteBuffer all =
        ByteBuffer.allocate(before.length + statement.length).put(before).put(statement);
    double now = AttemptHistory.now();
    history.sent(c.id, now, waits);
    c.leavesAt = now + c.leavesAfter;
    write(c, all.array());
  }

  private void write(Client c, byte[] bytes) {
    try {
      ((SocketChannel) c.key.channel()).write(ByteBuffer.wrap(bytes));
    } catch (IOException e) {
      gone(c);
    }
  }

  private void gone(Client c) {
    clients.remove(c);
    if (c.key != null) {
      close(c.key);
    }
  }

  @Override
  void ready(SelectionKey key) throws IOException {
    var c = (Client) key.attachment();
    var channel = (SocketChannel) key.channel();
    if (key.isConnectable()) {
      if (channel.finishConnect()) {
        connected(c);
      }
      return;
    }
    if (channel.read(in.clear()) < 0) {
      gone(c);
      return;
    }
    c.decoder.feed(in.flip());
    try {
      for (PgMessage m = c.decoder.next(); m != null; m = c.decoder.next()) {
        on(c, m);
      }
    } catch (PgDecoder.Malformed e) {
      gone(c);
    }
  }

  private void on(Client c, PgMessage m) {
    if (m instanceof PgMessage.ReadyForQuery && !c.welcomed) {
      c.welcomed = true;
      welcomed.incrementAndGet();
    } else if (m instanceof PgMessage.ReadyForQuery) {
      answered.incrementAndGet();
      gone(c);
    }
  }

  @Override
  void tick() {
    double now = AttemptHistory.now();
    var leaving = new ArrayList<Client>();
    for (Client c : clients) {
      if (c.key == null && c.asksAt <= now) {
        open(c);
      } else if (c.leavesAt <= now) {
        leaving.add(c);
      }
    }
    for (Client c : leaving) {
      gone(c);
      history.left(c.id, AttemptHistory.now());
    }
  }
}
