package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

/** Guards against promotions of a replica that lacked a commit when they took effect. */
class LostCommitByPromotionTest {
    private final FailoverFixture fixture = new FailoverFixture();

    // A request is carried out after the failover ended and the old primary serves.
    @Test
    void shouldNotLoseCommitsWhenPromotionIsExecutedAfterTheFailover() {
        fixture.instance("b").setReplicationDelay(Duration.ofMillis(3));
        fixture.instance("c").setReplicationDelay(Duration.ofMillis(60));
        fixture.advanceWriting(1_000);
        fixture.filter =
                message ->
                        message.contains(" PROMOTE ")
                                ? Fate.late(Duration.ofSeconds(10))
                                : Fate.DELIVERED;
        fixture.instance("a").stopResponding();
        while (fixture.service.receivedPromotionRequests().isEmpty()) {
            fixture.advanceMillis(10);
        }
        fixture.restart(leaseHolder());
        fixture.instance("a").recover();
        fixture.advanceWriting(20_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    private int leaseHolder() {
        String holder = fixture.store.get("carobstage/failover/forms").orElseThrow().split(" ")[0];
        return Integer.parseInt(holder.substring("vm-".length()));
    }

    // An entry that is gone hides a replica that still acknowledges commits.
    @Test
    void shouldNotPromoteWhenEntryOfRunningReplicaIsGone() {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.instance("b").setReplicationBlocked(true);
        fixture.dropEntry("c");
        fixture.advanceWriting(1_000);
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A replica that an earlier failover left paused lacks what the draining primary acknowledged.
    @Test
    void shouldNotPromotePausedSuccessorWhenPrimaryDrains() {
        fixture.instance("b").pauseReplication(Term.of(5));
        fixture.dropEntry("c");
        fixture.advanceWriting(1_000);
        fixture.instance("a").drain();
        fixture.processes.forEach(p -> p.group.put(fixture.instance("a").instanceEntry()));
        fixture.advanceWriting(40_000);

        assertThat(fixture.service.violations()).isEmpty();
        assertThat(fixture.service.primary()).map(FakeInstance::id).contains(InstanceId.of("b"));
    }
}
