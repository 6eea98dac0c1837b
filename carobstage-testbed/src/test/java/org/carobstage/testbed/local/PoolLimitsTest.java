package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.model.ServiceName;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.Share;
import org.carobstage.testbed.local.PoolFleet.Run;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PoolLimitsTest {
    private static final Share NOTHING = new Share(0, 0);

    @Nested
    class Rush {
        /** The layouts of varas-familia and aftercare-db; statements take 20 ms. */
        @ParameterizedTest
        @CsvSource({"3,20,10", "5,60,30"})
        void shouldServeLongPatienceWithinLimitsWhenRushIsTenfold(
                int slots, int connections, long openMillis) {
            PoolFleet fleet = PoolFleet.of(slots, connections, openMillis, 20);
            Share share = new Share(1, connections / slots);
            List<InstancePool> pools =
                    IntStream.range(0, slots)
                            .mapToObj(i -> fleet.pool("vm-" + i, () -> share))
                            .toList();
            fleet.advance(100);

            List<Run> runs = rush(fleet, pools, 10_000);
            long end = fleet.clock().nanoTime();
            fleet.advance(4_000);

            double capacity = slots * 10_000 / 20.0;
            double onTime = runs.stream().filter(run -> run.isDoneBy(end)).count();
            assertThat(onTime).isGreaterThan(0.9 * capacity);
            assertWithinLimits(fleet, slots, connections);
            Stream<Run> warm = runs.stream().skip(runs.size() / 100);
            assertThat(warm.filter(Run::isRefused)).allMatch(run -> run.heldMillis() == 0);
            assertThat(runs).filteredOn(r -> !r.isRefused()).allMatch(Run::isDoneInTime);
        }

        @Test
        void shouldNotStarveServiceWhenAnotherRushes() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 5));
            ServiceName calm = ServiceName.of("drafts");
            List<Run> calmRuns = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                IntStream.range(0, 10).forEach(n -> fleet.start(pool, 5_000));
                if (i >= 50 && i % 10 == 0) {
                    calmRuns.add(fleet.start(pool, calm, 100));
                }
                fleet.advance(20);
            }
            fleet.advance(200);

            assertThat(calmRuns).allMatch(Run::isDoneInTime);
        }

        private List<Run> rush(PoolFleet fleet, List<InstancePool> pools, long millis) {
            List<Run> runs = new ArrayList<>();
            for (int i = 0; i < millis / 2; i++) {
                long patience = i % 2 == 0 ? 100 : 3_000;
                pools.forEach(pool -> runs.add(fleet.start(pool, patience)));
                fleet.advance(2);
            }
            return runs;
        }
    }

    @Nested
    class Shares {
        @Test
        void shouldStayWithinLimitsWhenVmDiesAndReturns() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            List<Share> shares = new ArrayList<>(List.of(new Share(2, 12), NOTHING));
            InstancePool one = fleet.pool("one", () -> shares.get(0));
            InstancePool mortal = fleet.pool("two", () -> new Share(1, 8));
            load(fleet, 500, one, mortal);
            mortal.close();
            fleet.advance(30);
            shares.set(0, new Share(3, 20));
            load(fleet, 500, one);
            Share before = one.used();
            shares.set(0, new Share(2, 12));

            Supplier<Share> safe = () -> fits(one, 2, 12) ? new Share(1, 8) : NOTHING;
            InstancePool returned = fleet.pool("two", safe);
            load(fleet, 500, one, returned);

            assertThat(before.connections()).isGreaterThan(2);
            assertThat(fits(one, 2, 12)).isTrue();
            assertThat(returned.used().connections()).isPositive();
            assertWithinLimits(fleet, 3, 20);
        }

        @Test
        void shouldCloseIdleConnectionsAtOnceWhenShareShrinks() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            List<Share> share = new ArrayList<>(List.of(new Share(3, 20)));
            InstancePool pool = fleet.pool("one", () -> share.get(0));
            fleet.advance(200);
            int before = fleet.instance().openSessions();
            Run running = fleet.start(pool, 1_000);
            share.set(0, new Share(1, 1));

            fleet.advance(200);

            assertThat(before).isEqualTo(4);
            assertThat(running.isDoneInTime()).isTrue();
            assertThat(fleet.instance().openSessions()).isEqualTo(1);
        }

        private void load(PoolFleet fleet, long millis, InstancePool... pools) {
            for (int i = 0; i < millis; i++) {
                Stream.of(pools).forEach(pool -> fleet.start(pool, 200));
                fleet.advance(1);
            }
        }

        private boolean fits(InstancePool pool, int slots, int connections) {
            Share used = pool.used();
            return used.slots() <= slots && used.connections() <= connections;
        }
    }

    @Nested
    class Refusal {
        @Test
        void shouldRunWithinPatienceWhenInstanceHasNoSlotForAWhile() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 5));
            fleet.advance(100);
            IntStream.range(0, 3).forEach(i -> fleet.instance().takeSlot());
            Run run = fleet.start(pool, 1_000);
            fleet.advance(100);

            fleet.instance().freeSlot();
            fleet.advance(200);

            assertThat(run.isDoneInTime()).isTrue();
            assertThat(fleet.count("carobstage.pool.retries")).isPositive();
        }

        @Test
        void shouldKeepRetriesWithinBudgetWhenInstanceHasNoSlotForLong() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 5));
            fleet.advance(100);
            IntStream.range(0, 3).forEach(i -> fleet.instance().takeSlot());

            for (int i = 0; i < 1_000; i++) {
                fleet.start(pool, 1_000);
                fleet.advance(5);
            }

            double firstTries = fleet.instance().slots().refusals();
            assertThat(fleet.count("carobstage.pool.retries")).isLessThan(0.1 * firstTries + 20);
        }
    }

    @Nested
    class Open {
        @Test
        void shouldServeWaitingStatementWhenFirstOpensFail() {
            PoolFleet fleet = PoolFleet.of(3, 4, 10, 20);
            List<Share> peer = new ArrayList<>(List.of(new Share(3, 4)));
            fleet.pool("peer", () -> peer.get(0));
            fleet.advance(100);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 2));
            Run run = fleet.start(pool, 2_000);
            fleet.advance(200);

            peer.set(0, new Share(1, 1));
            fleet.advance(1_500);

            assertThat(fleet.count("carobstage.pool.open.failures")).isPositive();
            assertThat(run.isDoneInTime()).isTrue();
        }

        @Test
        void shouldHaveConnectionReadyWhenFirstStatementComes() {
            PoolFleet fleet = PoolFleet.of(5, 60, 30, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 12));
            fleet.advance(100);

            Run run = fleet.start(pool, 100);
            fleet.advance(100);

            assertThat(run.heldMillis()).isEqualTo(22);
        }

        @Test
        void shouldRefuseAtOnceWhenInstanceHasBeenUnreachable() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 5));
            fleet.faults().freeze(fleet.group().spec().instances().get(0).id(), true);
            fleet.advance(3_000);

            Run run = fleet.start(pool, 5_000);

            assertThat(run.isRefused()).isTrue();
            assertThat(run.heldMillis()).isZero();
        }
    }

    @Nested
    class Caller {
        @Test
        void shouldNotLeakSlotOrConnectionWhenCallersGo() {
            PoolFleet fleet = PoolFleet.of(3, 20, 10, 20);
            InstancePool pool = fleet.pool("one", () -> new Share(1, 5));
            fleet.advance(100);
            List<Run> gone = IntStream.range(0, 10).mapToObj(i -> fleet.start(pool, 900)).toList();
            gone.stream().skip(1).forEach(run -> run.grant().cancel(false));
            fleet.advance(30);

            Run run = fleet.start(pool, 30);
            fleet.advance(100);

            assertThat(run.isDoneInTime()).isTrue();
            assertThat(pool.load()).isZero();
            assertThat(pool.used().connections()).isEqualTo(fleet.instance().openSessions());
        }
    }

    private static void assertWithinLimits(PoolFleet fleet, int slots, int connections) {
        assertThat(fleet.instance().slots().peak()).isLessThanOrEqualTo(slots);
        assertThat(fleet.instance().connections().peak()).isLessThanOrEqualTo(connections);
        assertThat(fleet.instance().slots().refusals()).isZero();
        assertThat(fleet.instance().connections().refusals()).isZero();
    }
}
