package crankspar;

import crankspar.policy.RequestRouter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The README's example, compiled and run; and the README says the same, line by line. */
class EmbedExampleTest {
    @Test void theExampleRuns() {
        Fake actions = new Fake();
        Router.Settings settings = actions.settings();
        double clock = Fake.ZERO;
        // example
        Router router = new RequestRouter(settings, actions);   // your Router.Settings and Router.Actions
        router.onStart(clock);
        router.onMembers(clock, Router.ListKind.FULL, List.of(
                new Router.Member("10.0.0.1:3306", "here", true, 1, Router.Health.RUNNING, 1, "std", 0),
                new Router.Member("10.0.0.2:3306", "here", false, 1, Router.Health.RUNNING, 1, "std", 0)));
        router.onRequest(clock, new Router.Request("r1", 1, 500, "session-1", -1, 1));
        // actions.send("r1", member, timeout) was called: send it, and when the answer is in:
        String member = Fake.memberOf(actions.attempts.get(0));
        router.onOutcome(clock + 8, new Router.Outcome("r1", 0, member, Router.Status.OK, 8, true,
                Router.Role.REPLICA, clock));
        // end
        assertEquals(0, actions.finalAnswers("r1"));
    }

    @Test void theReadmeSaysTheSame() throws Exception {
        String test = Files.readString(Path.of("src/test/java/crankspar/EmbedExampleTest.java"));
        String part = test.substring(test.indexOf("// example\n") + 11, test.indexOf("        // end\n"));
        List<String> lines = part.lines().map(String::strip).filter(l -> !l.startsWith("String member")).toList();
        String readme = Files.readString(Path.of("README.md"));
        String example = readme.substring(readme.indexOf("```java\n") + 8, readme.lastIndexOf("```"));
        assertTrue(lines.size() > 5);
        assertEquals(lines, example.lines().map(String::strip).collect(Collectors.toList()));
    }
}
