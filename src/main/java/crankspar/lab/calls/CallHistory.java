package crankspar.lab.calls;

import java.util.ArrayList;
import java.util.List;

/**
 * What operators asked two poolers for, what these sent, and when the link between them was cut. It
 * tells what breaks the rule: a yes to a disable holds until an enable that was made knowing of it.
 * All times are ms of one clock.
 */
final class CallHistory {
  /** What an operator asks for. */
  enum Kind {
    DISABLE,
    ENABLE
  }

  /** One call; it may have taken effect without a yes. */
  record Call(int pooler, String member, Kind kind, double began, double ended, boolean accepted) {}

  /** One request that a member was sent. */
  record Sent(int pooler, String member, double at) {}

  /** A time in which nothing passed between the poolers. */
  record Cut(double from, double until) {}

  /** After a yes, 250 ms and what sockets may take (ms). */
  private static final double GRACE_MS = 300;

  private final List<Call> calls = new ArrayList<>();
  private final List<Cut> cuts = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();

  synchronized void add(Call call) {
    calls.add(call);
  }

  synchronized void add(Cut cut) {
    cuts.add(cut);
  }

  synchronized void add(Sent request) {
    sent.add(request);
  }

  /** Requests that came after a yes that still held; empty where the rule was kept. */
  synchronized List<String> broken() {
    var broken = new ArrayList<String>();
    for (Call disable : calls) {
      if (disable.kind() == Kind.DISABLE && disable.accepted()) {
        sent.stream()
            .filter(request -> breaks(request, disable))
            .findFirst()
            .ifPresent(request -> broken.add(request + " after " + disable));
      }
    }
    return broken;
  }

  private boolean breaks(Sent request, Call disable) {
    return request.pooler() == disable.pooler()
        && request.member().equals(disable.member())
        && request.at() > disable.ended() + GRACE_MS
        && calls.stream().noneMatch(c -> c.began() <= request.at() && mayKnow(c, disable));
  }

  /** Whether an enable may have been made knowing of a disable. */
  private boolean mayKnow(Call enable, Call disable) {
    return enable.kind() == Kind.ENABLE
        && enable.member().equals(disable.member())
        && enable.ended() > disable.began()
        && (enable.pooler() == disable.pooler()
            || cuts.stream()
                .noneMatch(c -> c.from() <= disable.began() && c.until() >= enable.ended()));
  }

  /** Whether a member has to be out at both poolers once they have heard each other. */
  synchronized boolean mustBeOut(String member) {
    return calls.stream()
        .anyMatch(
            d ->
                d.kind() == Kind.DISABLE
                    && d.accepted()
                    && d.member().equals(member)
                    && calls.stream().noneMatch(e -> mayKnow(e, d)));
  }

  /** Whether each disable, with a yes or without, was taken back at the same pooler later. */
  synchronized boolean mustBeBack(String member) {
    return calls.stream()
        .filter(d -> d.kind() == Kind.DISABLE && d.member().equals(member))
        .allMatch(d -> calls.stream().anyMatch(e -> takesBack(e, d)));
  }

  private static boolean takesBack(Call enable, Call disable) {
    return enable.kind() == Kind.ENABLE
        && enable.accepted()
        && enable.member().equals(disable.member())
        && enable.pooler() == disable.pooler()
        && enable.began() >= disable.ended();
  }

  /** Requests that a pooler has sent to a member since then. */
  synchronized long sentSince(int pooler, String member, double since) {
    return sent.stream()
        .filter(s -> s.pooler() == pooler && s.member().equals(member) && s.at() >= since)
        .count();
  }

  /** Calls that were told yes. */
  synchronized long accepted() {
    return calls.stream().filter(Call::accepted).count();
  }

  @Override
  public synchronized String toString() {
    return calls + ", " + cuts;
  }
}
