package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;

/** Guards against replicas that a process resumes although another one relies on their pause. */
class ResumedReplicaTest {
    private static final String LEASE = "carobstage/failover/forms";

    // A process that does not know of a failover takes its replicas for left paused.
    @Test
    void shouldNotResumeReplicasOfFailoverThatStoreDoesNotReport() {
        List<String> violations =
                IntStream.range(0, 5)
                        .boxed()
                        .flatMap(i -> violationsWhenCutOffFromStore(i).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWhenCutOffFromStore(int process) {
        FailoverFixture fixture = stableFixture(5);
        AtomicBoolean refusing = new AtomicBoolean(true);
        fixture.service.refusePromotionsOf(holder -> refusing.get());
        fixture.processes.get(process).storeClient.setReachable(false);
        fixture.advanceWriting(500);
        fixture.cutOffPrimary(IntStream.range(0, 5).filter(i -> i != process).toArray());
        advanceUntil(fixture, () -> !fixture.service.receivedPromotionRequests().isEmpty());
        String request = fixture.service.receivedPromotionRequests().get(0);
        fixture.instance(request.split(" ")[0]).setReplicationBlocked(true);
        fixture.advanceWriting(9_000);
        refusing.set(false);
        fixture.advanceWriting(6_000);
        return fixture.service.violations();
    }

    // The next holder gives up, but the request of the earlier one may still be executed.
    @Test
    void shouldNotResumeReplicasWhileRequestOfEarlierHolderIsPending() {
        List<String> violations =
                IntStream.range(0, 5)
                        .boxed()
                        .flatMap(i -> violationsWhenNextHolderGivesUp(i).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWhenNextHolderGivesUp(int cutOff) {
        FailoverFixture fixture = stableFixture(5);
        AtomicInteger requests = new AtomicInteger();
        fixture.filter =
                message ->
                        message.contains(" PROMOTE ") && requests.getAndIncrement() == 0
                                ? Fate.late(Duration.ofSeconds(11))
                                : Fate.DELIVERED;
        fixture.processes.get(cutOff).storeClient.setReachable(false);
        fixture.advanceWriting(500);
        fixture.cutOffPrimary(IntStream.range(0, 5).filter(i -> i != cutOff).toArray());
        advanceUntil(fixture, () -> requests.get() > 0);
        String request = fixture.service.receivedPromotionRequests().get(0);
        FakeInstance target = fixture.instance(request.split(" ")[0]);
        String holder = fixture.store.get(LEASE).orElseThrow().split(" ")[0];
        fixture.processes.stream()
                .filter(p -> p.vm().value().equals(holder))
                .forEach(p -> p.storeClient.setReachable(false));
        fixture.store.endLeaseOf(LEASE);
        target.crash();
        fixture.advanceWriting(5_000);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.advanceWriting(9_000);
        return fixture.service.violations();
    }

    /** Votes decide only if the members are stable, and replicas differ by their delays. */
    private static FailoverFixture stableFixture(int processCount) {
        FailoverFixture fixture = new FailoverFixture(false, processCount);
        fixture.service.ignoreFencingTokens(true);
        fixture.service.keepFormerPrimary(true);
        fixture.instance("b").setReplicationDelay(Duration.ofMillis(3));
        fixture.instance("c").setReplicationDelay(Duration.ofMillis(60));
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        return fixture;
    }

    private static void advanceUntil(FailoverFixture fixture, BooleanSupplier condition) {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            fixture.advanceWriting(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
