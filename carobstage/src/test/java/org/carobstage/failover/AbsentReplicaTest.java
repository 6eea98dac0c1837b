package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Failovers while a replica that may hold acknowledged commits has no entry. The primary was cut
 * off while commits were pending, so that the votes name no position.
 */
class AbsentReplicaTest {
    private static final String KEY = "carobstage/replicas/forms";

    private final FailoverFixture fixture = new FailoverFixture();

    // The only registered replica lacks the commits that the absent one has received.
    @Test
    void shouldNotPromoteWhenEntryOfOtherReplicaIsGone() {
        writeToReplicaC();
        fixture.dropEntry("c");
        failPrimary();

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // A process that has never seen the entry takes the registered replica for the only one.
    @Test
    void shouldNotPromoteWhenProcessesStartedAfterEntryWasGone() {
        writeToReplicaC();
        fixture.dropEntry("c");
        fixture.advanceMillis(500);
        for (int i = 0; i < fixture.processes.size(); i++) {
            fixture.restart(i);
        }
        fixture.advanceMillis(4_000);
        failPrimary();

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // A restored store no longer knows the absent replica, nor do processes that start later.
    @Test
    void shouldNotPromoteWhenRestoredStoreHasLostAbsentReplica() {
        fixture.store.delete(KEY);
        fixture.store.copy();
        writeToReplicaC();
        fixture.dropEntry("c");
        fixture.advanceMillis(500);
        fixture.store.restore();
        fixture.advanceMillis(3_000);
        assertThat(fixture.store.get(KEY)).contains("a b c");
        for (int i = 0; i < fixture.processes.size(); i++) {
            fixture.restart(i);
        }
        fixture.advanceMillis(4_000);
        failPrimary();

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // A service without a primary waits for a replica that has left for good.
    @Test
    void shouldPromoteWhenDrainedReplicaHasLeft() {
        fixture.putEntry(fixture.instance("c").drain().instanceEntry());
        fixture.advanceMillis(500);
        fixture.dropEntry("c");
        fixture.advanceMillis(500);
        assertThat(fixture.store.get(KEY)).contains("a b");
        failPrimary();

        assertThat(primary()).contains(InstanceId.of("b"));
    }

    // A service without a primary waits for a replica that was replaced.
    @Test
    void shouldPromoteWhenOtherInstanceHasTakenAddressOfAbsentReplica() {
        InstanceEntry replaced = fixture.service.instanceEntry("c");
        fixture.dropEntry("c");
        fixture.advanceMillis(500);
        assertThat(fixture.store.get(KEY)).contains("a b c");
        fixture.service.addInstance("d", "domain-c");
        InstanceEntry added = fixture.service.instanceEntry("d");
        fixture.putEntry(
                new InstanceEntry(
                        added.id(),
                        added.service(),
                        replaced.address(),
                        added.domain(),
                        added.slots(),
                        false,
                        false,
                        0,
                        0));
        fixture.advanceMillis(500);
        assertThat(fixture.store.get(KEY)).contains("a b d");
        failPrimary();

        assertThat(primary().map(InstanceId::value)).isIn(Optional.of("b"), Optional.of("d"));
    }

    // A service without a primary waits for a replica that will never be back.
    @Test
    void shouldPromoteWhenReplicaHasBeenAbsentForThirtySeconds() {
        fixture.dropEntry("c");
        fixture.advanceMillis(10_000);
        failPrimary();
        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();

        fixture.advanceMillis(15_000);

        assertThat(primary()).contains(InstanceId.of("b"));
        assertThat(fixture.store.get(KEY)).contains("a b");
    }

    // A replica that was absent for a moment is left out although it holds the newest commits.
    @Test
    void shouldPromoteReplicaWhenItIsRegisteredAgain() {
        writeToReplicaC();
        fixture.dropEntry("c");
        failPrimary();
        fixture.putEntry(fixture.service.instanceEntry("c"));
        fixture.advanceMillis(5_000);

        assertThat(primary()).contains(InstanceId.of("c"));
        assertThat(fixture.service.violations()).isEmpty();
    }

    private void writeToReplicaC() {
        fixture.instance("b").setReplicationBlocked(true);
        fixture.advanceWriting(1_000);
    }

    private void failPrimary() {
        fixture.processes.forEach(p -> p.group.trackCommit());
        fixture.instance("a").stopResponding();
        fixture.advanceMillis(8_000);
    }

    private Optional<InstanceId> primary() {
        return fixture.service.primary().filter(FakeInstance::isPrimary).map(FakeInstance::id);
    }
}
