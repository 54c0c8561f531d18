package crankspar.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** The requests of one core that are unanswered or have attempts in flight, by id. */
final class PendingRequests<Q, A> {
  private static final int ID_RADIX = 36;

  private final Map<String, PendingRequest<Q, A>> byId = new HashMap<>();
  private long lastId;
  private int unanswered;

  String nextId() {
    return Long.toString(++lastId, ID_RADIX);
  }

  void add(String id, PendingRequest<Q, A> request) {
    byId.put(id, request);
    unanswered++;
  }

  /** Returns null if the request is concluded and none of its attempts are in flight. */
  PendingRequest<Q, A> get(String id) {
    return byId.get(id);
  }

  /** Marks the request as answered, or as no longer wanted by its client. */
  void markConcluded(PendingRequest<Q, A> request) {
    request.concluded = true;
    unanswered--;
  }

  void removeIfFinished(String id, PendingRequest<Q, A> request) {
    if (request.concluded && request.inFlight.isEmpty()) {
      byId.remove(id);
    }
  }

  /** The number of requests without an answer. */
  int unanswered() {
    return unanswered;
  }

  /** Calls {@code action} for each request without an answer; answers may be given meanwhile. */
  void forEachUnanswered(BiConsumer<String, PendingRequest<Q, A>> action) {
    for (Map.Entry<String, PendingRequest<Q, A>> e : List.copyOf(byId.entrySet())) {
      if (!e.getValue().concluded) {
        action.accept(e.getKey(), e.getValue());
      }
    }
  }
}
