package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;

/** Guards against waits that a step of the time of day cuts short. */
class SteppedClockTest {
    private static final String LEASE = "carobstage/failover/forms";
    private static final Duration STEP = Duration.ofMinutes(40);

    // The record of an unanswered request expires although the platform may still execute it.
    @Test
    void shouldNotForgetUnansweredRequestWhenTimeOfDayIsStepped() {
        List<String> violations =
                IntStream.range(0, 3)
                        .boxed()
                        .flatMap(i -> violationsWhenStepped(i).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWhenStepped(int process) {
        FailoverFixture fixture = stableFixture();
        AtomicInteger requests = new AtomicInteger();
        fixture.filter =
                message ->
                        message.contains(" PROMOTE ") && requests.getAndIncrement() == 0
                                ? Fate.late(Duration.ofSeconds(11))
                                : Fate.DELIVERED;
        fixture.instance("a").crash();
        advanceUntil(fixture, () -> requests.get() == 1);
        fixture.advanceMillis(100);
        String request = fixture.service.receivedPromotionRequests().get(0);
        FakeInstance target = fixture.instance(request.split(" ")[0]);
        target.crash();
        String holder = fixture.store.get(LEASE).orElseThrow().split(" ")[0];
        fixture.restart(Integer.parseInt(holder.substring("vm-".length())));
        fixture.advanceWriting(500);
        fixture.processes.get(process).stepTimeOfDay(STEP);
        fixture.advanceWriting(2_500);
        fixture.instance("a").recover();
        fixture.advanceWriting(3_500);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.advanceWriting(12_000);
        return fixture.service.violations();
    }

    // A vote of a process that was restarted does not cover the commits of its earlier run.
    @Test
    void shouldNotTrustVoteOfRestartedProcessWhenTimeOfDayIsStepped() {
        FailoverFixture fixture = stableFixture();
        fixture.instance("b").setReplicationBlocked(true);
        for (int elapsed = 0; elapsed < 1_000; elapsed += 50) {
            fixture.processes.get(2).write(() -> {});
            fixture.advanceMillis(50);
        }
        fixture.restart(2);
        fixture.advanceMillis(500);
        fixture.processes.forEach(p -> p.stepTimeOfDay(STEP));
        fixture.instance("c").stopResponding();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    /** Votes decide only if the members are stable. */
    private static FailoverFixture stableFixture() {
        FailoverFixture fixture = new FailoverFixture();
        fixture.service.ignoreFencingTokens(true);
        fixture.service.keepFormerPrimary(true);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        return fixture;
    }

    private static void advanceUntil(FailoverFixture fixture, BooleanSupplier condition) {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            fixture.advanceMillis(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
