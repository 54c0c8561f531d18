package crankspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BenchLinkTest {
  private static final String ENV =
      """
            {"Odd":1,"Classes":[{"Name":"view","Target":250,"GiveUp":750,"Gain":2,"LateValue":0,"Idempotency":"token",\
            "DedupScope":"cell","KeyTtl":900.5,"Stream":false}],"Discovery":"on_request",\
            "Domain":{"Behind":"wait","ClassBound":[500],"CountedFrom":1000.5,"ReadLevel":["bounded"],"Patience":20,\
            "RoleInList":"start","SessionMarks":"carried","TellsPosition":true,"CommitWaits":true},\
            "Guarantees":{"AnswerSlack":20,"AskEvery":10000,"ColdFrom":0.2,"RampTime":9000,"DrainGrace":500,\
            "FallMultiple":2.5,"Fall":1500},"Limits":{"MostTries":7,"MayDuplicate":true,"Cancelling":true,"Probes":true},\
            "Locality":"z1","Prices":{},"Report":{"How":"on_probe"},"Round":5,"Siblings":3,"Zones":["z1","z2"]}""";
  private static final String SPAWN =
      "{\"Moment\":10,\"turn\":1,\"input\":[[\"Spawn\",3,18446744073709551615," + ENV + "]]}";

  /** Keeps what it was told, and answers requests by sending them to x:1. */
  private static final class Told implements Router {
    @Override
    public java.util.Set<String> avoided() {
      return java.util.Set.of();
    }

    final List<String> seen;
    final Actions actions;

    Told(Settings settings, Actions actions, List<String> seen) {
      this.seen = seen;
      this.actions = actions;
      seen.add(settings.toString());
    }

    @Override
    public void onStart(double now) {
      actions.watchDiscovery(true);
    }

    @Override
    public void onMembers(double now, ListKind kind, List<Member> m) {
      seen.add(kind + " " + m);
    }

    @Override
    public void onWatchLost(double now) {
      seen.add("lost");
    }

    @Override
    public void onRequest(double now, Request r) {
      seen.add(r.toString());
      if (r.id().equals("boom")) {
        throw new IllegalStateException("oops");
      }
      actions.send(r.id(), "x:1", 80);
      actions.refuse(r.id(), 250);
      actions.fail(r.id());
      actions.cancel(r.id(), 2);
      actions.setTimer(500, 77);
      actions.probe("x:1");
      actions.log("said \"so\"");
    }

    @Override
    public void onOutcome(double now, Outcome o) {
      seen.add(o.toString());
    }

    @Override
    public void onProbe(double now, ProbeResult r) {
      seen.add(r.toString());
    }

    @Override
    public void onClientGone(double now, String request) {
      seen.add("gone " + request);
    }

    @Override
    public void onTimer(double now, long cookie) {
      seen.add("timer " + cookie);
    }
  }

  private final List<String> seen = new ArrayList<>();

  private String run(String... lines) throws IOException {
    var out = new ByteArrayOutputStream();
    new BenchLink((s, a) -> new Told(s, a, seen))
        .run(new BufferedReader(new StringReader(String.join("\n", lines))), out);
    return out.toString(java.nio.charset.StandardCharsets.UTF_8);
  }

  private String batch(String event) {
    return "{\"x\":[1,{}],\"Moment\":20.5,\"turn\":2,\"input\":[" + event + "]}";
  }

  private String malformed(String... lines) {
    return assertThrows(BenchLink.Malformed.class, () -> run(lines)).getMessage();
  }

  @Test
  void anEmptyBatchIsAnswered() throws IOException {
    assertEquals("{\"turn\":1,\"cmds\":[]}\n", run("{\"Moment\":8412.25,\"turn\":1,\"input\":[]}"));
  }

  @Test
  void settingsAreRead() throws IOException {
    assertEquals("{\"turn\":1,\"cmds\":[[\"StreamChanges\",3,true]]}\n", run(SPAWN));
    for (String part :
        List.of(
            "seed=-1",
            "zone=z1",
            "keyTtl=900.5",
            "repeat=KEYED",
            "dedupScope=GROUP",
            "stalenessBound=500",
            "laggingRead=WAITS",
            "patience=20",
            "roleInList=AT_START",
            "sessionMarks=CARRIED",
            "commitWaits=true",
            "reports=IN_PROBES",
            "maxAttempts=7",
            "hedging=true",
            "watchDiscovery=true",
            "fallMultiple=2.5")) {
      assertTrue(seen.get(0).contains(part), part + " in " + seen.get(0));
    }
  }

  @Test
  void requestsAndActions() throws IOException {
    String reply =
        run(SPAWN, batch("[\"Knock\",3,\"t/b\",240.0,\"c.k\",null,412.5,\"view\",12.0,11,1]"));
    assertTrue(
        seen.contains(
            "Request[id=t/b, requestClass=0, ttl=240.0, session=c.k, markAge=412.5, group=11]"),
        "" + seen);
    assertTrue(
        reply.endsWith(
            "{\"turn\":2,\"cmds\":[[\"Try\",3,\"t/b\",\"x:1\",80.0],[\"Decline\",3,\"t/b\",250.0],"
                + "[\"Abort\",3,\"t/b\"],[\"StopAttempt\",3,\"t/b\",2],[\"Defer\",3,500.0,77],[\"Inspect\",3,\"x:1\"],"
                + "[\"Record\",3,\"said \\\"so\\\"\"]]}\n"),
        reply);
  }

  @Test
  void outcomesProbesAndLists() throws IOException {
    run(
        SPAWN,
        batch(
            "[\"Catalog\",0,[[\"z1\",1,\"x:1\",1.5,\"Running\",11,\"std\",6100.0],[\"z2\",0,\"y:1\",1,\"Stopping\",11,null,null]]],"
                + "[\"Registry\",3,\"warm_copy\",41,0],[\"Registry\",3,\"lost\",41,0],"
                + "[\"Done\",3,\"t/b\",0,\"x:1\",10,18.5,true,25486,null],[\"Done\",3,\"t/b\",1,\"x:1\",90,1,false,0,null],"
                + "[\"ProbeResult\",3,\"x:1\",10,1.4,{\"x0\":2.5,\"x1\":1,\"z\":0}],[\"Lapsed\",3,\"t/c\"],[\"Ring\",3,77],"
                + "[\"Begun\",3,\"t/b\",1,0,\"x:1\"],[\"NeighbourSays\",3,2,\"00\"],[\"Killed\",3]"));
    assertEquals(
        List.of(
            "OLD_COPY [Member[id=x:1, zone=z1, listedPrimary=true, capacityHint=1.5, health=RUNNING, group=11, "
                + "machine=std, lastStart=6100.0], Member[id=y:1, zone=z2, listedPrimary=false, capacityHint=1.0, "
                + "health=DRAINING, group=11, machine=, lastStart=0.0]]",
            "lost",
            "Outcome[request=t/b, number=0, member=x:1, status=OK, elapsed=18.5, requestDone=true, role=REPLICA, position=7371.5]",
            "Outcome[request=t/b, number=1, member=x:1, status=MISS, elapsed=1.0, requestDone=false, role=UNKNOWN, position=NaN]",
            "ProbeResult[member=x:1, ok=true, elapsed=1.4, role=PRIMARY, position=3500.5]",
            "gone t/c",
            "timer 77"),
        seen.subList(1, seen.size()));
  }

  @Test
  void aFailureOfTheDecisionsIsAFault() throws IOException {
    String reply =
        run(SPAWN, batch("[\"Knock\",3,\"boom\",240.0,null,null,null,\"view\",null,11,0]"));
    assertTrue(reply.contains("[\"Fault\",3,\"java.lang.IllegalStateException: oops"), reply);
  }

  @Test
  void malformedInputIsNamed() {
    assertTrue(malformed("{\"Moment\":1,").startsWith("line 1: not valid JSON"));
    assertTrue(malformed("[]").contains("an object was expected"));
    assertTrue(malformed("{\"Moment\":1,\"input\":[]}").contains("missing field turn"));
    assertTrue(
        malformed(SPAWN, batch("[\"Nonsense\",3]")).contains("line 2, Nonsense: unknown event"));
    assertTrue(
        malformed(SPAWN, batch("[\"Ring\",3]")).contains("line 2, Ring: missing field Cookie"));
    assertTrue(malformed(SPAWN, batch("[\"Ring\",4,1]")).contains("instance 4 was never started"));
    assertTrue(
        malformed(SPAWN, batch("[\"Registry\",3,\"total\",1,9]")).contains("no Catalog in slot 9"));
    assertTrue(
        malformed(SPAWN.replace("\"wait\"", "\"shrug\""))
            .contains("setting Behind has the unknown value shrug"));
    assertTrue(
        malformed(SPAWN.replace("\"Fall\":1500", "\"Fall\":-1"))
            .contains("setting fall is out of range"));
    assertTrue(malformed(SPAWN.replace("\"Siblings\":3,", "")).contains("missing field Siblings"));
  }
}
