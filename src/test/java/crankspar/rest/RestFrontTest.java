package crankspar.rest;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Stories of REST clients and stand-in REST servers, over loopback. */
class RestFrontTest extends RestDoor {
  /** A stand-in server of group 1; the first one is listed as primary. */
  private ScriptedPeer server(ScriptedPeer.Script script) throws Exception {
    var peer = new ScriptedPeer(script);
    open.add(peer);
    return peer;
  }

  private static String get(String target, String... headers) {
    return "GET " + target + " HTTP/1.1\r\nHost: p\r\n" + String.join("", headers) + "\r\n";
  }

  private static String post(String key, String body) {
    return "POST /v1/groups/1/trade-claim HTTP/1.1\r\nHost: p\r\nRequest-Deadline-Ms: 400\r\nIdempotency-Key: "
        + key
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String ok(String headers, String body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private double now() {
    return loop.now();
  }

  /**
   * A server that answers probes and pages from a position that the test sets; 0 is the present.
   */
  private ScriptedPeer.Script pages(
      String name, boolean primary, AtomicLong position, AtomicInteger served) {
    return wire -> {
      for (String call = wire.http(); call != null; call = wire.http()) {
        String role = primary ? "primary" : "replica";
        long at = position.get() == 0 ? (long) now() : position.get();
        if (call.startsWith("GET /v1/load")) {
          wire.send(ok("", "{\"role\":\"" + role + "\",\"position\":" + at + "}"));
        } else {
          served.incrementAndGet();
          wire.send(
              ok(
                  "Role: " + role + "\r\nApplied-Position: " + at + "\r\n",
                  "{\"items\":[{\"by\":\"" + name + "\",\"points\":1.50}],\"next\":\"row 50\"}"));
        }
      }
    };
  }

  private static long position(String response) {
    var m = java.util.regex.Pattern.compile("Applied-Position: (\\d+)").matcher(response);
    assertThat(m.find()).as(response).isTrue();
    return Long.parseLong(m.group(1));
  }

  private static String next(String response) {
    return response.substring(response.indexOf("Link: <") + 7, response.indexOf(">; rel=\"next\""));
  }

  @Test
  void pagesFollowTheirCursorAndNeverGoBackAcrossReplicas() throws Exception {
    var fresh = new AtomicLong();
    var stuck = new AtomicLong();
    var byPrimary = new AtomicInteger();
    var byStuck = new AtomicInteger();
    ScriptedPeer primary = server(pages("primary", true, fresh, byPrimary));
    // This replica stands still a little behind, well within 300 ms at first: the gate alone may
    // pass it.
    stuck.set((long) now() + 50);
    ScriptedPeer replica = server(pages("stuck", false, stuck, byStuck));
    Wire client = pooler(primary, replica);
    String target = "/v1/groups/1/scoreboard?limit=1";
    long shown = 0;
    double until = now() + 900;
    int pages = 0;
    while (now() < until) {
      double asked = now();
      client.send(get(target));
      String page = client.http();
      if (page.startsWith("HTTP/1.1 503")) {
        assertThat(page).contains("Retry-After: ").contains("application/problem+json");
        continue;
      }
      assertThat(page).startsWith("HTTP/1.1 200").contains("\"points\":1.50");
      assertThat(position(page))
          .isGreaterThanOrEqualTo(shown)
          .isGreaterThanOrEqualTo((long) asked - 301);
      shown = position(page);
      target = next(page);
      assertThat(target).contains("limit=1&cursor=");
      pages++;
    }
    assertThat(pages).isGreaterThan(3);
    assertThat(byPrimary.get()).isGreaterThan(0);
  }

  @Test
  void aClaimThatTimesOutIsUnknownAndItsKeyIsNeverSentAgain() throws Exception {
    ScriptedPeer[] self = new ScriptedPeer[1];
    ScriptedPeer primary =
        self[0] =
            server(
                wire -> {
                  for (String call = wire.http(); call != null; call = wire.http()) {
                    if (call.startsWith("POST")) {
                      self[0].saw(call); // and no answer
                    } else {
                      wire.send(ok("", "{\"role\":\"primary\",\"position\":" + (long) now() + "}"));
                    }
                  }
                });
    Wire client = pooler(primary);
    client.send(post("k1", "{\"player\":9}"));
    assertThat(client.http())
        .startsWith("HTTP/1.1 504")
        .contains("application/problem+json")
        .contains("\"outcome\":\"unknown\"");
    assertThat(primary.next()).contains("Idempotency-Key: k1").endsWith("{\"player\":9}");

    client.send(post("k1", "{\"player\":9}"));
    assertThat(client.http()).startsWith("HTTP/1.1 409").contains("outcome-unknown");
    client.send(post("k1", "{\"player\":8}"));
    assertThat(client.http()).startsWith("HTTP/1.1 422").contains("key-reused");
    assertThat(primary.left()).as("copies at the server").isZero();
  }

  @Test
  void aRepeatOfAnAnsweredClaimGetsTheRecordedAnswer() throws Exception {
    ScriptedPeer[] self = new ScriptedPeer[1];
    ScriptedPeer primary =
        self[0] =
            server(
                wire -> {
                  for (String call = wire.http(); call != null; call = wire.http()) {
                    self[0].saw(call);
                    wire.send(
                        ok(
                            "Role: primary\r\nApplied-Position: " + (long) now() + "\r\n",
                            "{\"claim\":77}"));
                  }
                });
    Wire client = pooler(primary);
    client.send(post("k2", "{}"));
    String first = client.http();
    assertThat(first)
        .startsWith("HTTP/1.1 200")
        .contains("Session-Mark: ")
        .endsWith("{\"claim\":77}");
    Wire other = client(); // the client lost its connection and asks again
    other.send(post("k2", "{}"));
    assertThat(other.http()).isEqualTo(first);
    primary.next();
    assertThat(primary.left()).as("copies at the server").isZero();
  }

  @Test
  void aClaimWhoseClientLeftIsRecordedAllTheSame() throws Exception {
    ScriptedPeer[] self = new ScriptedPeer[1];
    ScriptedPeer primary =
        self[0] =
            server(
                wire -> {
                  for (String call = wire.http(); call != null; call = wire.http()) {
                    self[0].saw(call);
                    Thread.sleep(100); // the server's work: the client is gone before it ends
                    wire.send(ok("Role: primary\r\n", "{\"claim\":1}"));
                  }
                });
    Wire client = pooler(primary);
    client.send(post("k3", "{}"));
    assertThat(primary.next()).contains("k3");
    client.close();
    Wire again = client();
    String repeat = "";
    while (!repeat.startsWith("HTTP/1.1 200")) {
      again.send(post("k3", "{}"));
      repeat = again.http();
      assertThat(repeat).matches("(?s)HTTP/1.1 (409|200).*");
    }
    assertThat(repeat).endsWith("{\"claim\":1}");
    assertThat(primary.left()).isZero();
  }

  @Test
  void aClaimRefusedUnseenMayBeAskedAgainWithItsKey() throws Exception {
    var calls = new AtomicInteger();
    ScriptedPeer primary =
        server(
            wire -> {
              for (String call = wire.http(); call != null; call = wire.http()) {
                wire.send(
                    calls.incrementAndGet() == 1
                        ? "HTTP/1.1 421 Misdirected Request\r\nRole: replica\r\nContent-Length: 0\r\n\r\n"
                        : ok("Role: primary\r\n", "{}"));
              }
            });
    Wire client = pooler(primary);
    String answer = "";
    while (!answer.startsWith("HTTP/1.1 200")) {
      client.send(post("k4", "{}"));
      answer = client.http();
      assertThat(answer).matches("(?s)HTTP/1.1 (503|200).*").doesNotContain("unknown");
    }
    assertThat(calls.get()).isGreaterThan(1);
  }

  @Test
  void badRequestsGetAProblemAndTheConnectionServesOn() throws Exception {
    Wire client = pooler(server(pages("p", true, new AtomicLong(), new AtomicInteger())));
    var bad =
        List.of(
            "/v1/groups/1/nothing",
            "/v1/groups/x/scoreboard",
            "/v1/groups/1/scoreboard?limit=0",
            "/v1/groups/1/scoreboard?cursor=%21%21",
            "/v1/groups/1/scoreboard?limit=%zz",
            "/else");
    for (String target : bad) {
      client.send(get(target));
      assertThat(client.http())
          .as(target)
          .matches("(?s)HTTP/1.1 40[04] .*application/problem\\+json.*");
    }
    client.send(get("/v1/groups/1/scoreboard", "Request-Deadline-Ms: soon\r\n"));
    assertThat(client.http()).startsWith("HTTP/1.1 400");
    client.send(get("/v1/groups/1/trade-claim"));
    assertThat(client.http()).startsWith("HTTP/1.1 405");
    client.send("POST /v1/groups/1/trade-claim HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n");
    assertThat(client.http()).startsWith("HTTP/1.1 400").contains("Idempotency-Key");
    client.send(get("/v1/status"));
    assertThat(client.http()).startsWith("HTTP/1.1 200").contains("\"client_bad_requests\":9");
    client.send("nonsense\r\n\r\n");
    assertThat(client.http()).startsWith("HTTP/1.1 400").contains("Connection: close");
    assertThat(client.ends()).isTrue();
  }

  @Test
  void aRefusalComesAtOnceAndSaysWhenToComeBack() throws Exception {
    Wire client = pooler();
    double asked = now();
    client.send(get("/v1/groups/1/my-roster", "Request-Deadline-Ms: 200\r\n"));
    String answer = client.http();
    assertThat(answer)
        .matches("(?s)HTTP/1.1 503.*Retry-After: 2\r\n.*")
        .contains("\"outcome\":\"not-run\"");
    assertThat(now() - asked).isLessThan(200 + 500);
  }

  /**
   * Guards against a stray copy that answers the next page: each must be the one that was asked
   * for.
   */
  @Test
  void aSecondCopyOfAnAnswerIsNotTheNextOnes() throws Exception {
    ScriptedPeer primary =
        server(
            wire -> {
              for (String call = wire.http(); call != null; call = wire.http()) {
                String answer =
                    call.startsWith("GET /v1/load")
                        ? ok("", "{\"role\":\"primary\",\"position\":" + (long) now() + "}")
                        : ok(
                            "Role: primary\r\nApplied-Position: " + (long) now() + "\r\n",
                            "{\"items\":[\""
                                + call.replaceAll("(?s).*key=([a-z0-9]+).*", "$1")
                                + "\"]}");
                wire.send(answer + answer);
              }
            });
    Wire client = pooler(primary);
    for (int i = 10; i < 30; i++) {
      client.send(get("/v1/groups/1/my-roster?key=k" + i));
      assertThat(client.http()).startsWith("HTTP/1.1 200").contains("\"k" + i + "\"");
    }
  }

  /** Guards against connections that never finish a request, on this front too. */
  @Test
  void aHalfRequestEndsInTime() throws Exception {
    Wire client = pooler(server(pages("p", true, new AtomicLong(), new AtomicInteger())));
    Wire silent = client();
    double began = now();
    client.send("GET /v1/status HTT");
    assertThat(silent.http()).startsWith("HTTP/1.1 408");
    assertThat(client.http()).startsWith("HTTP/1.1 408");
    assertThat(client.ends()).isTrue();
    assertThat(now() - began).isLessThan(3000);
  }
}
