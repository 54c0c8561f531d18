package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Role;
import crankspar.Router.Told;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What peers tell reaches the decisions: with fourteen poolers each sees a replica's answers too seldom for a bound. */
class HearsayStoryTest {
    private final Fake fake = new Fake();

    private Fake fleet() {
        fake.siblings = 14;
        fake.secondCopies = false;
        fake.start(Fake.member("p", "near"), Fake.member("r", "near"));
        fake.hear("p", Role.PRIMARY, 0);
        fake.hear("r", Role.REPLICA, 0);
        return fake;
    }

    @Test void aReplicaThatAPeerHasHeardTakesBoundedReads() {
        fleet().at(900);
        assertThat(fake.ask("old", Fake.BROWSE)).isEqualTo("p"); // its own word on r is older than the bound
        fake.module.onHearsay(fake.now, List.of(new Told("r", Role.REPLICA, fake.now - 60)));
        assertThat(fake.ask("new", Fake.BROWSE)).isEqualTo("r");
    }

    @Test void anOlderWordNeverLowersAPositionNorUndoesARole() {
        fleet().at(900);
        fake.module.onHearsay(fake.now, List.of(new Told("r", Role.REPLICA, fake.now - 60)));
        fake.module.onHearsay(fake.now, List.of(new Told("r", Role.PRIMARY, fake.now - 5000),
                new Told("p", Role.REPLICA, fake.now - 5000)));
        assertThat(fake.ask("read", Fake.BROWSE)).isEqualTo("r");
        assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("p");
    }

    @Test void aNewPrimaryIsFollowedOnAPeersWord() {
        fleet().at(900);
        fake.module.onHearsay(fake.now, List.of(new Told("r", Role.PRIMARY, fake.now - 60)));
        assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("r");
    }

    @Test void noMemberIsSentToThatTheOwnListHasNotNamed() {
        fleet().at(900);
        fake.module.onHearsay(fake.now, List.of(new Told("q", Role.PRIMARY, fake.now)));
        assertThat(fake.ask("write", Fake.WRITE)).isEqualTo("p");
        assertThat(fake.ask("read", Fake.BROWSE)).isNotEqualTo("q");
    }
}
