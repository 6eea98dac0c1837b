package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreWatcher;
import org.junit.jupiter.api.Test;

class ClusterMembershipTest {
    private static final int CONNECTION_LIMIT = 22;

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final List<FakeMetadataStore.Client> storeClients = new ArrayList<>();
    private final List<VmId> restarts = new ArrayList<>();

    @Test
    void shouldDivideConnectionsAmongAllMembers() {
        List<ClusterMembership> memberships = start(5);

        assertThat(memberships).allMatch(m -> m.connectionQuota(CONNECTION_LIMIT) == 4);
        assertThat(memberships.stream().mapToInt(m -> m.connectionQuota(CONNECTION_LIMIT)).sum())
                .isLessThan(CONNECTION_LIMIT);
    }

    @Test
    void shouldReduceQuotaAtOnceWhenProcessJoins() {
        ClusterMembership first = start(1).get(0);
        assertThat(first.connectionQuota(CONNECTION_LIMIT)).isEqualTo(20);
        start(1);

        assertThat(first.connectionQuota(CONNECTION_LIMIT)).isEqualTo(10);
    }

    @Test
    void shouldRaiseQuotaOnlyAfterConnectionsOfDepartedProcessHaveEnded() {
        List<ClusterMembership> memberships = start(2);
        memberships.get(1).leave();
        advanceMillis(1_000);
        assertThat(memberships.get(0).connectionQuota(CONNECTION_LIMIT)).isEqualTo(10);
        advanceMillis(3_000);

        assertThat(memberships.get(0).connectionQuota(CONNECTION_LIMIT)).isEqualTo(20);
    }

    @Test
    void shouldRemoveMemberWhenItsLeaseExpires() {
        List<ClusterMembership> memberships = start(2);
        storeClients.get(1).setReachable(false);
        advanceMillis(12_000);

        assertThat(memberships.get(0).members()).hasSize(1);
    }

    @Test
    void shouldRegisterAgainWhenEntryIsDeleted() {
        List<ClusterMembership> memberships = start(2);
        store.keys("carobstage/members/").forEach(store::delete);
        advanceMillis(1_000);

        assertThat(memberships).allMatch(m -> m.members().size() == 2);
        assertThat(store.keys("carobstage/members/")).hasSize(2);
    }

    @Test
    void shouldGrantOneConnectionWhenMembersOutnumberConnections() {
        List<ClusterMembership> memberships = start(30);

        assertThat(memberships).allMatch(m -> m.connectionQuota(CONNECTION_LIMIT) == 1);
    }

    // Guards against processes that keep connections open beyond those of the instances.
    @Test
    void shouldKeepConnectionsOnlyInProcessesThatComeFirstInTheirDomain() {
        List<ClusterMembership> memberships = start(30);

        assertThat(memberships.stream().filter(m -> standbyRank(m).isPresent()))
                .hasSize((CONNECTION_LIMIT - 2) * 65 / 100);
    }

    // Guards against a process of an earlier version that is taken for one of another domain.
    @Test
    void shouldCountMembersWithoutDomainAsLocal() {
        assertThat(MemberEntry.parse("vm-1 12"))
                .isEqualTo(new MemberEntry("vm-1 12", Optional.empty()));
        assertThat(MemberEntry.parse("vm-1 12 domain=a b"))
                .isEqualTo(new MemberEntry("vm-1 12", Optional.of(FailureDomain.of("a b"))));
        MemberEntry entry = MemberEntry.parse("vm-1 12 domain=a b");
        assertThat(MemberEntry.parse(entry.format())).isEqualTo(entry);
    }

    @Test
    void shouldKeepQuotaWhenRestoredStoreHasLostMembers() {
        List<ClusterMembership> memberships = start(1);
        store.copy();
        memberships = List.of(memberships.get(0), start(1).get(0), start(1).get(0));
        store.restore();
        for (int i = 0; i < 100; i++) {
            advanceMillis(50);
            assertThat(memberships).allMatch(m -> m.connectionQuota(CONNECTION_LIMIT) == 6);
        }

        assertThat(memberships).allMatch(m -> m.members().size() == 3);
        assertThat(store.keys("carobstage/members/")).hasSize(3);
    }

    // A process that restarts within the TTL of its membership never disappears from the members.
    @Test
    void shouldReportRestartWhenProcessReturnsWithinItsMembership() {
        start(2);
        assertThat(restarts).isEmpty();
        storeClients.get(1).setReachable(false);
        launch(VmId.of("vm-1"));
        advanceMillis(1_000);

        assertThat(restarts).containsExactly(VmId.of("vm-0"));
    }

    @Test
    void shouldNotReportRestartWhenProcessRegistersAgain() {
        start(2);
        store.keys("carobstage/members/").forEach(store::delete);
        advanceMillis(1_000);

        assertThat(restarts).isEmpty();
    }

    private static OptionalInt standbyRank(ClusterMembership membership) {
        return membership.connectionQuota(CONNECTION_LIMIT, false).standbyRank();
    }

    private List<ClusterMembership> start(int count) {
        List<ClusterMembership> memberships = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            memberships.add(launch(VmId.of("vm-" + storeClients.size())));
        }
        advanceMillis(4_000);
        return memberships;
    }

    private ClusterMembership launch(VmId vm) {
        FakeMetadataStore.Client storeClient = store.client();
        storeClients.add(storeClient);
        EventLog events = EventLog.of(vm, clock, 10);
        ClusterMembership membership =
                new ClusterMembership(
                        vm,
                        FailureDomain.of("domain"),
                        storeClient,
                        clock,
                        events,
                        () -> restarts.add(vm));
        StoreWatcher.of(
                        storeClient,
                        clock,
                        events,
                        StoreWatcher.Listener.of(membership::onStoreChange, () -> {}, () -> {}))
                .start();
        membership.join();
        pollQuota(membership);
        return membership;
    }

    private void pollQuota(ClusterMembership membership) {
        membership.connectionQuota(CONNECTION_LIMIT);
        clock.schedule(() -> pollQuota(membership), Duration.ofMillis(50));
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
