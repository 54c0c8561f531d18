package crankspar.store;

import crankspar.core.Counters;
import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.json.Json;
import crankspar.rest.RestFront;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * The store on the paged REST protocol: {@code GET} pages through the changes after a cursor,
 * {@code PUT} writes one key ({@code {"key": ..., "value": ...}}; a null removes it).
 */
public final class StoreResource implements RestFront.Resource {
  public static final String PATH = "/v1/store";
  private static final int LIMIT = 100;
  private static final int LIMIT_MOST = 500;

  private final Store store;
  private final Commits commits;
  private final Counters counters;

  /**
   * The order of changes starts anew with each start, so a cursor names the start that it belongs
   * to.
   */
  private final String epoch = Long.toString(ThreadLocalRandom.current().nextLong() >>> 1, 36);

  public StoreResource(Store store, Commits commits, Counters counters) {
    this.store = store;
    this.commits = commits;
    this.counters = counters;
  }

  @Override
  public void answer(
      HttpHead.Request head, Map<String, String> query, byte[] body, Consumer<byte[]> told) {
    switch (head.method()) {
      case "GET" -> told.accept(page(query));
      case "PUT" -> write(body, told);
      default ->
          told.accept(
              RestFront.problem(
                  405, "method", "The method is not allowed here", "only GET and PUT"));
    }
  }

  private byte[] page(Map<String, String> query) {
    String limit = query.getOrDefault("limit", Integer.toString(LIMIT));
    if (!limit.matches("[0-9]{1,3}")
        || Integer.parseInt(limit) < 1
        || Integer.parseInt(limit) > LIMIT_MOST) {
      return RestFront.problem(400, "bad-limit", "The limit is out of range", "1 to " + LIMIT_MOST);
    }
    String[] cursor = query.getOrDefault("cursor", "").split("-", 2);
    boolean ours =
        cursor.length == 2 && cursor[0].equals(epoch) && cursor[1].matches("[0-9]{1,18}");
    Store.Page page = store.since(ours ? Long.parseLong(cursor[1]) : 0, Integer.parseInt(limit));
    return HttpEncoder.response(
        200,
        Map.of("Content-Type", "application/json"),
        StoreJson.write(page.entries(), epoch + "-" + page.next(), page.more()));
  }

  /** The answer waits until the entry is on disk, where a file keeps it. */
  private void write(byte[] body, Consumer<byte[]> told) {
    try {
      Map<?, ?> object = Json.object(new String(body, StandardCharsets.UTF_8));
      if (!(object.get("key") instanceof String key)
          || !(object.get("value") == null || object.get("value") instanceof String)) {
        told.accept(
            RestFront.problem(400, "malformed", "No entry came", "key and value are texts"));
        return;
      }
      commits.commit(
          List.of(new Change(key, (String) object.get("value"))),
          result -> told.accept(answer(result)));
    } catch (IOException e) {
      told.accept(
          RestFront.problem(
              400, "malformed", "The content is no JSON", String.valueOf(e.getMessage())));
    }
  }

  private byte[] answer(CommitResult result) {
    if (result instanceof CommitResult.Invalid e) {
      return RestFront.problem(422, "refused", "The store does not take this", e.reason());
    }
    if (result instanceof CommitResult.NotDurable e) {
      return RestFront.problem(
          503, "not-durable", "The entry could not be kept; it is not in force", e.reason());
    }
    counters.add("store_writes");
    return HttpEncoder.response(
        200, Map.of("Content-Type", "application/json"), "{}".getBytes(StandardCharsets.US_ASCII));
  }
}
