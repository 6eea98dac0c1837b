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
    private static final Quota NO_QUOTA = new Quota(0, 0);

    @Nested
    class Overload {
        /** Limits and opening delays of varas-familia and aftercare-db; statements take 20 ms. */
        @ParameterizedTest
        @CsvSource({"3,20,10", "5,60,30"})
        void shouldServeLongPatienceWithinLimitsWhenLoadIsTenTimesCapacity(
                int slots, int connections, long openMillis) {
            PoolFixture fixture = PoolFixture.of(slots, connections, openMillis, 20);
            Quota quota = new Quota(1, connections / slots);
            List<InstancePool> pools =
                    IntStream.range(0, slots)
                            .mapToObj(i -> fixture.createPool("vm-" + i, () -> quota))
                            .toList();
            fixture.advanceMillis(100);

            List<StatementRun> runs = overload(fixture, pools, 10_000);
            long endNanos = fixture.clock().nanoTime();
            fixture.advanceMillis(4_000);

            double capacity = slots * 10_000 / 20.0;
            double doneInTime = runs.stream().filter(run -> run.isDoneBy(endNanos)).count();
            assertThat(doneInTime).isGreaterThan(0.9 * capacity);
            assertWithinLimits(fixture, slots, connections);
            Stream<StatementRun> afterWarmUp = runs.stream().skip(runs.size() / 100);
            assertThat(afterWarmUp.filter(StatementRun::isRefused))
                    .allMatch(run -> run.responseTimeMillis() == 0);
            assertThat(runs)
                    .filteredOn(r -> !r.isRefused())
                    .allMatch(StatementRun::isDoneWithinPatience);
        }

        @Test
        void shouldNotStarveServiceWhenAnotherOverloadsPool() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 5));
            ServiceName otherService = ServiceName.of("drafts");
            List<StatementRun> otherRuns = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                IntStream.range(0, 10).forEach(n -> fixture.startStatement(pool, 5_000));
                if (i >= 50 && i % 10 == 0) {
                    otherRuns.add(fixture.startStatement(pool, otherService, 100));
                }
                fixture.advanceMillis(20);
            }
            fixture.advanceMillis(200);

            assertThat(otherRuns).allMatch(StatementRun::isDoneWithinPatience);
        }

        private List<StatementRun> overload(
                PoolFixture fixture, List<InstancePool> pools, long millis) {
            List<StatementRun> runs = new ArrayList<>();
            for (int i = 0; i < millis / 2; i++) {
                long patienceMillis = i % 2 == 0 ? 100 : 3_000;
                pools.forEach(pool -> runs.add(fixture.startStatement(pool, patienceMillis)));
                fixture.advanceMillis(2);
            }
            return runs;
        }
    }

    @Nested
    class QuotaChange {
        @Test
        void shouldStayWithinLimitsWhenVmFailsAndRestarts() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            List<Quota> quotas = new ArrayList<>(List.of(new Quota(2, 12), NO_QUOTA));
            InstancePool surviving = fixture.createPool("one", () -> quotas.get(0));
            InstancePool failing = fixture.createPool("two", () -> new Quota(1, 8));
            startStatements(fixture, 500, surviving, failing);
            failing.close();
            fixture.advanceMillis(30);
            quotas.set(0, new Quota(3, 20));
            startStatements(fixture, 500, surviving);
            Quota before = surviving.usage();
            quotas.set(0, new Quota(2, 12));

            Supplier<Quota> restartedVmQuota =
                    () -> isUsageWithin(surviving, 2, 12) ? new Quota(1, 8) : NO_QUOTA;
            InstancePool restarted = fixture.createPool("two", restartedVmQuota);
            startStatements(fixture, 500, surviving, restarted);

            assertThat(before.connections()).isGreaterThan(2);
            assertThat(isUsageWithin(surviving, 2, 12)).isTrue();
            assertThat(restarted.usage().connections()).isPositive();
            assertWithinLimits(fixture, 3, 20);
        }

        @Test
        void shouldCloseIdleConnectionsAtOnceWhenQuotaShrinks() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            List<Quota> quota = new ArrayList<>(List.of(new Quota(3, 20)));
            InstancePool pool = fixture.createPool("one", () -> quota.get(0));
            fixture.advanceMillis(200);
            int before = fixture.instance().openSessionCount();
            StatementRun running = fixture.startStatement(pool, 1_000);
            quota.set(0, new Quota(1, 1));

            fixture.advanceMillis(200);

            assertThat(before).isEqualTo(4);
            assertThat(running.isDoneWithinPatience()).isTrue();
            assertThat(fixture.instance().openSessionCount()).isEqualTo(1);
        }

        @Test
        void shouldReportUnreachableAtOnceWhenQuotaHasNoSlot() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            List<Quota> quota = new ArrayList<>(List.of(NO_QUOTA));
            InstancePool pool = fixture.createPool("one", () -> quota.get(0));
            StatementRun withoutSlot = fixture.startStatement(pool, 1_000);
            quota.set(0, new Quota(1, 5));
            StatementRun withSlot = fixture.startStatement(pool, 1_000);
            fixture.advanceMillis(100);

            assertThat(withoutSlot.acquireResult().join().status())
                    .isEqualTo(AcquireResult.Status.UNREACHABLE);
            assertThat(withSlot.isDoneWithinPatience()).isTrue();
        }

        private void startStatements(PoolFixture fixture, long millis, InstancePool... pools) {
            for (int i = 0; i < millis; i++) {
                Stream.of(pools).forEach(pool -> fixture.startStatement(pool, 200));
                fixture.advanceMillis(1);
            }
        }

        private boolean isUsageWithin(InstancePool pool, int slots, int connections) {
            Quota usage = pool.usage();
            return usage.slots() <= slots && usage.connections() <= connections;
        }
    }

    @Nested
    class SlotRefusal {
        @Test
        void shouldRetryWithinPatienceWhenInstanceTemporarilyHasNoSlot() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 5));
            fixture.advanceMillis(100);
            IntStream.range(0, 3).forEach(i -> fixture.instance().tryAcquireSlot());
            StatementRun run = fixture.startStatement(pool, 1_000);
            fixture.advanceMillis(100);

            fixture.instance().releaseSlot();
            fixture.advanceMillis(200);

            assertThat(run.isDoneWithinPatience()).isTrue();
            assertThat(fixture.counterValue("carobstage.pool.retries")).isPositive();
        }

        @Test
        void shouldKeepRetriesWithinBudgetWhenInstancePermanentlyHasNoSlot() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 5));
            fixture.advanceMillis(100);
            IntStream.range(0, 3).forEach(i -> fixture.instance().tryAcquireSlot());

            for (int i = 0; i < 1_000; i++) {
                fixture.startStatement(pool, 1_000);
                fixture.advanceMillis(5);
            }

            double refusedAttempts = fixture.instance().slotLimiter().refusalCount();
            assertThat(fixture.counterValue("carobstage.pool.retries"))
                    .isLessThan(0.1 * refusedAttempts + 20);
        }
    }

    @Nested
    class OpenConnection {
        @Test
        void shouldServeWaitingStatementWhenFirstConnectionsFailToOpen() {
            PoolFixture fixture = PoolFixture.of(3, 4, 10, 20);
            List<Quota> peerQuotas = new ArrayList<>(List.of(new Quota(3, 4)));
            fixture.createPool("peer", () -> peerQuotas.get(0));
            fixture.advanceMillis(100);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 2));
            StatementRun run = fixture.startStatement(pool, 2_000);
            fixture.advanceMillis(200);

            peerQuotas.set(0, new Quota(1, 1));
            fixture.advanceMillis(1_500);

            assertThat(fixture.counterValue("carobstage.pool.open.failures")).isPositive();
            assertThat(run.isDoneWithinPatience()).isTrue();
        }

        @Test
        void shouldHaveOpenConnectionWhenFirstStatementArrives() {
            PoolFixture fixture = PoolFixture.of(5, 60, 30, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 12));
            fixture.advanceMillis(100);

            StatementRun run = fixture.startStatement(pool, 100);
            fixture.advanceMillis(100);

            assertThat(run.responseTimeMillis()).isEqualTo(22);
        }

        @Test
        void shouldRefuseAtOnceWhenInstanceHasBeenUnreachable() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 5));
            fixture.faultInjector().setFrozen(fixture.group().spec().instances().get(0).id(), true);
            fixture.advanceMillis(3_000);

            StatementRun run = fixture.startStatement(pool, 5_000);

            assertThat(run.isRefused()).isTrue();
            assertThat(run.responseTimeMillis()).isZero();
        }
    }

    @Nested
    class Cancellation {
        @Test
        void shouldNotLeakSlotOrConnectionWhenCallersCancel() {
            PoolFixture fixture = PoolFixture.of(3, 20, 10, 20);
            InstancePool pool = fixture.createPool("one", () -> new Quota(1, 5));
            fixture.advanceMillis(100);
            List<StatementRun> runs =
                    IntStream.range(0, 10)
                            .mapToObj(i -> fixture.startStatement(pool, 900))
                            .toList();
            runs.stream().skip(1).forEach(run -> run.acquireResult().cancel(false));
            fixture.advanceMillis(30);

            StatementRun run = fixture.startStatement(pool, 30);
            fixture.advanceMillis(100);

            assertThat(run.isDoneWithinPatience()).isTrue();
            assertThat(pool.outstandingCount()).isZero();
            assertThat(pool.usage().connections()).isEqualTo(fixture.instance().openSessionCount());
        }
    }

    private static void assertWithinLimits(PoolFixture fixture, int slots, int connections) {
        assertThat(fixture.instance().slotLimiter().peakCount()).isLessThanOrEqualTo(slots);
        assertThat(fixture.instance().connectionLimiter().peakCount())
                .isLessThanOrEqualTo(connections);
        assertThat(fixture.instance().slotLimiter().refusalCount()).isZero();
        assertThat(fixture.instance().connectionLimiter().refusalCount()).isZero();
    }
}
