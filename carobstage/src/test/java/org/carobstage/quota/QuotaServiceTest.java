package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.carobstage.event.EventCode;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each run checks the hard bound in every window, and that every operation is decided in time. */
class QuotaServiceTest {
    private static final Duration SECONDS_5 = Duration.ofSeconds(5);

    private final QuotaFleet fleet = QuotaFleet.of(4);

    @BeforeEach
    void start() {
        fleet.clock.advance(Duration.ofSeconds(25));
    }

    // The operations of an account may all arrive at one process, which is not its owner.
    @Test
    void shouldPermitWholeRateWhenAllOperationsArriveAtOneProcess() {
        QuotaFleet.Process entry = fleet.notOwner();
        fleet.runWithLoad(Duration.ofSeconds(10), 150, Set.of(entry));

        assertThat(fleet.permittedIn(SECONDS_5)).isBetween(190L, 210L);
    }

    @Test
    void shouldUseEqualShareWhenLinkToOwnerIsSilent() {
        fleet.runWithLoad(SECONDS_5);
        QuotaFleet.Process owner = fleet.owner();
        QuotaFleet.Process client = fleet.notOwner();
        double before = client.metric("quota_standalone_seconds_total");
        owner.setLinksSilent(true);
        fleet.runWithLoad(SECONDS_5);
        assertThat(codes(client)).contains(EventCode.QUOTA_STANDALONE_STARTED);
        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(90L, 130L);
        owner.setLinksSilent(false);
        fleet.runWithLoad(SECONDS_5);

        assertThat(codes(client)).contains(EventCode.QUOTA_STANDALONE_ENDED);
        assertThat(client.metric("quota_standalone_seconds_total") - before).isBetween(4.0, 6.0);
    }

    // Around a planned stop, the former and the next owner must not both grant.
    @Test
    void shouldHandOverWithinBoundWhenOwnerStopsUnderLoad() {
        fleet.runWithLoad(SECONDS_5);
        QuotaFleet.Process owner = fleet.owner();
        owner.service.stopOwning();
        assertThat(owner.isOwner()).isFalse();
        fleet.runWithLoad(SECONDS_5);

        assertThat(fleet.owner()).isNotSameAs(owner);
        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    // A frozen owner resumes with buckets that another process has spent meanwhile.
    @Test
    void shouldKeepBoundWhenOwnerIsFrozenAndResumes() {
        fleet.runWithLoad(SECONDS_5);
        QuotaFleet.Process frozen = fleet.owner();
        frozen.pause();
        fleet.runWithLoad(Duration.ofSeconds(6));
        frozen.resume();
        fleet.runWithLoad(SECONDS_5);

        assertThat(fleet.owner()).isNotSameAs(frozen);
    }

    // Less than the lease: the work of a process that was only slow must not move elsewhere.
    @Test
    void shouldKeepOwnerWhenItIsFrozenBriefly() {
        fleet.runWithLoad(SECONDS_5);
        QuotaFleet.Process frozen = fleet.owner();
        frozen.pause();
        fleet.runWithLoad(Duration.ofMillis(800));
        frozen.resume();
        fleet.runWithLoad(SECONDS_5);

        assertThat(fleet.owner()).isSameAs(frozen);
        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    // A process that replaces another one on its VM must not use what its predecessor was granted.
    @Test
    void shouldKeepBoundWhenProcessesAreReplaced() {
        fleet.runWithLoad(SECONDS_5);
        for (int i = 0; i < 3; i++) {
            QuotaFleet.Process replaced = i == 1 ? fleet.owner() : fleet.notOwner();
            replaced.pause();
            fleet.launch(replaced.vm);
            fleet.runWithLoad(Duration.ofSeconds(4));
        }

        assertThat(fleet.permittedIn(Duration.ofSeconds(2))).isBetween(60L, 100L);
    }

    @Test
    void shouldKeepBoundWhenStoreIsAwayAndReturns() {
        fleet.runWithLoad(SECONDS_5);
        fleet.processes.values().forEach(p -> p.setStoreReachable(false));
        fleet.runWithLoad(Duration.ofSeconds(9));
        fleet.processes.values().forEach(p -> p.setStoreReachable(true));
        fleet.runWithLoad(Duration.ofSeconds(9));

        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    @Test
    void shouldKeepBoundWhenStoreIsRestored() {
        fleet.store.copy();
        fleet.runWithLoad(SECONDS_5);
        fleet.store.restore();
        fleet.runWithLoad(Duration.ofSeconds(9));

        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    // Links that are reset again and again must not stop the decisions.
    @Test
    void shouldKeepBoundWhenLinksAreResetRepeatedly() {
        for (int i = 0; i < 20; i++) {
            fleet.runWithLoad(Duration.ofMillis(700));
            fleet.network.resetAll();
        }
        fleet.runWithLoad(SECONDS_5);

        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    // A new owner finds no membership key of processes that have lost the store and use their
    // shares.
    @Test
    void shouldKeepBoundWhenOneStartsWhileAllOthersHaveLostStore() {
        fleet.runWithLoad(SECONDS_5);
        List.copyOf(fleet.processes.values()).forEach(p -> p.setStoreReachable(false));
        fleet.runWithLoad(Duration.ofSeconds(4));
        fleet.launch(VmId.of("vm-new"));
        fleet.runWithLoad(Duration.ofSeconds(16));
    }

    // Processes that have lost the store divide the rate without those that have started since.
    @Test
    void shouldKeepBoundWhenManyStartAfterOthersHaveLostStore() {
        fleet.runWithLoad(SECONDS_5);
        List.copyOf(fleet.processes.values()).forEach(p -> p.setStoreReachable(false));
        for (int i = 0; i < 8; i++) {
            fleet.launch(VmId.of("vm-new-" + i));
        }
        fleet.runWithLoad(Duration.ofSeconds(30));
    }

    // All processes that are killed and restarted must not reject their clients for seconds.
    @Test
    void shouldPermitSoonWhenAllProcessesAreKilledAndRestarted() {
        fleet.runWithLoad(SECONDS_5);
        for (QuotaFleet.Process killed : List.copyOf(fleet.processes.values())) {
            killed.pause();
            fleet.launch(killed.vm);
        }
        Duration rejected = Duration.ZERO;
        while (fleet.permittedIn(Duration.ofMillis(20)) == 0 || rejected.isZero()) {
            fleet.runWithLoad(Duration.ofMillis(20));
            rejected = rejected.plusMillis(20);
        }
        fleet.runWithLoad(Duration.ofSeconds(2));

        System.out.println("restart of all: permitted after " + rejected.toMillis() + " ms");
        assertThat(rejected).isLessThan(Duration.ofMillis(1_000));
        assertThat(fleet.permittedIn(Duration.ofSeconds(1))).isBetween(35L, 50L);
    }

    // A limiter that wakes up every 10 ms doubles the processor time of a process without load.
    @Test
    void shouldSetFewTimersWhenNoOperationWaits() {
        QuotaFleet.Process process = fleet.notOwner();
        int before = process.ownClock.timers;
        fleet.clock.advance(Duration.ofSeconds(10));

        int perSecond = (process.ownClock.timers - before) / 10;
        System.out.println("timers of an idle process: " + perSecond + " a second");
        assertThat(perSecond).isLessThan(100);
    }

    // Without any limit, owners, links and keep-alive messages have no purpose.
    @Test
    void shouldKeepNoKeysAndLinksWhenNoAccountHasLimit() {
        fleet.runWithLoad(SECONDS_5);
        fleet.limited = false;
        fleet.clock.advance(Duration.ofSeconds(20));
        assertThat(fleet.store.keys("carobstage/quota")).isEmpty();
        assertThat(fleet.processes.values())
                .allMatch(p -> p.service.metrics().get("peer_links") == 0);

        fleet.limited = true;
        fleet.clock.advance(SECONDS_5);
        fleet.runWithLoad(SECONDS_5);
        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    // The limiter calls back sessions; an error of one must not end the watch, ticks or links.
    @Test
    void shouldGoOnWhenCallbackOfOperationFails() {
        QuotaFleet.Process client = fleet.notOwner();
        for (int i = 0; i < 50; i++) {
            try {
                client.service
                        .limiter()
                        .acquire(
                                QuotaFleet.ACCOUNT,
                                decision -> {
                                    throw new IllegalStateException("callback failed");
                                });
            } catch (IllegalStateException e) {
                // A decision without waiting reaches the caller itself.
            }
            if (i == 25) {
                fleet.owner().service.stopOwning();
            }
            fleet.advanceIgnoringFailures(Duration.ofMillis(20));
        }
        fleet.clock.advance(Duration.ofSeconds(6));
        fleet.runWithLoad(SECONDS_5);

        assertThat(codes(client)).doesNotContain(EventCode.PEER_LINK_FAULT);
        assertThat(fleet.permittedIn(Duration.ofSeconds(3))).isBetween(100L, 140L);
    }

    private static List<EventCode> codes(QuotaFleet.Process process) {
        return process.events.localEvents().stream().map(e -> e.code()).toList();
    }
}
