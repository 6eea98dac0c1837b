package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards against commits that are lost when an unanswered promotion request is executed late. */
class UnansweredPromotionTest {
    private final AtomicInteger requests = new AtomicInteger();

    // A rejected request says nothing about the unanswered one of an earlier holder.
    @Test
    void shouldKeepRecordOfEarlierHolderWhenRequestIsRejected() {
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceWriting(1_000);
        fixture.filter = message -> isPromotion(message) ? Fate.LOST : Fate.DELIVERED;
        fixture.instance("a").stopResponding();
        FakeInstance target = awaitRequest(fixture);
        String holder = fixture.store.get("carobstage/failover/forms").orElseThrow().split(" ")[0];
        fixture.restart(Integer.parseInt(holder.substring("vm-".length())));
        fixture.instance("a").recover();
        fixture.filter =
                message -> {
                    if (isPromotion(message) && requests.getAndIncrement() == 0) {
                        target.crash();
                    }
                    return Fate.DELIVERED;
                };
        while (requests.get() == 0) {
            fixture.advanceMillis(10);
        }
        fixture.advanceMillis(100);

        assertThat(fixture.store.get("carobstage/promotions/forms")).isPresent();
        assertThat(fixture.processes)
                .noneMatch(p -> p.group.tryAcquireWritePermission(InstanceId.of("a")));
    }

    // The platform accepts a token again, also for another instance.
    @Test
    void shouldNotPromoteOtherInstanceWithTokenOfUnansweredRequest() {
        FailoverFixture fixture = new FailoverFixture(true);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.filter =
                message -> {
                    if (!isPromotion(message)) {
                        return Fate.DELIVERED;
                    }
                    if (requests.getAndIncrement() == 0) {
                        return Fate.late(Duration.ofSeconds(9));
                    }
                    if (requests.get() == 2) {
                        targetOf(fixture).crash();
                    }
                    return Fate.DELIVERED;
                };
        fixture.instance("a").crash();
        for (int i = 0; i < 1_400 && fixture.instance("a").isPrimary(); i++) {
            fixture.advanceMillis(10);
        }
        FakeInstance target = targetOf(fixture);
        target.recover();
        target.setReplicationDelay(Duration.ofMillis(60));
        fixture.instance("a").recover();
        fixture.advanceWriting(12_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // The promoted instance is lost while an earlier request with the same token is unanswered.
    @Test
    void shouldNotPromoteOtherInstanceWithSameTokenWhenFirstRequestIsExecutedLate() {
        FailoverFixture fixture = new FailoverFixture(true);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.filter =
                message ->
                        isPromotion(message) && requests.getAndIncrement() == 0
                                ? Fate.late(Duration.ofSeconds(11))
                                : Fate.DELIVERED;
        fixture.instance("a").crash();
        FakeInstance target = awaitRequest(fixture);
        while (!target.isPrimary()) {
            fixture.advanceMillis(10);
        }
        fixture.instance("a").recover();
        fixture.instance("a").demote(target.term());
        fixture.putEntries();
        fixture.advanceWriting(500);
        target.crash();
        fixture.advanceWriting(5_500);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.advanceWriting(12_000);

        assertThat(fixture.service.violations()).isEmpty();
        assertThat(fixture.service.receivedPromotionRequests())
                .anyMatch(r -> !r.startsWith(target.id() + " "));
    }

    // A planned failover that is abandoned after an unanswered request may still take effect.
    @Test
    void shouldSendNoWritesWhenPlannedPromotionMayStillBeExecuted() {
        List<String> violations =
                IntStream.rangeClosed(6, 18)
                        .boxed()
                        .flatMap(n -> violationsWhenExecutedAfter(n * 50).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWhenExecutedAfter(int delayMillis) {
        AtomicInteger count = new AtomicInteger();
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceWriting(1_000);
        fixture.filter =
                message -> {
                    if (!isPromotion(message)) {
                        return Fate.DELIVERED;
                    }
                    if (count.incrementAndGet() == 2) {
                        targetOf(fixture).crash();
                    }
                    return count.get() == 1 ? Fate.LOST : Fate.DELIVERED;
                };
        fixture.drainPrimary();
        for (int i = 0; i < 800 && count.get() < 2; i++) {
            fixture.advanceMillis(10);
        }
        fixture.advanceMillis(100);
        FakeInstance target = targetOf(fixture);
        target.recover();
        target.setReplicationDelay(Duration.ofMillis(60));
        fixture.advanceWriting(delayMillis);
        fixture.service.promote(target.id().value());
        return fixture.service.violations();
    }

    private static boolean isPromotion(String message) {
        return message.contains(" PROMOTE ");
    }

    private static FakeInstance awaitRequest(FailoverFixture fixture) {
        while (fixture.service.receivedPromotionRequests().isEmpty()) {
            fixture.advanceMillis(10);
        }
        return targetOf(fixture);
    }

    private static FakeInstance targetOf(FailoverFixture fixture) {
        return fixture.instance(fixture.service.receivedPromotionRequests().get(0).split(" ")[0]);
    }
}
