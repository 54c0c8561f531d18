package crankspar.lab.load;

import crankspar.lab.PgClient;
import crankspar.lab.load.Recorder.Outcome;
import crankspar.net.EventLoop;
import crankspar.pooling.Frame;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests as PostgreSQL's protocol has them: the platform's statements, simple queries, or
 * prepared ones.
 */
final class PgDialect implements Dialect {
  private static final byte[] EXECUTE =
      Frame.join(List.of(Frame.body().text("").int32(0).as('E'), Frame.body().as('S')));

  private final Workload workload;
  private final InetSocketAddress target;
  private final String user;
  private final String database;
  private final String run;

  PgDialect(Workload workload, InetSocketAddress target, String user, String database) {
    this(workload, target, user, database, Long.toString(System.nanoTime(), 36));
  }

  /** Ids of the platform's statements begin with {@code run}. */
  PgDialect(Workload workload, InetSocketAddress target, String user, String database, String run) {
    this.run = run;
    this.workload = workload;
    this.target = target;
    this.user = user;
    this.database = database;
  }

  @Override
  public void connect(EventLoop loop, Consumer<LoadClient> ready) {
    PgClient.connect(
        loop,
        target,
        user,
        database,
        c -> {
          var client = new One(c);
          if (workload.front() != Workload.Front.PREPARED || c.gone()) {
            ready.accept(client);
            return;
          }
          var steps = new ArrayList<byte[]>();
          for (int i = 0; i < workload.kinds().size(); i++) {
            steps.add(
                Frame.join(
                    List.of(
                        Frame.body()
                            .text("k" + i)
                            .text(
                                workload
                                    .kinds()
                                    .get(i)
                                    .sql()
                                    .replace("$n", "$1")
                                    .replace("$s", "$2"))
                            .int16(0)
                            .as('P'),
                        Frame.body().as('S'))));
          }
          c.play(steps, o -> ready.accept(client));
        });
  }

  private final class One implements LoadClient {
    final PgClient client;

    One(PgClient client) {
      this.client = client;
    }

    @Override
    public boolean gone() {
      return client.gone();
    }

    @Override
    public void ask(
        Asked a, double left, double mustSee, java.util.function.BiConsumer<Outcome, String> told) {
      client.play(
          List.of(bytes(a, left, mustSee)),
          o ->
              told.accept(
                  o.good()
                      ? Outcome.OK
                      : "53300".equals(o.code()) || "57P03".equals(o.code())
                          ? Outcome.REFUSED
                          : Outcome.FAILED,
                  o.value()));
    }

    @Override
    public void close() {
      client.close();
    }
  }

  private byte[] bytes(Asked a, double left, double mustSee) {
    Workload.Kind kind = workload.kinds().get(a.kind());
    if (workload.front() == Workload.Front.PREPARED) {
      byte[] number = Long.toString(a.number()).getBytes(StandardCharsets.US_ASCII);
      byte[] session = ("s" + a.session()).getBytes(StandardCharsets.US_ASCII);
      boolean two = kind.sql().contains("$s");
      Frame.Body b =
          Frame.body()
              .text("")
              .text("k" + a.kind())
              .int16(0)
              .int16(two ? 2 : 1)
              .int32(number.length)
              .bytes(number);
      if (two) {
        b.int32(session.length).bytes(session);
      }
      byte[] bind = b.int16(0).as('B').wire();
      byte[] all = java.util.Arrays.copyOf(bind, bind.length + EXECUTE.length);
      System.arraycopy(EXECUTE, 0, all, bind.length, EXECUTE.length);
      return all;
    }
    String sql =
        kind.sql().replace("$n", Long.toString(a.number())).replace("$s", "s" + a.session());
    if (workload.front() == Workload.Front.PLATFORM) {
      long d = Math.max(1, Math.round(kind.giveUp() - (left - a.at())));
      boolean sees = kind.check() == Workload.Check.SESSION && mustSee > 0;
      sql =
          "/* id="
              + run
              + "."
              + a.number()
              + ",c="
              + kind.name()
              + ",d="
              + d
              + ",cluster="
              + a.group()
              + (sees ? ",after=" + (long) Math.ceil(mustSee) : "")
              + " */ "
              + sql;
    }
    return Frame.query(sql).wire();
  }
}
