package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.audit.Asked;
import crankspar.audit.Findings;
import crankspar.lab.LabSettings;
import crankspar.lab.load.Checker;
import crankspar.lab.load.Generator;
import crankspar.lab.load.Recorder;
import crankspar.lab.load.Silent;
import crankspar.lab.load.Workload;
import crankspar.lab.rig.Scenario.Fault;
import crankspar.lab.rig.Scenario.Step;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Plays a scenario once: starts the rig, sends the load to all poolers alike, does what the timeline says, and checks the rules. */
public final class Play {
    /** What came of it. Seconds count from the load's begin; {@code kept} are the folders that were left. */
    public record Outcome(Scenario scenario, List<Recorder> byPooler, Recorder all, List<String> broken, Map<String, Long> counts, List<Path> kept) {
        public boolean good() { return broken.isEmpty(); }

        public double served() { return all.sent() == 0 ? 0 : all.count(Recorder.Outcome.OK) / (double) all.sent(); }
    }

    private static final double GRACE = 4000;

    private final Scenario scenario;
    private final Rig rig;
    private final List<Rules.Drain> drains = new ArrayList<>();
    private final List<Rules.Cold> returns = new ArrayList<>();
    private final boolean[] excused;
    private final List<String> failed = new ArrayList<>();

    private Play(Scenario scenario, Rig rig) {
        this.scenario = scenario;
        this.rig = rig;
        excused = new boolean[scenario.parties().poolers()];
    }

    /** {@code keep} leaves logs and ledgers. */
    public static Outcome play(Scenario scenario, boolean keep) throws IOException, InterruptedException {
        var rig = new Rig(scenario.parties(), scenario.seed());
        var play = new Play(scenario, rig);
        var hook = new Thread(() -> {
            try {
                rig.close();
            } catch (IOException e) {
                // ending anyway
            }
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            Outcome o = play.run();
            if (keep) {
                return new Outcome(o.scenario(), o.byPooler(), o.all(), o.broken(), o.counts(), rig.keep());
            }
            return o;
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // it is ending already
            }
            if (!keep) {
                rig.close();
            }
        }
    }

    private Outcome run() throws IOException, InterruptedException {
        rig.start();
        int n = scenario.parties().poolers();
        Workload w = scenario.load();
        var generators = new ArrayList<Generator>();
        var threads = new ArrayList<Thread>();
        try {
            for (int i = 0; i < n; i++) {
                var share = new Workload(w.kinds(), w.shapes(), w.even(), w.sessions(), scenario.parties().groups(), w.duration(), w.seed() + scenario.seed() * 1000 + i,
                        Workload.Front.PLATFORM, w.connections(), w.lateMost(), w.lateShare());
                Generator g = Generator.platform(share, rig.fromClients(i).address(), "p" + i);
                generators.add(g);
                threads.add(new Thread(() -> {
                    try {
                        g.run(Math.min(16, w.connections()), GRACE);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }, "load-p" + i));
            }
            double begin = rig.now();
            threads.forEach(Thread::start);
            timeline(begin);
            for (Thread t : threads) {
                t.join();
            }
            return outcome(generators);
        } finally {
            generators.forEach(Generator::close);
        }
    }

    // ---- What goes wrong, on this thread: processes are signalled and started here.
    private record Due(double at, Step step, boolean back) { }

    private void timeline(double begin) throws IOException, InterruptedException {
        var due = new ArrayList<Due>();
        for (Step s : scenario.steps()) {
            due.add(new Due(s.at(), s, false));
            if (s.lasts() > 0) {
                due.add(new Due(s.at() + s.lasts(), s, true));
            }
        }
        due.sort(java.util.Comparator.comparingDouble(Due::at));
        for (Due d : due) {
            double wait = begin + d.at() - rig.now();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (wait * 1000));
            }
            act(d.step(), d.back());
        }
    }

    private void act(Step s, boolean back) throws IOException, InterruptedException {
        if (s.fault().ordinal() >= Fault.CRASH.ordinal()) {
            for (String id : s.who()) {
                database(s, id, back);
            }
        } else if (s.fault().ordinal() >= Fault.DISCOVERY_DOWN.ordinal()) {
            discovery(s, back);
        } else {
            List<Integer> poolers = Scenario.poolers(s, scenario.parties().poolers());
            for (int p : poolers) {
                if (s.fault().ordinal() >= Fault.LOSE.ordinal()) {
                    datagrams(s, p, back);
                } else if (s.fault().ordinal() >= Fault.CUT.ordinal()) {
                    for (Link l : links(s, p)) {
                        link(s, l, back);
                    }
                    excused[p] |= s.link().equals("clients");
                }
            }
            if (s.fault().ordinal() < Fault.CUT.ordinal()) {
                processes(s, poolers, back);
            }
        }
    }

    private void processes(Step s, List<Integer> poolers, boolean back) throws IOException, InterruptedException {
        for (int p : poolers) {
            excused[p] |= s.fault() != Fault.CONFIGURE && s.fault() != Fault.CONTINUE;
            PlatformProcess process = rig.pooler(p);
            switch (s.fault()) {
                case KILL -> {
                    if (!back) {
                        process.kill();
                    }
                }
                case STOP -> process.signal(back ? "CONT" : "STOP");
                case CONTINUE -> process.signal("CONT");
                case TERMINATE -> process.signal("TERM");
                case CONFIGURE -> {
                    process.configure(back ? rig.configuration(p) : rig.configuration(p).replace("\"RampTime\":15000", "\"RampTime\":14000"));
                    process.signal("HUP");
                }
                default -> { }
            }
        }
        if (s.fault() == Fault.START || s.fault() == Fault.KILL && back) { // all at once, as after a release
            var starts = new ArrayList<Thread>();
            for (int p : poolers) {
                PlatformProcess process = rig.pooler(p);
                if (!s.how().isEmpty()) {
                    process.jar(Path.of(s.how()));
                }
                var t = new Thread(() -> {
                    try {
                        process.start();
                    } catch (IOException | InterruptedException e) {
                        synchronized (failed) {
                            failed.add("start: " + e.getMessage());
                        }
                    }
                });
                t.start();
                starts.add(t);
            }
            for (Thread t : starts) {
                t.join();
            }
        }
    }

    private List<Link> links(Step s, int p) {
        return switch (s.link()) {
            case "database" -> rig.databases().stream().filter(id -> s.how().isEmpty() || List.of(s.how().split("\\|")).contains(id)).map(id -> rig.toDatabase(p, id)).toList();
            case "clients" -> List.of(rig.fromClients(p));
            default -> List.of(rig.toDiscovery(p));
        };
    }

    private static void link(Step s, Link l, boolean back) {
        Link.Travel slow = new Link.Travel(false, 0, Math.max(1, s.factor()));
        Link.Travel late = new Link.Travel(false, s.factor(), Double.POSITIVE_INFINITY);
        switch (s.fault()) {
            case CUT -> l.cut(!back);
            case STALL_THERE -> l.travel(Link.Way.THERE, back ? Link.Travel.FREE : Link.Travel.STALLED);
            case STALL_BACK -> l.travel(Link.Way.BACK, back ? Link.Travel.FREE : Link.Travel.STALLED);
            case DELAY, SLOW_LINK -> {
                for (Link.Way way : Link.Way.values()) {
                    l.travel(way, back ? Link.Travel.FREE : s.fault() == Fault.DELAY ? late : slow);
                }
            }
            case RESET -> {
                if (!back) {
                    l.reset();
                }
            }
            case REFUSE -> {
                l.refuse(!back);
                if (!back) {
                    l.reset();
                }
            }
            default -> {
                l.refuse(false);
                l.cut(false);
            }
        }
    }

    private void datagrams(Step s, int p, boolean back) {
        DatagramNet.Travel usual = DatagramNet.Travel.USUAL;
        DatagramNet.Travel how = back || s.fault() == Fault.HEAR ? usual : switch (s.fault()) {
            case LOSE -> new DatagramNet.Travel(Math.min(1, s.factor()), 0, usual.delayLeast(), usual.delayMost());
            case DOUBLE -> new DatagramNet.Travel(0, Math.min(1, s.factor()), usual.delayLeast(), usual.delayMost());
            case LATE_DATAGRAMS -> new DatagramNet.Travel(0, 0, s.factor(), s.factor() + usual.delayMost());
            default -> DatagramNet.Travel.CUT;
        };
        for (int other = 0; other < scenario.parties().poolers(); other++) {
            if (s.fault() != Fault.PART || other % 2 != p % 2) {
                rig.datagrams().travel(p, other, how);
                rig.datagrams().travel(other, p, how);
            }
        }
    }

    private void discovery(Step s, boolean back) {
        switch (s.fault()) {
            case DISCOVERY_DOWN -> rig.discovery().down(!back);
            case DISCOVERY_UP -> rig.discovery().down(false);
            case OVERBOOK -> rig.discovery().capacity(back ? scenario.parties().discoveryEach() : s.factor(), scenario.parties().discoveryMost());
            case LATE_LISTS -> rig.discovery().late(back ? 0 : s.factor());
            case OLD_LIST -> rig.discovery().old(!back);
            default -> {
                if (!back) {
                    rig.discovery().renumber();
                }
            }
        }
    }

    private void database(Step s, String id, boolean back) {
        double ramp = 15_000;
        double cold = 4;                      // the brief's: it starts at 23 % of its capacity at least
        switch (s.fault()) {
            case CRASH -> {
                if (back) {
                    comeBack(id, cold, ramp);
                } else {
                    rig.crash(id);
                }
            }
            case RETURN -> comeBack(id, cold, ramp);
            case DRAIN -> drain(id, !back);
            case UNDRAIN -> drain(id, false);
            case SLOW -> rig.slow(id, back ? 1 : s.factor());
            default -> {
                if (!back) {
                    rig.handOver(id, s.factor());
                }
            }
        }
    }

    private void comeBack(String id, double factor, double ramp) {
        var rules = LabSettings.platform(scenario.parties().poolers()).guarantees();
        returns.add(new Rules.Cold(id, rig.now(),
                new ColdStartRule(1 / factor, rules.fallMultiple(), rules.fall(), ramp, scenario.parties().cores(), workMs())));
        rig.comeBack(id, factor, ramp);
    }

    private double workMs() { return Math.max(0.01, scenario.parties().work()); }

    private void drain(String id, boolean on) {
        double now = rig.now();
        drains.replaceAll(d -> d.database().equals(id) && d.until() == Double.POSITIVE_INFINITY ? new Rules.Drain(id, d.decided(), now, d.told()) : d);
        if (on) {
            drains.add(new Rules.Drain(id, now, Double.POSITIVE_INFINITY, new LinkedHashMap<>()));
        }
        rig.discovery().health(id, on ? Health.DRAINING : Health.RUNNING);
    }

    /** What a pooler's audit tells, or null where it has none. */
    private Findings.View view(int pooler) {
        try {
            return new Asked().view(rig.calls(pooler));
        } catch (Asked.Mute e) {
            return null;
        }
    }

    private static String touched(String id, Findings.View view) {
        return view == null ? "no audit" : Findings.request(List.of(view), id).stream()
                .map(e -> e.getValue().kind() + " " + e.getValue().database() + " at " + Math.round(e.getValue().at())).toList().toString();
    }

    // ---- What came of it.
    private Outcome outcome(List<Generator> generators) throws InterruptedException {
        var by = new ArrayList<Recorder>();
        var all = new Recorder(scenario.load().kinds().stream().map(Workload.Kind::name).toList(), scenario.load().lateMost());
        var asked = new ArrayList<Rules.Asked>();
        long stale = 0;
        long unseen = 0;
        var words = new ArrayList<String>();
        for (int i = 0; i < generators.size(); i++) {
            Recorder r = generators.get(i).result(true);
            by.add(r);
            all.add(r);
            asked.add(new Rules.Asked("p" + i, r.count(Recorder.Outcome.UNANSWERED) - r.unsent(), excused[i]));
            for (Checker c : generators.get(i).checkers()) {
                stale += c.stale();
                unseen += c.unseen();
                words.addAll(c.words());
            }
        }
        var pooler = new LinkedHashMap<String, String>();
        for (int i = 0; i < scenario.parties().poolers(); i++) {
            pooler.put(rig.caller(i), "p" + i);
        }
        for (DiscoveryStandIn.Written w : rig.discovery().written()) {
            for (Rules.Drain d : drains) {
                if (w.member().equals(d.database()) && w.health() == Health.DRAINING && w.at() >= d.decided() - 1 && w.at() < d.until()) {
                    d.told().merge(pooler.getOrDefault(w.caller(), w.caller()), w.at(), Math::min);
                }
            }
        }
        var executed = rig.recording().executed();
        var rules = new Rules().answers(asked).once(executed).drains(drains, executed).cold(returns, executed, e -> workMs()).fresh(stale, unseen, words);
        var broken = new ArrayList<>(rules.broken());
        for (int i = 0; i < generators.size(); i++) {
            Findings.View view = excused[i] || generators.get(i).silent().isEmpty() ? null : view(i);
            for (Silent q : excused[i] ? List.<Silent>of() : generators.get(i).silent()) {
                broken.add("    p" + i + "." + q.number() + " left " + Math.round(q.late()) + " ms late and waited " + Math.round(q.waited()) + " ms: " + touched("p" + i + "." + q.number(), view));
            }
        }
        broken.addAll(failed);
        return new Outcome(scenario, by, all, broken, rules.counts(), List.of());
    }
}
