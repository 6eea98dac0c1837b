package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeStore;
import org.carobstage.model.VmId;
import org.carobstage.runtime.PausedClock;
import org.carobstage.store.StoreMirror;
import org.junit.jupiter.api.Test;

class FleetTest {
    private static final int LIMIT = 22;

    private final PausedClock clock = PausedClock.of(Instant.EPOCH);
    private final FakeStore store = FakeStore.of(clock);
    private final List<FakeStore.View> views = new ArrayList<>();

    @Test
    void shouldShareConnectionsAmongAllMembers() {
        List<Fleet> fleets = start(5);

        assertThat(fleets).allMatch(f -> f.share(LIMIT) == 4);
        assertThat(fleets.stream().mapToInt(f -> f.share(LIMIT)).sum()).isLessThan(LIMIT);
    }

    @Test
    void shouldShrinkShareAtOnceWhenProcessJoins() {
        Fleet first = start(1).get(0);
        assertThat(first.share(LIMIT)).isEqualTo(20);
        start(1);

        assertThat(first.share(LIMIT)).isEqualTo(10);
    }

    @Test
    void shouldGrowShareOnlyAfterConnectionsOfLostProcessHaveEnded() {
        List<Fleet> fleets = start(2);
        fleets.get(1).leave();
        run(1_000);
        assertThat(fleets.get(0).share(LIMIT)).isEqualTo(10);
        run(3_000);

        assertThat(fleets.get(0).share(LIMIT)).isEqualTo(20);
    }

    @Test
    void shouldForgetProcessWhoseLeaseLapses() {
        List<Fleet> fleets = start(2);
        views.get(1).reachable(false);
        run(12_000);

        assertThat(fleets.get(0).members()).hasSize(1);
    }

    @Test
    void shouldRegisterAgainWhenEntryIsTakenAway() {
        List<Fleet> fleets = start(2);
        store.keys("carobstage/members/").forEach(store::delete);
        run(1_000);

        assertThat(fleets).allMatch(f -> f.members().size() == 2);
        assertThat(store.keys("carobstage/members/")).hasSize(2);
    }

    @Test
    void shouldAlwaysHaveOneConnection() {
        List<Fleet> fleets = start(30);

        assertThat(fleets).allMatch(f -> f.share(LIMIT) == 1);
    }

    private List<Fleet> start(int count) {
        List<Fleet> fleets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VmId vm = VmId.of("vm-" + views.size());
            FakeStore.View view = store.view();
            views.add(view);
            EventLog events = EventLog.of(vm, clock, 10);
            Fleet fleet = new Fleet(vm, view, clock, events);
            StoreMirror.of(
                            view,
                            clock,
                            events,
                            StoreMirror.Listener.of(fleet::changed, () -> {}, () -> {}))
                    .start();
            fleet.join();
            fleets.add(fleet);
            watchShare(fleet);
        }
        run(4_000);
        return fleets;
    }

    private void watchShare(Fleet fleet) {
        fleet.share(LIMIT);
        clock.schedule(() -> watchShare(fleet), Duration.ofMillis(50));
    }

    private void run(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
