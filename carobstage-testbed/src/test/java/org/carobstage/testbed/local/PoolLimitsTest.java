package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.model.ServiceName;
import org.carobstage.pool.AcquireResult;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.Quota;
import org.carobstage.testbed.local.PoolFixture.StatementRun;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PoolLimitsTest {
    private static final Quota NOTHING = new Quota(0, 0);

    @Nested
    class Rush {
        /** The layouts of varas-familia and aftercare-db; statements take 20 ms. */
        @ParameterizedTest
        @CsvSource({"3,20,10", "5,60,30"})
        void shouldServeLongPatienceWithinLimitsWhenRushIsTenfold(
                int slots, int connections, long openMillis) {
            PoolFixture fleet = PoolFixture.of(slots, connections, openMillis, 20);
            Quota share = new Quota(1, connections / slots);
            List<InstancePool> pools =
                    IntStream.range(0, slots)
                            .mapToObj(i -> fleet.createPool("vm-" + i, () -> share))
                            .toList();
            fleet.advanceMillis(100);

            List<StatementRun> runs = rush(fleet, pools, 10_000);
            long end = fleet.clock().nanoTime();
            fleet.advanceMillis(4_000);

            double capacity = slots * 10_000 / 20.0;
            double onTime = runs.stream().filter(run -> run.isDoneBy(end)).count();
            assertThat(onTime).isGreaterThan(0.9 * capacity);
            assertWithinLimits(fleet, slots, connections);
            Stream<StatementRun> warm = runs.stream().skip(runs.size() / 100);
            assertThat(warm.filter(StatementRun::isRefused))
                    .allMatch(run -> run.responseTimeMillis() == 0);
            assertThat(runs).filteredOn(r -> !r.isRefused()).allMatch(StatementRun::isDoneInTime);
        }

        @Test
        void shouldNotStarveServiceWhenAnotherRushes() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 5));
            ServiceName calm = ServiceName.of("drafts");
            List<StatementRun> calmRuns = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                IntStream.range(0, 10).forEach(n -> fleet.startStatement(pool, 5_000));
                if (i >= 50 && i % 10 == 0) {
                    calmRuns.add(fleet.startStatement(pool, calm, 100));
                }
                fleet.advanceMillis(20);
            }
            fleet.advanceMillis(200);

            assertThat(calmRuns).allMatch(StatementRun::isDoneInTime);
        }

        private List<StatementRun> rush(PoolFixture fleet, List<InstancePool> pools, long millis) {
            List<StatementRun> runs = new ArrayList<>();
            for (int i = 0; i < millis / 2; i++) {
                long patience = i % 2 == 0 ? 100 : 3_000;
                pools.forEach(pool -> runs.add(fleet.startStatement(pool, patience)));
                fleet.advanceMillis(2);
            }
            return runs;
        }
    }

    @Nested
    class Shares {
        @Test
        void shouldStayWithinLimitsWhenVmDiesAndReturns() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            List<Quota> shares = new ArrayList<>(List.of(new Quota(2, 12), NOTHING));
            InstancePool one = fleet.createPool("one", () -> shares.get(0));
            InstancePool mortal = fleet.createPool("two", () -> new Quota(1, 8));
            load(fleet, 500, one, mortal);
            mortal.close();
            fleet.advanceMillis(30);
            shares.set(0, new Quota(3, 20));
            load(fleet, 500, one);
            Quota before = one.usage();
            shares.set(0, new Quota(2, 12));

            Supplier<Quota> safe = () -> fits(one, 2, 12) ? new Quota(1, 8) : NOTHING;
            InstancePool returned = fleet.createPool("two", safe);
            load(fleet, 500, one, returned);

            assertThat(before.connections()).isGreaterThan(2);
            assertThat(fits(one, 2, 12)).isTrue();
            assertThat(returned.usage().connections()).isPositive();
            assertWithinLimits(fleet, 3, 20);
        }

        @Test
        void shouldCloseIdleConnectionsAtOnceWhenShareShrinks() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            List<Quota> share = new ArrayList<>(List.of(new Quota(3, 20)));
            InstancePool pool = fleet.createPool("one", () -> share.get(0));
            fleet.advanceMillis(200);
            int before = fleet.instance().openSessionCount();
            StatementRun running = fleet.startStatement(pool, 1_000);
            share.set(0, new Quota(1, 1));

            fleet.advanceMillis(200);

            assertThat(before).isEqualTo(4);
            assertThat(running.isDoneInTime()).isTrue();
            assertThat(fleet.instance().openSessionCount()).isEqualTo(1);
        }

        @Test
        void shouldSendElsewhereAtOnceWhenShareHasNoSlot() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            List<Quota> share = new ArrayList<>(List.of(NOTHING));
            InstancePool pool = fleet.createPool("one", () -> share.get(0));
            StatementRun without = fleet.startStatement(pool, 1_000);
            share.set(0, new Quota(1, 5));
            StatementRun with = fleet.startStatement(pool, 1_000);
            fleet.advanceMillis(100);

            assertThat(without.grant().join().status()).isEqualTo(AcquireResult.Status.UNREACHABLE);
            assertThat(with.isDoneInTime()).isTrue();
        }

        private void load(PoolFixture fleet, long millis, InstancePool... pools) {
            for (int i = 0; i < millis; i++) {
                Stream.of(pools).forEach(pool -> fleet.startStatement(pool, 200));
                fleet.advanceMillis(1);
            }
        }

        private boolean fits(InstancePool pool, int slots, int connections) {
            Quota used = pool.usage();
            return used.slots() <= slots && used.connections() <= connections;
        }
    }

    @Nested
    class Refusal {
        @Test
        void shouldRunWithinPatienceWhenInstanceHasNoSlotForAWhile() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 5));
            fleet.advanceMillis(100);
            IntStream.range(0, 3).forEach(i -> fleet.instance().tryAcquireSlot());
            StatementRun run = fleet.startStatement(pool, 1_000);
            fleet.advanceMillis(100);

            fleet.instance().releaseSlot();
            fleet.advanceMillis(200);

            assertThat(run.isDoneInTime()).isTrue();
            assertThat(fleet.counterValue("carobstage.pool.retries")).isPositive();
        }

        @Test
        void shouldKeepRetriesWithinBudgetWhenInstanceHasNoSlotForLong() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 5));
            fleet.advanceMillis(100);
            IntStream.range(0, 3).forEach(i -> fleet.instance().tryAcquireSlot());

            for (int i = 0; i < 1_000; i++) {
                fleet.startStatement(pool, 1_000);
                fleet.advanceMillis(5);
            }

            double firstTries = fleet.instance().slotLimiter().refusalCount();
            assertThat(fleet.counterValue("carobstage.pool.retries"))
                    .isLessThan(0.1 * firstTries + 20);
        }
    }

    @Nested
    class Open {
        @Test
        void shouldServeWaitingStatementWhenFirstOpensFail() {
            PoolFixture fleet = PoolFixture.of(3, 4, 10, 20);
            List<Quota> peer = new ArrayList<>(List.of(new Quota(3, 4)));
            fleet.createPool("peer", () -> peer.get(0));
            fleet.advanceMillis(100);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 2));
            StatementRun run = fleet.startStatement(pool, 2_000);
            fleet.advanceMillis(200);

            peer.set(0, new Quota(1, 1));
            fleet.advanceMillis(1_500);

            assertThat(fleet.counterValue("carobstage.pool.open.failures")).isPositive();
            assertThat(run.isDoneInTime()).isTrue();
        }

        @Test
        void shouldHaveConnectionReadyWhenFirstStatementComes() {
            PoolFixture fleet = PoolFixture.of(5, 60, 30, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 12));
            fleet.advanceMillis(100);

            StatementRun run = fleet.startStatement(pool, 100);
            fleet.advanceMillis(100);

            assertThat(run.responseTimeMillis()).isEqualTo(22);
        }

        @Test
        void shouldRefuseAtOnceWhenInstanceHasBeenUnreachable() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 5));
            fleet.faultInjector().setFrozen(fleet.group().spec().instances().get(0).id(), true);
            fleet.advanceMillis(3_000);

            StatementRun run = fleet.startStatement(pool, 5_000);

            assertThat(run.isRefused()).isTrue();
            assertThat(run.responseTimeMillis()).isZero();
        }
    }

    @Nested
    class Caller {
        @Test
        void shouldNotLeakSlotOrConnectionWhenCallersGo() {
            PoolFixture fleet = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fleet.createPool("one", () -> new Quota(1, 5));
            fleet.advanceMillis(100);
            List<StatementRun> gone =
                    IntStream.range(0, 10).mapToObj(i -> fleet.startStatement(pool, 900)).toList();
            gone.stream().skip(1).forEach(run -> run.grant().cancel(false));
            fleet.advanceMillis(30);

            StatementRun run = fleet.startStatement(pool, 30);
            fleet.advanceMillis(100);

            assertThat(run.isDoneInTime()).isTrue();
            assertThat(pool.outstandingCount()).isZero();
            assertThat(pool.usage().connections()).isEqualTo(fleet.instance().openSessionCount());
        }
    }

    private static void assertWithinLimits(PoolFixture fleet, int slots, int connections) {
        assertThat(fleet.instance().slotLimiter().peakCount()).isLessThanOrEqualTo(slots);
        assertThat(fleet.instance().connectionLimiter().peakCount())
                .isLessThanOrEqualTo(connections);
        assertThat(fleet.instance().slotLimiter().refusalCount()).isZero();
        assertThat(fleet.instance().connectionLimiter().refusalCount()).isZero();
    }
}
