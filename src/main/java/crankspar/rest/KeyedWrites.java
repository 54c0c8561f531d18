package crankspar.rest;

import crankspar.core.Counters;
import crankspar.core.FinalAnswer;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.rest.IdempotencyKeys.State;
import crankspar.wal.LogWriter.Result;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes with an idempotency key. A key is logged before its write is sent, and an answer before it
 * is told, so that no restart lets a write run twice; see {@link KeyLog}. On the loop.
 */
final class KeyedWrites {
  /**
   * A write as it came.
   *
   * @param key its idempotency key, told apart by class and group
   * @param client the session that it names, or null
   * @param deadline ms of the loop's clock
   */
  record Write(
      RestSession session,
      int requestClass,
      double deadline,
      String client,
      RestQuery query,
      String key,
      KeyDigest digest) {}

  /** How long a key waits for the log (ms), and which part of its write's time left. */
  private static final double LOG_MOST_MS = 800;

  private static final double LOG_SHARE = 0.5;

  /** How long after its deadline an answer may still wait for the log (ms). */
  private static final double LATE_MOST_MS = 150;

  /** How long a refusal waits until its key is free for other processes too (ms). */
  private static final double RELEASE_MOST_MS = 100;

  private final Ports.Time time;
  private final Counters counters;
  private final Pooler<RestQuery, RestAnswer> pooler;
  private final KeyLog log;
  private final IdempotencyKeys keys;
  private final double retryIn;

  /** The requests of writes that the core has, by their sessions. */
  private final Map<RestSession, String> requests = new HashMap<>();

  /** {@code retryIn} is what a client is told that finds no room (ms). */
  KeyedWrites(
      Ports.Time time,
      Counters counters,
      Pooler<RestQuery, RestAnswer> pooler,
      KeyLog log,
      double retryIn) {
    this.time = time;
    this.counters = counters;
    this.pooler = pooler;
    this.log = log;
    keys = log.keys();
    this.retryIn = retryIn;
  }

  /** Answers it by its key, or sends it; its session hears the answer once. */
  void take(Write write) {
    State state = keys.begin(write.key(), write.digest(), keyTime());
    if (state instanceof State.New && log.damaged(time.now())) {
      keys.release(write.key());
      notKept(write, "the log of keys is damaged, and this one may have been lost");
    } else if (state instanceof State.New) {
      log.begun(write.key(), write.digest(), logWait(write), result -> logged(write, result));
    } else if (keys.isElsewhere(write.key())) {
      log.look(logWait(write), result -> looked(write));
    } else {
      repeat(write, state);
    }
  }

  private double keyTime() {
    return log.time(time.now());
  }

  private double logWait(Write write) {
    return Math.min(LOG_MOST_MS, LOG_SHARE * Math.max(0, write.deadline() - time.now()));
  }

  /** Another process may have told more of the key, or freed it. */
  private void looked(Write write) {
    State state = keys.state(write.key(), write.digest());
    if (state instanceof State.New) {
      take(write);
    } else {
      repeat(write, state);
    }
  }

  private void repeat(Write write, State state) {
    if (state instanceof State.Answered answered) {
      counters.add("claims_repeated");
      write.session().answer(answered.response());
    } else if (state instanceof State.Unknown) {
      counters.add("claims_unknown_repeated");
      write.session().answer(RestWords.unknownBefore());
    } else if (state instanceof State.Other) {
      counters.add("client_bad_requests");
      write.session().answer(RestWords.otherContent(write.query().idempotencyKey()));
    } else if (state instanceof State.Running) {
      counters.add("client_bad_requests");
      write.session().answer(RestWords.inProgress(write.query().idempotencyKey()));
    } else {
      write.session().answer(RestWords.refused(retryIn));
    }
  }

  private void logged(Write write, Result result) {
    if (result instanceof Result.NotWritten n) {
      notKept(write, n.reason());
      if (n.attempted()) { // the log may hold it all the same
        log.released(write.key(), released -> keys.release(write.key()));
      } else {
        keys.release(write.key());
      }
    } else if (keys.kept(write.key())) {
      send(write);
    } else { // another process was first
      repeat(write, keys.state(write.key(), write.digest()));
    }
  }

  private void notKept(Write write, String why) {
    counters.add("claims_not_kept");
    write.session().answer(RestWords.notKept(why));
  }

  private void send(Write write) {
    if (!write.session().present()) {
      log.released(write.key(), released -> keys.release(write.key()));
      return;
    }
    var answered = new boolean[1];
    var ask =
        new Ports.ClientRequest<>(
            write.requestClass(),
            write.deadline(),
            write.client(),
            Double.NaN,
            write.query().group(),
            write.query());
    String request =
        pooler.submit(
            ask,
            RestReply.kept(
                pooler,
                write.session(),
                answer -> {
                  answered[0] = true;
                  requests.remove(write.session());
                  ended(write, answer);
                }));
    if (!answered[0]) {
      requests.put(write.session(), request);
    }
  }

  private void ended(Write write, FinalAnswer<RestAnswer> answer) {
    byte[] response = RestWords.answer(answer, write.query(), Double.NaN);
    if (answer instanceof FinalAnswer.Served) {
      served(write, response);
    } else if (answer instanceof FinalAnswer.Failed<RestAnswer> f && f.mayHaveRun()) {
      keys.unknown(write.key(), keyTime()); // as the log has it: begun, and no answer
      write.session().answer(response);
    } else {
      notRun(write, response);
    }
  }

  private void served(Write write, byte[] response) {
    Consumer<byte[]> tell = once(write.session());
    log.answered(
        write.key(),
        response,
        result -> {
          if (result instanceof Result.Written) {
            keys.answered(write.key(), response, keyTime());
            tell.accept(response);
          } else {
            keys.unknown(write.key(), keyTime());
            tell.accept(RestWords.unknown());
          }
        });
    tellBy(lastMoment(write) + LATE_MOST_MS, tell, RestWords.unknown());
  }

  private void notRun(Write write, byte[] response) {
    Consumer<byte[]> tell = once(write.session());
    log.released(
        write.key(),
        result -> {
          keys.release(write.key());
          tell.accept(response);
        });
    tellBy(Math.min(lastMoment(write), time.now() + RELEASE_MOST_MS), tell, response);
  }

  /** Its deadline, or when this process has to have answered all if that is earlier. */
  private double lastMoment(Write write) {
    return Math.min(write.deadline(), pooler.shutdownDeadline());
  }

  private void tellBy(double moment, Consumer<byte[]> tell, byte[] response) {
    time.after(moment - time.now(), () -> tell.accept(response));
  }

  private static Consumer<byte[]> once(RestSession session) {
    var told = new boolean[1];
    return response -> {
      if (!told[0]) {
        told[0] = true;
        session.answer(response);
      }
    };
  }

  /**
   * Its client has left. What is out goes on: its answer is recorded for the key's repeat; it is
   * sent no further.
   */
  void left(RestSession session) {
    String request = requests.remove(session);
    if (request != null) {
      pooler.clientLeftKeepingAnswer(request);
    }
  }
}
