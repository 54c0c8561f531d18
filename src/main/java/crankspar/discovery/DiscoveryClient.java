package crankspar.discovery;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * When discovery is called: stepped with what happened, it says which calls to open and to drop,
 * and when the module is to hear that it has no watch. It knows no socket and no clock; times are
 * ms.
 *
 * <p>The list's clock, by the operators' page: a watch that has fallen silent is broken, and what
 * it misses counts as told 6 s later whether or not it came. An empty line comes every 2 s, so that
 * a silence is noticed 2.5 s after it began at most. The module's wait follows (0.75 s), and a call
 * that is not answered either has another beside it each {@link #HASTE} then: two of them fit
 * before the 6 s are over. A call that waits in line keeps its place meanwhile, {@link #LINGER} of
 * them at most.
 *
 * <p>Where lists are pushed, what the agent has counts at once, at its return from an outage as
 * well. So one call stands at all times, and one that is not answered has another beside it after
 * half of the time that the drain rule leaves; the agent is this machine's own, so that nothing
 * needs to be spread.
 */
final class DiscoveryClient {
  /** No word for this long (ms) and a watch is broken: an empty line is due each 2 s. */
  static final double SILENT = 2500;

  /** A connection that takes longer to come up (ms) is a cut link's. */
  static final double DIAL = 1000;

  /** An unanswered call after a watch that fell silent has another beside it after this (ms) ... */
  static final double HASTE = 1200;

  /** ... so often; then the module's longer waits hold again. */
  static final int HASTES = 4;

  /** Calls without a word that are kept beside the newest. */
  static final int LINGER = 2;

  /** The first wait (ms) after a pushed list's call has ended, doubled to the haste. */
  static final double AGAIN = 50;

  private static final double HASTE_LEAST = 100;

  sealed interface Event {
    /** The module wants a watch, or none; heard only where lists are asked for. */
    record Wanted(boolean on) implements Event {}

    /** One answer is wanted, and no watch; nothing where a call stands. */
    record Once() implements Event {}

    /** Discovery is elsewhere from now on. */
    record Moved() implements Event {}

    /** A whole list or an empty line has come on this call. */
    record Word(int call) implements Event {}

    /** This call's connection is up. */
    record Up(int call) implements Event {}

    /** Something has come on this call that is not whole yet. */
    record Begun(int call) implements Event {}

    /** This call has ended by itself, or what came was no list. */
    record Ended(int call) implements Event {}

    /** Time has gone by. */
    record Look() implements Event {}
  }

  sealed interface Effect {
    record Open(int call) implements Effect {}

    record Drop(int call) implements Effect {}

    /** The module has no watch any more; when to call again is its to say. */
    record Lost(String why) implements Effect {}
  }

  private static final class Call {
    final int number;
    final boolean once;
    double since; // its last word, or its first byte of one, or its opening
    boolean up, told, begun, former;

    Call(int number, boolean once, double now) {
      this.number = number;
      this.once = once;
      since = now;
    }
  }

  private final boolean pushed;
  private final double haste;

  /**
   * The newest last. What has told is alone, but for the one at the address that discovery has
   * left.
   */
  private final List<Call> calls = new ArrayList<>();

  private final List<Effect> effects = new ArrayList<>();
  private int opened, hastes;
  private boolean lost; // the module knows that it has no watch, and will say when to call
  private double again, openAt = Double.POSITIVE_INFINITY;

  /**
   * {@code grace} is how long the rules let new work reach a member after it was told to drain
   * (ms).
   */
  DiscoveryClient(boolean pushed, double grace) {
    this.pushed = pushed;
    haste = pushed ? Math.max(HASTE_LEAST, Math.min(HASTE, grace / 2)) : HASTE;
    again = Math.min(AGAIN, haste);
  }

  List<Effect> step(double now, Event event) {
    effects.clear();
    if (event instanceof Event.Wanted e) {
      wanted(e.on(), now);
    } else if (event instanceof Event.Once) {
      if (calls.stream().allMatch(c -> c.former || c.since == Double.POSITIVE_INFINITY)) {
        open(!pushed, now);
      }
    } else if (event instanceof Event.Moved) {
      moved(now);
    } else if (event instanceof Event.Word e) {
      word(find(e.call()), now);
    } else if (event instanceof Event.Up e) {
      Call c = find(e.call());
      if (c != null && !c.up) {
        c.up = true;
        c.since = Math.max(c.since, now);
      }
    } else if (event instanceof Event.Begun e) {
      Call c = find(e.call());
      if (c != null && !c.begun) { // once: bytes that come and never end are a silence too
        c.begun = true;
        c.since =
            c.told
                ? now
                : c.since; // a first answer that breaks off has its one patience only, and is heard
        // on beside the next
      }
    } else if (event instanceof Event.Ended e) {
      ended(find(e.call()), now);
    }
    look(now);
    return List.copyOf(effects);
  }

  /**
   * When it wants to be stepped with {@link Event.Look} at the latest; infinite where nothing is
   * due.
   */
  double next() {
    double next = openAt;
    for (Call c : calls) {
      next = Math.min(next, due(c));
    }
    return next;
  }

  /** The call that is a watch and has told something, or -1. */
  int standing() {
    return calls.stream()
        .filter(c -> c.told && !c.former && !c.once)
        .mapToInt(c -> c.number)
        .findFirst()
        .orElse(-1);
  }

  private double due(Call c) {
    boolean newest = c == calls.get(calls.size() - 1);
    double patience = pushed || hastes > 0 ? haste : c.up ? SILENT : DIAL;
    return c.told || c.former
        ? c.since + SILENT
        : newest ? c.since + patience : Double.POSITIVE_INFINITY;
  }

  private Call find(int number) {
    return calls.stream().filter(c -> c.number == number).findFirst().orElse(null);
  }

  private void open(boolean once, double now) {
    openAt = Double.POSITIVE_INFINITY;
    long waiting = calls.stream().filter(c -> !c.told && !c.former).count();
    for (Iterator<Call> i = calls.iterator(); waiting > LINGER && i.hasNext(); ) {
      Call c = i.next();
      if (!c.told && !c.former) {
        i.remove();
        effects.add(new Effect.Drop(c.number));
        waiting--;
      }
    }
    var c = new Call(++opened, once, now);
    calls.add(c);
    effects.add(new Effect.Open(c.number));
  }

  private void dropIf(Predicate<Call> which) {
    calls.removeIf(
        c -> {
          if (which.test(c)) {
            effects.add(new Effect.Drop(c.number));
            return true;
          }
          return false;
        });
  }

  private void wanted(boolean on, double now) {
    if (on ? standing() >= 0 : pushed) {
      return; // what an agent has counts as told, wanted or not
    }
    lost = false;
    dropIf(c -> !on || c.told && !c.former);
    if (on) {
      open(false, now);
    }
  }

  private void moved(double now) {
    boolean any = !calls.isEmpty() || openAt < Double.POSITIVE_INFINITY;
    dropIf(c -> !c.told || c.former);
    calls.forEach(
        c -> c.former = true); // heard on until the new address has spoken: there is no gap
    if (any || pushed) {
      open(false, now);
    }
  }

  private void word(Call c, double now) {
    if (c == null) {
      return;
    }
    c.since = now;
    c.begun = false;
    if (c.former) {
      return;
    }
    if (c.once) { // what it brought is all that was asked of it; a watch on its way stays
      dropIf(o -> o == c);
      return;
    }
    c.told = true;
    lost = false;
    hastes = 0;
    again = Math.min(AGAIN, haste);
    openAt = Double.POSITIVE_INFINITY;
    dropIf(o -> o != c);
  }

  private void ended(Call c, double now) {
    if (c == null) {
      return;
    }
    calls.remove(c);
    // One that only keeps its place in line is no watch: with a silent one beside it a failed call
    // was nobody's news, for ever.
    if (c.former
        || calls.stream()
            .anyMatch(o -> !o.former && !o.once && o.since < Double.POSITIVE_INFINITY)) {
      return;
    }
    if (!pushed) {
      lost("ended");
    } else if (openAt == Double.POSITIVE_INFINITY) {
      openAt = now + again;
      again = Math.min(2 * again, haste);
    }
  }

  private void lost(String why) {
    if (!lost) {
      lost = true;
      effects.add(new Effect.Lost(why));
    }
  }

  private void look(double now) {
    if (now >= openAt) {
      open(false, now);
    }
    for (Call c : List.copyOf(calls)) {
      if (!calls.contains(c) || now < due(c)) {
        continue;
      }
      if (c.told || c.former) {
        calls.remove(c);
        effects.add(new Effect.Drop(c.number));
        if (!c.former && pushed) {
          open(false, now);
        } else if (!c.former) {
          hastes = HASTES;
          lost("silent for " + Math.round(now - c.since) + " ms");
        }
      } else if (pushed || hastes > 1) {
        hastes -= pushed ? 0 : 1;
        open(c.once, now);
      } else {
        hastes = 0;
        c.since = Double.POSITIVE_INFINITY; // it keeps its place in line
        lost("unanswered");
      }
    }
  }
}
