package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

/** Guards against promotions after which a replica that should be paused held a commit alone. */
class LostCommitByPauseTest {
    private final FailoverFixture fixture = new FailoverFixture(false, 4);

    // A pause of a term that the replica has seen has no effect.
    @Test
    void shouldNotPromoteWhenPauseHadNoEffectBecauseOfItsTerm() {
        fixture.instance("b").pauseReplication(Term.of(2));
        fixture.instance("b").resumeReplication();
        fixture.advanceWriting(1_000);
        fixture.cutOffPrimary(0, 1, 2);
        fixture.advanceWriting(10_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A RESUME that was not answered is carried out in the next failover.
    @Test
    void shouldNotPromoteWhenEarlierResumeIsExecutedLate() {
        List<Integer> violating =
                IntStream.iterate(800, d -> d <= 2_000, d -> d + 100)
                        .filter(d -> !violationsWithLateResume(d).isEmpty())
                        .boxed()
                        .toList();

        assertThat(violating).isEmpty();
    }

    private static List<String> violationsWithLateResume(int delayMillis) {
        FailoverFixture fixture = new FailoverFixture(false, 4);
        List<String> resumptions = new ArrayList<>();
        fixture.filter =
                message -> {
                    boolean late = message.endsWith("RESUME b");
                    if (late) {
                        resumptions.add(message);
                    }
                    return late ? Fate.late(Duration.ofMillis(delayMillis)) : Fate.DELIVERED;
                };
        fixture.instance("b").pauseReplication(Term.of(2));
        while (resumptions.isEmpty()) {
            fixture.advanceWriting(50);
        }
        fixture.cutOffPrimary(0, 1, 2);
        fixture.advanceWriting(10_000);
        return fixture.service.violations();
    }

    // A replica that restarts is no longer paused, and the old primary acknowledges commits again.
    @Test
    void shouldNotPromoteWhenOtherReplicaRestartsAfterTheComparison() {
        fixture.advanceWriting(1_000);
        fixture.cutOffPrimary(0, 1, 2);
        while (fixture.service.receivedPromotionRequests().isEmpty()) {
            fixture.advanceWriting(10);
        }
        FakeInstance other = fixture.instance(isRequested("c") ? "b" : "c");
        other.crash();
        fixture.advanceMillis(200);
        other.recover();
        fixture.advanceWriting(6_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    private boolean isRequested(String id) {
        return fixture.service.receivedPromotionRequests().get(0).startsWith(id + " ");
    }
}
