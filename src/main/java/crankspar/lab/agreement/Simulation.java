package crankspar.lab.agreement;

import crankspar.store.agreed.Book;
import crankspar.store.agreed.Command;
import crankspar.store.agreed.Result;
import crankspar.store.raft.BookMachine;
import crankspar.store.raft.Tail;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Members of the store under faults, on one seed: messages late, lost or doubled, members killed at any moment and started
 * from their disks, ways cut in one direction or both, disks full. Clients write, swap and read; one that got no answer asks
 * again under the same number, elsewhere. In the end all faults are taken away, and the history of each key must be
 * linearizable, no write done twice, and all books the same.
 */
public final class Simulation {
    /** What is played: {@code spoil} takes a guard away, so that the checks must find it. */
    public record Play(long seed, int members, int clients, double lasts, Spoil spoil) { }

    public enum Spoil { NOTHING, DISK, REPEATS, STALE_READS, TAILS }

    /** What came of it; {@code broken} is null where all held. */
    public record Outcome(String broken, long answered, long unanswered, long kills, long cuts, long messages, long revisions) { }

    private record Event(double at, long order, Runnable what) { }

    private record Name(String id) implements RaftEndpoint {
        @Override public Object getId() { return id; }
    }

    private static final int KEYS = 3;
    private static final double CALL_MOST = 3000;
    private static final double LOSS = 0.02;
    private static final double DOUBLED = 0.02;

    private final Play play;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<Member> members = new ArrayList<>();
    private final Set<String> cut = new HashSet<>();
    private final KeyHistory history = new KeyHistory();
    private double now;
    private long order, messages, kills, cuts, answered, unanswered, writes;
    private boolean calm;
    private String fault;

    private Simulation(Play play) {
        this.play = play;
        random = new Random(play.seed());
    }

    private void at(double delay, Runnable what) { events.add(new Event(now + delay, order++, what)); }

    // ---- A member with its machine.
    private final class Member {
        final Name name;
        final ModelDisk disk = new ModelDisk(play.spoil() == Spoil.DISK);
        RaftNode node;
        BookMachine machine;
        int life;
        boolean up;

        Member(int number) { name = new Name("m" + number); }

        void start() {
            int mine = ++life;
            up = true;
            machine = new BookMachine(200);
            var config = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(500).setLeaderHeartbeatTimeoutSecs(3).setLeaderHeartbeatPeriodSecs(1)
                    .setCommitCountToTakeSnapshot(20).setTransferSnapshotsFromFollowersEnabled(false).build();
            RestoredRaftState restored = disk.restore();
            var builder = RaftNode.newBuilder().setGroupId("store").setConfig(config).setStateMachine(machine).setStore(disk)
                    .setRandom(new Random(random.nextLong())).setClock(new ModelClock()).setTransport(new Transport() {
                        @Override public void send(RaftEndpoint target, RaftMessage message) { Simulation.this.send(Member.this, target, message); }
                        @Override public boolean isReachable(RaftEndpoint endpoint) { return true; }
                    }).setExecutor(new RaftNodeExecutor() {
                        @Override public void execute(Runnable task) { schedule(task, 0, TimeUnit.MILLISECONDS); }
                        @Override public void submit(Runnable task) { schedule(task, 0, TimeUnit.MILLISECONDS); }
                        @Override public void schedule(Runnable task, long delay, TimeUnit unit) {
                            at(unit.toMicros(delay) / 1000.0, () -> {
                                if (up && life == mine) {
                                    task.run();
                                    stopIfRefused();
                                }
                            });
                        }
                    });
            if (restored != null) {
                builder.setRestoredState(restored);
            } else {
                builder.setLocalEndpoint(name).setInitialGroupMembers(members.stream().<RaftEndpoint>map(m -> m.name).toList());
            }
            node = builder.build();
            var unused = node.start();
        }

        void take(RaftMessage message) {
            Tail.Verdict v = play.spoil() != Spoil.TAILS && message instanceof AppendEntriesRequest r
                    ? Tail.judge(r, disk.term(), disk.snapshot(), disk.last(), disk::entry) : new Tail.Verdict.Pass();
            if (v instanceof Tail.Verdict.Drop d) {
                up = false;
                life++;
                try {
                    disk.flush();
                    disk.truncateLogEntriesFrom(d.from());
                    disk.flush();
                } catch (IOException e) {
                    disk.crash(random);       // full: it is tried again with the leader's next message
                }
                start();
            } else {
                node.handle(v instanceof Tail.Verdict.Shorter s ? s.request() : message);
            }
        }

        /** A member whose disk refused a write stops at once: going on, one was never brought up to date again. */
        private void stopIfRefused() {
            if (disk.refused) {
                kill();
                at(500, () -> {
                    if (!up) {
                        start();
                    }
                });
            }
        }

        void kill() {
            if (up) {
                kills++;
                up = false;
                life++;
                disk.crash(random);
            }
        }
    }

    private final class ModelClock extends Clock {
        @Override public ZoneId getZone() { return ZoneOffset.UTC; }
        @Override public Clock withZone(ZoneId zone) { return this; }
        @Override public Instant instant() { return Instant.ofEpochMilli((long) now); }
    }

    private Member member(RaftEndpoint name) { return members.stream().filter(m -> m.name.equals(name)).findFirst().orElseThrow(); }

    private void send(Member from, RaftEndpoint target, RaftMessage message) {
        messages++;
        Member to = member(target);
        for (int copies = !calm && random.nextDouble() < DOUBLED ? 2 : 1; copies > 0; copies--) {
            if (!calm && (random.nextDouble() < LOSS || cut.contains(from.name.id() + ">" + to.name.id()))) {
                continue;
            }
            int life = to.life;
            at(1 + random.nextDouble() * (random.nextInt(20) == 0 ? 300 : 10), () -> {
                if (to.up && to.life == life) {
                    to.take(message);
                }
            });
        }
    }

    // ---- Faults.
    private void trouble() {
        if (calm) {
            return;
        }
        Member m = members.get(random.nextInt(members.size()));
        switch (random.nextInt(5)) {
            case 0, 1 -> {
                m.kill();
                at(50 + random.nextDouble() * 4000, () -> {
                    if (!m.up) {
                        m.start();
                    }
                });
            }
            case 2, 3 -> {
                cuts++;
                Member other = members.get(random.nextInt(members.size()));
                String way = m.name.id() + ">" + other.name.id();
                String back = random.nextBoolean() ? other.name.id() + ">" + m.name.id() : way;
                cut.add(way);
                cut.add(back);
                at(200 + random.nextDouble() * 6000, () -> {
                    cut.remove(way);
                    cut.remove(back);
                });
            }
            default -> {
                m.disk.full = true;
                at(random.nextDouble() * 1000, () -> m.disk.full = false);
            }
        }
        at(300 + random.nextDouble() * 2500, this::trouble);
    }

    /** A member that ended itself, as its disk refused a write, is started again, as a supervisor would. */
    private void supervise() {
        for (Member m : members) {
            if (m.up && RaftNodeStatus.isTerminal(m.node.getStatus())) {
                m.kill();
                m.start();
            }
        }
        at(1000, this::supervise);
    }

    // ---- Clients.
    private final class Client {
        final String name;
        long number;

        Client(int n) { name = "c" + n; }

        void next() {
            if (calm) {
                return;
            }
            String key = "k" + random.nextInt(KEYS);
            boolean reads = random.nextInt(3) == 0;
            long revision = random.nextInt(4) == 0 ? members.stream().filter(m -> m.up && m.machine.book().get(key) != null)
                    .mapToLong(m -> m.machine.book().get(key).revision()).findFirst().orElse(0) : -1;
            var ask = reads ? new KeyHistory.Ask(key, null, -1) : new KeyHistory.Ask(key, name + "-" + (number + 1), revision);
            Command write = null;
            if (!reads) {
                writes++;
                var id = play.spoil() == Spoil.REPEATS ? Command.Id.NONE : new Command.Id(name, ++number);
                number += play.spoil() == Spoil.REPEATS ? 1 : 0;
                write = revision >= 0 ? Command.Write.swap(id, key, revision, ask.value()) : Command.Write.put(id, key, ask.value());
            }
            tries(ask, write, now, new boolean[1], 0);
        }

        /** One after the other, at members that are up, until an answer comes or its time is over: then nobody knows. */
        void tries(KeyHistory.Ask ask, Command write, double began, boolean[] over, int n) {
            if (over[0]) {
                return;
            }
            if (now - began > CALL_MOST) {
                over[0] = true;
                unanswered++;
                if (write != null) {
                    history.note(ask, began, Double.POSITIVE_INFINITY, null);
                    number += 1;              // its number stays its own: whatever comes of it, the next is another
                }
                at(random.nextDouble() * 50, this::next);
                return;
            }
            List<Member> up = members.stream().filter(m -> m.up).toList();
            if (!up.isEmpty()) {
                Member m = up.get(random.nextInt(up.size()));
                CompletableFuture<?> call = write != null ? m.node.replicate(write)
                        : m.node.query(new BookMachine.Read(ask.key()), play.spoil() == Spoil.STALE_READS ? QueryPolicy.EVENTUAL_CONSISTENCY : QueryPolicy.LINEARIZABLE,
                                Optional.empty(), Optional.empty());
                var unused = call.whenComplete((result, failure) -> {
                    if (failure == null && !over[0]) {
                        over[0] = true;
                        answered++;
                        Object answer = ((io.microraft.Ordered<?>) result).getResult();
                        if (write == null) {
                            history.note(ask, began, now, answer == null ? "" : ((Book.Value) answer).text());
                        } else if (answer instanceof Result.Done || answer instanceof Result.Unmet) {
                            history.note(ask, began, now, answer);
                        } else {
                            fault = "a write was answered " + answer;
                        }
                        at(random.nextDouble() * 50, this::next);
                    }
                });
            }
            at(100 + random.nextDouble() * 200, () -> tries(ask, write, began, over, n + 1));
        }
    }

    // ---- Judgement.
    private Outcome run() {
        for (int i = 0; i < play.members(); i++) {
            members.add(new Member(i));
        }
        members.forEach(Member::start);
        for (int i = 0; i < play.clients(); i++) {
            at(random.nextDouble() * 3000, new Client(i)::next);
        }
        at(5000, this::trouble);
        supervise();
        until(play.lasts());
        calm = true;
        cut.clear();
        members.forEach(m -> m.disk.full = false);
        members.stream().filter(m -> !m.up).forEach(Member::start);
        until(play.lasts() + 30_000);
        return new Outcome(broken(), answered, unanswered, kills, cuts, messages, newest().book().revision());
    }

    private void until(double end) {
        while (!events.isEmpty() && events.peek().at() <= end && fault == null) {
            Event e = events.poll();
            now = e.at();
            try {
                e.what().run();
            } catch (RuntimeException | AssertionError failure) {
                fault = "a member failed: " + failure;
            }
        }
        now = Math.max(now, end);
    }

    private BookMachine newest() { return members.stream().map(m -> m.machine).max(Comparator.comparingLong(BookMachine::applied)).orElseThrow(); }

    private int behind() { return (int) members.stream().filter(m -> m.machine.applied() < newest().applied()).count(); }

    private String state() {
        var text = new StringBuilder();
        for (Member m : members) {
            var report = m.node.getReport();
            until(now + 10);
            text.append(m.name.id()).append(m.up ? " up " : " down ").append(m.node.getStatus()).append(' ')
                    .append(report.isDone() && !report.isCompletedExceptionally() ? report.join().getResult().getRole() + " term " + report.join().getResult().getTerm().getTerm()
                            + " at " + report.join().getResult().getLog().getCommitIndex() + " of " + report.join().getResult().getLog().getLastLogOrSnapshotIndex() : "mute").append("; ");
        }
        return text.toString();
    }

    private String broken() {
        if (fault != null) {
            return fault;
        }
        Book newest = newest().book();
        for (Member m : members) {
            if (m.machine.applied() == newest().applied() && !m.machine.book().pages(1000).equals(newest.pages(1000))) {
                return m.name.id() + " holds another book at entry " + newest().applied() + ": " + state();
            }
        }
        if (behind() > 0) {
            return behind() + " members are behind 30 s after the last fault: " + state();
        }
        if (newest.revision() > writes) {
            return newest.revision() + " revisions by " + writes + " writes: some were done twice";
        }
        return history.broken();
    }

    /** Plays it to its end. */
    public static Outcome play(Play play) { return new Simulation(play).run(); }
}
