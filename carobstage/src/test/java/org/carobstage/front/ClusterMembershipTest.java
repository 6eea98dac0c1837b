package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreWatcher;
import org.junit.jupiter.api.Test;

class ClusterMembershipTest {
    private static final int LIMIT = 22;

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final List<FakeMetadataStore.Client> views = new ArrayList<>();

    @Test
    void shouldShareConnectionsAmongAllMembers() {
        List<ClusterMembership> fleets = start(5);

        assertThat(fleets).allMatch(f -> f.connectionQuota(LIMIT) == 4);
        assertThat(fleets.stream().mapToInt(f -> f.connectionQuota(LIMIT)).sum()).isLessThan(LIMIT);
    }

    @Test
    void shouldShrinkShareAtOnceWhenProcessJoins() {
        ClusterMembership first = start(1).get(0);
        assertThat(first.connectionQuota(LIMIT)).isEqualTo(20);
        start(1);

        assertThat(first.connectionQuota(LIMIT)).isEqualTo(10);
    }

    @Test
    void shouldGrowShareOnlyAfterConnectionsOfLostProcessHaveEnded() {
        List<ClusterMembership> fleets = start(2);
        fleets.get(1).leave();
        run(1_000);
        assertThat(fleets.get(0).connectionQuota(LIMIT)).isEqualTo(10);
        run(3_000);

        assertThat(fleets.get(0).connectionQuota(LIMIT)).isEqualTo(20);
    }

    @Test
    void shouldForgetProcessWhoseLeaseLapses() {
        List<ClusterMembership> fleets = start(2);
        views.get(1).setReachable(false);
        run(12_000);

        assertThat(fleets.get(0).members()).hasSize(1);
    }

    @Test
    void shouldRegisterAgainWhenEntryIsTakenAway() {
        List<ClusterMembership> fleets = start(2);
        store.keys("carobstage/members/").forEach(store::delete);
        run(1_000);

        assertThat(fleets).allMatch(f -> f.members().size() == 2);
        assertThat(store.keys("carobstage/members/")).hasSize(2);
    }

    @Test
    void shouldAlwaysHaveOneConnection() {
        List<ClusterMembership> fleets = start(30);

        assertThat(fleets).allMatch(f -> f.connectionQuota(LIMIT) == 1);
    }

    private List<ClusterMembership> start(int count) {
        List<ClusterMembership> fleets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VmId vm = VmId.of("vm-" + views.size());
            FakeMetadataStore.Client view = store.client();
            views.add(view);
            EventLog events = EventLog.of(vm, clock, 10);
            ClusterMembership fleet = new ClusterMembership(vm, view, clock, events);
            StoreWatcher.of(
                            view,
                            clock,
                            events,
                            StoreWatcher.Listener.of(fleet::onStoreChange, () -> {}, () -> {}))
                    .start();
            fleet.join();
            fleets.add(fleet);
            watchShare(fleet);
        }
        run(4_000);
        return fleets;
    }

    private void watchShare(ClusterMembership fleet) {
        fleet.connectionQuota(LIMIT);
        clock.schedule(() -> watchShare(fleet), Duration.ofMillis(50));
    }

    private void run(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
