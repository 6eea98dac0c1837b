package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Restarts the replica that is not promoted at each moment of a failover, while a process that the
 * store turns away still writes at the old primary. The restart ends the pause of that replica, so
 * that the primary acknowledges what it confirms.
 */
class RestartedReplicaTest {
    private static final int PROCESSES = 5;
    private static final int CUT_OFF = 4;

    // The holder repeats its pauses and runs until the promotion takes effect.
    @Test
    void shouldKeepAcknowledgedCommitsWhenHolderRuns() {
        assertThat(violations(false, 0, 2)).isEmpty();
    }

    // The next holder pauses the replicas while the request of the former one is pending.
    @Test
    void shouldKeepAcknowledgedCommitsWhenHolderEndsBeforeItsRequestIsExecuted() {
        assertThat(violations(true, 2, 4)).isEmpty();
    }

    // The target holds nothing that the old primary commits after the choice.
    @Test
    @Tag("known-red")
    void shouldKeepAcknowledgedCommitsWhenOldPrimaryDoesNotReachTarget() {
        assertThat(violations(target -> target.setReplicationBlocked(true), false, 0)).isEmpty();
    }

    // A commit that the other replica has confirmed is on its way to the target at the promotion.
    @Test
    @Tag("known-red")
    void shouldKeepAcknowledgedCommitsWhenTargetReceivesThemLater() {
        assertThat(
                        violations(
                                target -> target.setReplicationDelay(Duration.ofMillis(60)),
                                false,
                                0))
                .isEmpty();
    }

    private static List<String> violations(boolean holderEnds, int... lateSeconds) {
        return violations(target -> {}, holderEnds, lateSeconds);
    }

    private static List<String> violations(
            Consumer<FakeInstance> faultOfTarget, boolean holderEnds, int... lateSeconds) {
        return Stream.of(false, true)
                .flatMap(
                        fencing ->
                                IntStream.of(lateSeconds)
                                        .boxed()
                                        .flatMap(s -> plays(fencing, holderEnds, s)))
                .parallel()
                .flatMap(p -> p.run(faultOfTarget).stream().map(v -> p + ": " + v))
                .toList();
    }

    private static Stream<Play> plays(boolean fencing, boolean holderEnds, int lateSeconds) {
        return IntStream.rangeClosed(0, 20 + 10 * lateSeconds)
                .mapToObj(i -> new Play(fencing, holderEnds, lateSeconds, i * 100));
    }

    /**
     * A failover whose first request is executed late.
     *
     * @param fencing whether the platform compares fencing tokens
     * @param holderEnds whether the holder ends once it has sent the request
     * @param lateSeconds how late the request is executed
     * @param restartMillis when the other replica restarts, after the request
     */
    private record Play(boolean fencing, boolean holderEnds, int lateSeconds, int restartMillis) {
        private List<String> run(Consumer<FakeInstance> faultOfTarget) {
            FailoverFixture fixture = new FailoverFixture(fencing, PROCESSES);
            fixture.advanceMillis(15_000);
            fixture.advanceWriting(1_000);
            AtomicInteger requests = new AtomicInteger();
            fixture.filter =
                    message -> {
                        boolean first =
                                message.contains(" PROMOTE ") && requests.getAndIncrement() == 0;
                        if (first && holderEnds) {
                            int holder = Character.getNumericValue(message.charAt(3));
                            fixture.clock.schedule(
                                    () -> fixture.restart(holder), Duration.ofMillis(1));
                        }
                        return first && lateSeconds > 0
                                ? Fate.late(Duration.ofSeconds(lateSeconds))
                                : Fate.DELIVERED;
                    };
            fixture.processes.get(CUT_OFF).storeClient.setReachable(false);
            fixture.processes.get(CUT_OFF).loseMembership();
            fixture.cutOffPrimary(0, 1, 2, 3);
            while (fixture.service.receivedPromotionRequests().isEmpty()) {
                fixture.advanceWriting(10);
            }
            String target = fixture.service.receivedPromotionRequests().get(0).split(" ")[0];
            FakeInstance other = fixture.instance(target.equals("b") ? "c" : "b");
            faultOfTarget.accept(fixture.instance(target));
            advance(fixture, restartMillis);
            other.crash();
            advance(fixture, 30);
            other.recover();
            advance(fixture, 10_000);
            return fixture.service.violations();
        }

        /** Processes that start meanwhile don't reach the old primary either. */
        private static void advance(FailoverFixture fixture, int millis) {
            for (int elapsed = 0; elapsed < millis; elapsed += 10) {
                fixture.cutOffPrimary(0, 1, 2, 3);
                fixture.advanceWriting(10);
            }
        }
    }
}
