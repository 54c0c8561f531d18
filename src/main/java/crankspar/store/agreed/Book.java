package crankspar.store.agreed;

import crankspar.store.agreed.Command.Condition;
import crankspar.store.agreed.Command.Operation;
import crankspar.store.agreed.Result.Change;
import crankspar.store.agreed.Result.Revision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The agreed state. It does no I/O and knows no time: {@link #apply} takes the next command of the
 * one order and answers it, in time that grows with the command and the logarithm of the keys. Not
 * for several threads.
 */
public final class Book {
  static final int KEY_MOST = 200;
  static final int VALUE_MOST = 1 << 20;
  static final int OPERATIONS_MOST = 2048;
  static final int KEYS_MOST = 200_000;
  static final long CHARACTERS_MOST = 64L << 20;
  static final int CLIENTS_MOST = 4096;
  static final int LEASES_MOST = 4096;
  static final double TTL_LEAST = 500;
  static final double TTL_MOST = 600_000;

  /** Revisions and characters of history for watchers: past either the oldest is forgotten. */
  static final int HISTORY_MOST = 10_000;

  static final long HISTORY_CHARACTERS_MOST = 8L << 20;

  /** A value, the revision that wrote it last, and the lease with which it goes, or 0. */
  public record Value(String text, long revision, long lease) {}

  private record Answered(long number, Result result) {}

  private final TreeMap<String, Value> values = new TreeMap<>();
  private final ArrayDeque<Revision> history = new ArrayDeque<>();

  /** The last answer to each client; who was heard longest ago is forgotten first. */
  private final LinkedHashMap<String, Answered> answered = new LinkedHashMap<>();

  private final Leases leases = new Leases();
  private long revision, compacted, characters, historyCharacters;

  // ---- What there is.
  public long revision() {
    return revision;
  }

  /** History up to here is forgotten. */
  public long compacted() {
    return compacted;
  }

  /** Null where there is no such key. */
  public Value get(String key) {
    return values.get(key);
  }

  /** Keys that begin so, in their order. */
  public Map<String, Value> under(String prefix) {
    return values.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /**
   * The revisions after this one, oldest first, or null where some of them are forgotten: the whole
   * state is to be read then.
   */
  public List<Revision> since(long after) {
    return after < compacted ? null : history.stream().filter(r -> r.number() > after).toList();
  }

  /**
   * The leases that stand, with their counts of renewals: what whoever leads has to watch, on its
   * own clock.
   */
  public Map<Long, Command.Expire> standing() {
    var all = new TreeMap<Long, Command.Expire>();
    leases.all().stream()
        .filter(l -> l.stands)
        .forEach(l -> all.put(l.number, new Command.Expire(l.number, l.renewals)));
    return all;
  }

  /** How long a lease lasts (ms); 0 where it does not stand. */
  public double ttl(long lease) {
    Leases.Lease l = leases.standing(lease);
    return l == null ? 0 : l.ttl;
  }

  // ---- What is done.
  public Result apply(Command command) {
    if (command instanceof Command.Write c) {
      return once(c.id(), () -> write(c));
    } else if (command instanceof Command.Acquire c) {
      return once(c.id(), () -> acquire(c));
    } else if (command instanceof Command.Renew c) {
      return once(c.id(), () -> renew(c));
    } else if (command instanceof Command.Release c) {
      return once(c.id(), () -> release(c));
    } else if (command instanceof Command.Expire c) {
      Leases.Lease l = leases.standing(c.lease());
      return l != null && l.renewals == c.renewals()
          ? end(l)
          : new Result.Done(revision); // a renewal came first
    }
    forget(((Command.Compact) command).revision());
    return new Result.Done(revision);
  }

  private interface Doing {
    Result now();
  }

  /**
   * Guards against a command that is done twice, as its answer was lost: its repeat gets that
   * answer.
   */
  private Result once(Command.Id id, Doing doing) {
    if (id.number() == 0) {
      return doing.now();
    }
    if (bad(id.client())) {
      return new Result.Refused(new Refusal.BadHolder(id.client()));
    }
    Answered last = answered.remove(id.client());
    if (last != null && id.number() <= last.number()) {
      answered.put(id.client(), last);
      return id.number() == last.number()
          ? last.result()
          : new Result.Refused(new Refusal.Passed(id.number(), last.number()));
    }
    Result result = doing.now();
    answered.put(id.client(), new Answered(id.number(), result));
    if (answered.size() > CLIENTS_MOST) {
      answered.remove(answered.keySet().iterator().next());
    }
    return result;
  }

  private Result write(Command.Write w) {
    Refusal refusal = refusal(w);
    if (refusal != null) {
      return new Result.Refused(refusal);
    }
    for (int i = 0; i < w.conditions().size(); i++) {
      Condition c = w.conditions().get(i);
      Value v = values.get(c.key());
      boolean holds =
          c instanceof Condition.At at
              ? at.revision() == (v == null ? 0 : v.revision())
              : v != null && v.text().equals(((Condition.Holds) c).value());
      if (!holds) {
        return new Result.Unmet(i, v == null ? 0 : v.revision());
      }
    }
    var changes = new ArrayList<Change>();
    for (Operation o : w.operations()) {
      if (o instanceof Operation.Put p) {
        set(p.key(), new Value(p.value(), revision + 1, p.lease()));
        changes.add(new Change(p.key(), p.value()));
      } else if (set(o.key(), null)) {
        changes.add(new Change(o.key(), null));
      }
    }
    return commit(changes);
  }

  /** Everything is looked at before anything is done. */
  private Refusal refusal(Command.Write w) {
    if (w.operations().isEmpty()
        || w.operations().size() > OPERATIONS_MOST
        || w.conditions().size() > OPERATIONS_MOST) {
      return new Refusal.TooMany(w.operations().size());
    }
    if (w.lease() != 0 && leases.standing(w.lease(), w.term()) == null) {
      return new Refusal.LeaseGone(w.lease(), w.term());
    }
    Set<String> keys = new HashSet<>();
    long more = 0;
    int added = 0;
    for (Operation o : w.operations()) {
      if (bad(o.key())) {
        return new Refusal.BadKey(o.key());
      }
      if (!keys.add(o.key())) {
        return new Refusal.TooMany(w.operations().size());
      }
      Value before = values.get(o.key());
      int size = before == null ? 0 : size(o.key(), before.text());
      if (o instanceof Operation.Put p) {
        if (p.value().length() > VALUE_MOST) {
          return new Refusal.TooLarge(p.key(), p.value().length());
        }
        if (p.lease() != 0 && leases.standing(p.lease()) == null) {
          return new Refusal.LeaseGone(p.lease(), 0);
        }
        more += size(p.key(), p.value()) - size;
        added += before == null ? 1 : 0;
      } else {
        more -= size;
        added -= before == null ? 0 : 1;
      }
    }
    if (added > 0 && values.size() + added > KEYS_MOST) {
      return new Refusal.NoRoom("keys", KEYS_MOST);
    }
    return more > 0 && characters + more > CHARACTERS_MOST
        ? new Refusal.NoRoom("characters", CHARACTERS_MOST)
        : null;
  }

  private Result acquire(Command.Acquire c) {
    if (bad(c.name()) || bad(c.holder())) {
      return new Result.Refused(new Refusal.BadHolder(c.name()));
    }
    if (!(c.ttl() >= TTL_LEAST && c.ttl() <= TTL_MOST)) {
      return new Result.Refused(new Refusal.BadTtl(c.ttl()));
    }
    Leases.Lease before = leases.named(c.name());
    if (before == null && leases.size() >= LEASES_MOST) {
      return new Result.Refused(new Refusal.NoRoom("leases", LEASES_MOST));
    }
    if (before != null && before.stands && before.holder.equals(c.holder())) {
      end(before); // its holder begins anew: what went with the former life goes
    }
    Leases.Lease l = leases.acquire(c.name(), c.holder(), c.ttl());
    return new Result.Held(l.number, l.term, l.holder, l.holder.equals(c.holder()));
  }

  private Result renew(Command.Renew c) {
    Leases.Lease l = leases.standing(c.lease(), c.term());
    if (l == null) {
      return new Result.Refused(new Refusal.LeaseGone(c.lease(), c.term()));
    }
    l.renewals++;
    return new Result.Held(l.number, l.term, l.holder, true);
  }

  private Result release(Command.Release c) {
    Leases.Lease l = leases.standing(c.lease(), c.term());
    return l == null ? new Result.Refused(new Refusal.LeaseGone(c.lease(), c.term())) : end(l);
  }

  /** The lease stands no more, and its keys go in one revision. */
  private Result end(Leases.Lease l) {
    var changes = new ArrayList<Change>();
    for (String key : List.copyOf(l.keys)) {
      set(key, null);
      changes.add(new Change(key, null));
    }
    leases.end(l);
    return commit(changes);
  }

  private Result commit(List<Change> changes) {
    if (!changes.isEmpty()) {
      var made = new Revision(++revision, List.copyOf(changes));
      history.add(made);
      historyCharacters += size(made);
      while (history.size() > HISTORY_MOST
          || historyCharacters > HISTORY_CHARACTERS_MOST && history.size() > 1) {
        forget(history.peek().number());
      }
    }
    return new Result.Done(revision);
  }

  private void forget(long upTo) {
    while (!history.isEmpty() && history.peek().number() <= upTo) {
      Revision r = history.poll();
      historyCharacters -= size(r);
      compacted = r.number();
    }
  }

  private boolean set(String key, Value value) {
    Value before = value == null ? values.remove(key) : values.put(key, value);
    if (before != null) {
      characters -= size(key, before.text());
      if (before.lease() != 0 && leases.standing(before.lease()) != null) {
        leases.standing(before.lease()).keys.remove(key);
      }
    }
    if (value != null) {
      characters += size(key, value.text());
      if (value.lease() != 0) {
        leases.standing(value.lease()).keys.add(key);
      }
    }
    return before != null;
  }

  private static boolean bad(String name) {
    return name.isEmpty() || name.length() > KEY_MOST;
  }

  private static int size(String key, String value) {
    return key.length() + value.length();
  }

  private static long size(Revision r) {
    return r.changes().stream()
        .mapToLong(c -> size(c.key(), c.value() == null ? "" : c.value()))
        .sum();
  }

  // ---- A copy for who is far behind, or to be kept.
  /** The whole state; books that have applied the same commands give the same pages. */
  public List<Page> pages(int most) {
    var all = new ArrayList<Page.Entry>();
    all.add(new Page.Entry.Head(revision));
    leases
        .all()
        .forEach(
            l ->
                all.add(
                    new Page.Entry.Lease(
                        l.number, l.name, l.holder, l.term, l.renewals, l.ttl, l.stands)));
    values.forEach((key, v) -> all.add(new Page.Entry.Key(key, v)));
    answered.forEach(
        (client, a) -> all.add(new Page.Entry.Answered(client, a.number(), a.result())));
    return Page.cut(all, most);
  }

  /** Pages that are not one whole book: what is wrong with them. */
  public static final class Damaged extends Exception {
    Damaged(String what) {
      super(what);
    }
  }

  /**
   * The book that these pages are, with no history. They are taken whole, or an exception says what
   * is wrong with them.
   */
  public static Book of(List<Page> pages) throws Damaged {
    var book = new Book();
    boolean head = false;
    for (int i = 0; i < pages.size(); i++) {
      if (pages.get(i).number() != i || pages.get(i).last() != (i == pages.size() - 1)) {
        throw new Damaged(
            "page "
                + i
                + " of "
                + pages.size()
                + " is page "
                + pages.get(i).number()
                + (pages.get(i).last() ? ", the last" : ""));
      }
      for (Page.Entry e : pages.get(i).entries()) {
        if (e instanceof Page.Entry.Head != !head) {
          throw new Damaged(head ? "a second head" : "no head");
        }
        head = true;
        book.take(e);
      }
    }
    if (!head) {
      throw new Damaged("no page");
    }
    return book;
  }

  private void take(Page.Entry entry) throws Damaged {
    if (entry instanceof Page.Entry.Head h) {
      revision = compacted = h.revision();
    } else if (entry instanceof Page.Entry.Lease e) {
      var l = new Leases.Lease(e.number(), e.name());
      l.holder = e.holder();
      l.term = e.term();
      l.renewals = e.renewals();
      l.ttl = e.ttl();
      l.stands = e.stands();
      leases.put(l);
    } else if (entry instanceof Page.Entry.Key k) {
      if (bad(k.key())
          || k.value().revision() > revision
          || k.value().lease() != 0 && leases.standing(k.value().lease()) == null) {
        throw new Damaged(
            "key " + k.key() + " is newer than the book, or goes with a lease that does not stand");
      }
      set(k.key(), k.value());
    } else if (entry instanceof Page.Entry.Answered a) {
      answered.put(a.client(), new Answered(a.number(), a.result()));
    }
  }
}
