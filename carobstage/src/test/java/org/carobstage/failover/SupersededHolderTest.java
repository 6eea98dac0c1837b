package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against promotion requests of a holder that another one has superseded. */
class SupersededHolderTest {
    private static final String LEASE = "carobstage/failover/forms";

    private final FailoverFixture fixture = new FailoverFixture();
    private final AtomicInteger requests = new AtomicInteger();

    /** Votes decide only if the members are stable. */
    @BeforeEach
    void advanceUntilMembersAreStable() {
        fixture.service.ignoreFencingTokens(true);
        fixture.service.keepFormerPrimary(true);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
    }

    // The platform sees a lower token after a higher one when a refused request is repeated.
    @Test
    void shouldNotRepeatRefusedRequestWhenStoreHasEndedLease() {
        fixture.service.refusePromotionsOf(holder -> requests.getAndIncrement() == 0);
        fixture.instance("a").crash();
        advanceUntil(() -> requests.get() == 1);
        VmId first = leaseHolder();
        fixture.service.refusePromotionsOf(first::equals);
        process(first).storeClient.setReachable(false);
        fixture.store.endLeaseOf(LEASE);
        fixture.advanceWriting(6_000);

        assertThat(fixture.service.primary()).isPresent();
        assertThat(fixture.service.violations()).isEmpty();
    }

    // A request that the earlier holder was permitted to send would arrive after the next one's.
    @Test
    void shouldRequestPromotionOnlyOncePermitOfEarlierHolderHasEnded() {
        fixture.store.put("carobstage/promotions/forms", "b 7");
        fixture.instance("a").crash();
        advanceUntil(() -> fixture.store.get(LEASE).isPresent());
        fixture.advanceMillis(1_350);
        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();

        fixture.advanceMillis(500);

        assertThat(fixture.service.receivedPromotionRequests()).hasSize(1);
    }

    // The request of the first holder takes effect after commits at a primary promoted later.
    @Test
    void shouldNotPromoteOtherInstanceWhenNextHolderHasFinishedPromotionOfUnansweredRequest() {
        fixture.filter =
                message ->
                        message.contains(" PROMOTE ") && requests.getAndIncrement() == 0
                                ? Fate.late(Duration.ofSeconds(11))
                                : Fate.DELIVERED;
        fixture.instance("a").crash();
        advanceUntil(() -> requests.get() == 1);
        fixture.restart(indexOf(leaseHolder()));
        FakeInstance target = target();
        advanceUntil(target::isPrimary);
        fixture.instance("a").recover();
        fixture.instance("a").demote(target.term());
        fixture.service.instances().forEach(i -> fixture.putEntry(i.instanceEntry()));
        fixture.advanceWriting(500);
        target.crash();
        fixture.advanceWriting(4_000);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.advanceWriting(12_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // The watch of the next holder has not delivered the record of the first holder's request.
    @Test
    void shouldNotPromoteOtherInstanceWhenRecordOfEarlierHolderIsNotDelivered() {
        fixture.filter =
                message -> {
                    if (message.contains(" WRITE " + LEASE) && requests.get() == 0) {
                        fixture.processes.stream()
                                .filter(p -> !message.startsWith(p.vm().value()))
                                .forEach(p -> p.storeClient.holdWatch(true));
                    }
                    boolean first =
                            message.contains(" PROMOTE ") && requests.getAndIncrement() == 0;
                    return first ? Fate.late(Duration.ofSeconds(9)) : Fate.DELIVERED;
                };
        fixture.instance("a").crash();
        advanceUntil(() -> requests.get() == 1);
        FakeInstance target = target();
        process(leaseHolder()).storeClient.setReachable(false);
        fixture.store.endLeaseOf(LEASE);
        target.crash();
        advanceUntil(() -> fixture.store.get(LEASE).isPresent());
        fixture.processes.forEach(p -> p.storeClient.holdWatch(false));
        fixture.advanceWriting(4_000);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.instance("a").recover();
        fixture.advanceWriting(15_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A holder that keeps the lease while the platform turns it away leaves no primary for ever.
    @Test
    void shouldLetOtherProcessTryWhenPlatformAcceptsNoRequestOfHolder() {
        fixture.service.refusePromotionsOf(holder -> requests.getAndIncrement() == 0);
        fixture.instance("a").crash();
        advanceUntil(() -> requests.get() == 1);
        VmId first = leaseHolder();
        fixture.service.refusePromotionsOf(first::equals);
        fixture.advanceWriting(20_000);

        assertThat(fixture.service.instances()).anyMatch(i -> i.isPrimary() && !i.isCrashed());
        assertThat(fixture.service.violations()).isEmpty();
    }

    // The command would end the pause of the next holder's failover, since it names no term.
    @Test
    void shouldNotResumeReplicasWhenStoreHasEndedLease() {
        List<String> resumed = new ArrayList<>();
        fixture.service.refusePromotionsOf(holder -> requests.getAndIncrement() == 0);
        fixture.instance("a").crash();
        advanceUntil(() -> requests.get() == 1);
        VmId first = leaseHolder();
        fixture.filter =
                message -> {
                    if (message.startsWith(first + " RESUME")) {
                        resumed.add(message);
                    }
                    return Fate.DELIVERED;
                };
        process(first).storeClient.setReachable(false);
        fixture.store.endLeaseOf(LEASE);
        fixture.advanceWriting(3_000);

        assertThat(resumed).isEmpty();
    }

    private void advanceUntil(BooleanSupplier condition) {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            fixture.advanceMillis(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private FakeInstance target() {
        String request = fixture.service.receivedPromotionRequests().get(0);
        return fixture.instance(request.split(" ")[0]);
    }

    private VmId leaseHolder() {
        return VmId.of(fixture.store.get(LEASE).orElseThrow().split(" ")[0]);
    }

    private FailoverFixture.Process process(VmId vm) {
        return fixture.processes.get(indexOf(vm));
    }

    private static int indexOf(VmId vm) {
        return Integer.parseInt(vm.value().substring("vm-".length()));
    }
}
