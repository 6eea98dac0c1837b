package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against promotions that lose what a draining replica alone has confirmed. */
class DrainingReplicaTest {
    private final FailoverFixture fixture = new FailoverFixture();

    // The replica left with its log during the failover, and the other one was promoted.
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 300, 600})
    void shouldKeepAcknowledgedCommitsWhenDrainingReplicaLeavesAfterCrashOfPrimary(int millis) {
        confirmAtDrainingReplicaAlone();
        fixture.instance("a").crash();
        fixture.advanceMillis(millis);
        leave("c");
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // The replica left while the primary served, and nothing told that the other one lacked
    // commits.
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 3_000})
    void shouldKeepAcknowledgedCommitsWhenDrainingReplicaLeavesBeforeCrashOfPrimary(int millis) {
        confirmAtDrainingReplicaAlone();
        leave("c");
        fixture.advanceMillis(millis);
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A service that waits for the log of a drained replica stays without a primary.
    @Test
    void shouldPromoteSuccessorOfDrainedReplicaWhenItHasTakenItsAddress() {
        confirmAtDrainingReplicaAlone();
        fixture.instance("a").crash();
        leave("c");
        fixture.advanceMillis(2_000);
        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
        registerSuccessorOf("c", "d");
        fixture.advanceMillis(6_000);

        assertThat(primary()).contains(InstanceId.of("d"));
        assertThat(fixture.service.violations()).isEmpty();
    }

    // The primary's own log is the only one left with the commits.
    @Test
    void shouldKeepPrimaryWhenItReturnsBeforeItIsReplaced() {
        confirmAtDrainingReplicaAlone();
        fixture.instance("a").crash();
        leave("c");
        fixture.advanceMillis(4_000);
        fixture.instance("a").recover();
        fixture.advanceMillis(8_000);

        assertThat(primary()).contains(InstanceId.of("a"));
        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // A service waits for logs that never come back.
    @Test
    void shouldPromoteOtherReplicaWhenDrainedReplicaHasBeenAbsentForThirtySeconds() {
        confirmAtDrainingReplicaAlone();
        fixture.instance("a").crash();
        leave("c");
        fixture.advanceMillis(40_000);

        assertThat(primary()).contains(InstanceId.of("b"));
    }

    // A process whose links were cut since the replica left does not know what the others hold.
    @Test
    void shouldWaitForDrainedReplicaWhenOtherReplicaReceivesLater() {
        confirmAtDrainingReplicaAlone();
        leave("c");
        fixture.advanceMillis(1_000);
        assertThat(fixture.store.get("carobstage/replicas/forms")).contains("a b c");
        fixture.instance("b").setReplicationBlocked(false);
        fixture.advanceMillis(1_000);
        assertThat(fixture.store.get("carobstage/replicas/forms")).contains("a b");
        fixture.instance("a").crash();
        fixture.advanceMillis(4_000);

        assertThat(primary()).contains(InstanceId.of("b"));
        assertThat(fixture.service.violations()).isEmpty();
    }

    // A planned handover is delayed by a replica that has ended and can confirm nothing more.
    @Test
    void shouldHandOverAtOnceWhenDrainedReplicaHasJustLeft() {
        fixture.advanceMillis(15_000);
        fixture.instance("c").drain();
        fixture.putEntries();
        fixture.advanceWriting(1_000);
        leave("c");
        fixture.drainPrimary();
        fixture.advanceMillis(500);
        assertThat(fixture.service.receivedPromotionRequests()).hasSize(1);
        fixture.advanceMillis(2_000);

        assertThat(primary()).contains(InstanceId.of("b"));
        assertThat(fixture.service.violations()).isEmpty();
    }

    private void confirmAtDrainingReplicaAlone() {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.instance("c").drain();
        fixture.putEntries();
        fixture.instance("b").setReplicationBlocked(true);
        fixture.advanceWriting(3_000);
    }

    private void leave(String id) {
        fixture.instance(id).crash();
        fixture.dropEntry(id);
    }

    /** Registers a new instance that has taken over the address and the log of another one. */
    private void registerSuccessorOf(String id, String successorId) {
        InstanceEntry replaced = fixture.service.instanceEntry(id);
        LogPosition log = fixture.instance(id).receivedPosition();
        FakeInstance successor = fixture.service.addInstance(successorId, "domain-" + id);
        successor.receive(log);
        fixture.putEntry(
                new InstanceEntry(
                        successor.id(),
                        replaced.service(),
                        replaced.address(),
                        replaced.domain(),
                        replaced.slots(),
                        false,
                        false,
                        0,
                        0));
    }

    private Optional<InstanceId> primary() {
        return fixture.service.primary().map(FakeInstance::id);
    }
}
