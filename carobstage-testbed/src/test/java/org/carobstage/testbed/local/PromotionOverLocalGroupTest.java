package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.testbed.local.FailoverFixture.Acknowledged;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromotionOverLocalGroupTest {
    private static final Duration WARM_UP = Duration.ofMillis(300);
    private static final Duration FAILOVER = Duration.ofSeconds(3);

    @Nested
    class FreshGroup {
        @Test
        void shouldElectOnePrimaryWhenNoInstanceHasOne() {
            FailoverFixture fixture = FailoverFixture.of(1, "one", "two", "three");

            assertThat(fixture.primary("one")).isEqualTo(fixture.primary("two"));
            assertThat(fixture.count(EventCode.PROMOTION_COMPLETED)).isOne();
        }
    }

    @Nested
    class Kill {
        @Test
        void shouldPromoteWithinASecondWhenPrimaryIsKilled() {
            List<Long> gaps = new ArrayList<>();
            for (int seed = 1; seed <= 20; seed++) {
                gaps.add(gapMillisAfterKill(seed));
            }
            Collections.sort(gaps);
            System.out.println("failover gaps in ms over 20 kills: " + gaps);

            assertThat(gaps.get(gaps.size() / 2)).isLessThanOrEqualTo(500);
            assertThat(gaps.get(gaps.size() - 1)).isLessThanOrEqualTo(1_000);
        }

        private long gapMillisAfterKill(int seed) {
            FailoverFixture fixture = FailoverFixture.of(seed, "one", "two", "three");
            InstanceId old = fixture.primary("one");
            fixture.startWriters();
            fixture.run(WARM_UP.plusMillis(7L * seed));
            fixture.group.faults().freeze(old, true);
            fixture.run(FAILOVER);

            assertNothingLost(fixture, old);
            return gapMillis(fixture, old);
        }
    }

    @Nested
    class Cut {
        @Test
        void shouldPromoteWithinFiveSecondsWhenPrimaryIsCutWhileWritesGoOn() {
            FailoverFixture fixture = writing(3);
            InstanceId old = fixture.primary("one");
            fixture.group.faults().cut(old, true);
            fixture.run(FAILOVER);

            assertNothingLost(fixture, old);
            assertThat(gapMillis(fixture, old)).isLessThanOrEqualTo(5_000);
        }

        @Test
        void shouldDropUnacknowledgedWritesWhenOldPrimaryComesBack() {
            FailoverFixture fixture = writing(4);
            InstanceId old = fixture.primary("one");
            fixture.group.faults().cut(old, true);
            fixture.run(FAILOVER);
            fixture.group.faults().cut(old, false);
            fixture.run(FAILOVER);

            assertThat(fixture.rowsAt(old)).containsAll(earlier(fixture));
            assertThat(fixture.group.instance(old).standing().primary()).isFalse();
        }
    }

    @Nested
    class NoFlap {
        @Test
        void shouldNotPromoteWhenOneVmLosesItsLinkToThePrimary() {
            FailoverFixture fixture = writing(5);
            VmId one = VmId.of("one");
            fixture.group.faults().sever(one, fixture.primary("one"), true);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenVmIsIsolated() {
            FailoverFixture fixture = writing(6);
            fixture.group
                    .spec()
                    .instances()
                    .forEach(i -> fixture.group.faults().sever(VmId.of("two"), i.id(), true));

            assertNoPromotion(fixture);
            assertThat(fixture.count(EventCode.GROUP_UNREACHABLE)).isOne();
        }

        @Test
        void shouldNotPromoteWhenOpenConnectionsGoSilent() {
            FailoverFixture fixture = writing(7);
            fixture.group.faults().silenceOpenConnections();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenAStatementIsNotAnswered() {
            FailoverFixture fixture = writing(8);
            fixture.group.faults().loseAnswers(1);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenReplicasAreFarBehind() {
            FailoverFixture fixture = FailoverFixture.lagging(3_000, "one", "two");
            fixture.startWriters();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenOneReplicaFreezes() {
            FailoverFixture fixture = writing(9);
            InstanceId primary = fixture.primary("one");
            fixture.group.spec().instances().stream()
                    .filter(i -> !i.id().equals(primary))
                    .limit(1)
                    .forEach(i -> fixture.group.faults().freeze(i.id(), true));

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenVmWasPaused() {
            FailoverFixture fixture = writing(10);
            fixture.vms.get(VmId.of("two")).pause();
            fixture.run(FAILOVER);
            fixture.vms.get(VmId.of("two")).resume();

            assertNoPromotion(fixture);
            assertThat(fixture.count(EventCode.PAUSE_NOTICED)).isOne();
        }

        private void assertNoPromotion(FailoverFixture fixture) {
            long before = fixture.count(EventCode.PROMOTION_STARTED);
            fixture.run(FAILOVER.plusSeconds(3));

            assertThat(before).isOne();
            assertThat(fixture.count(EventCode.PROMOTION_STARTED)).isEqualTo(before);
        }
    }

    @Nested
    class Together {
        @Test
        void shouldElectOnePrimaryWhenAllVmsProposeAtOnce() {
            for (int seed = 1; seed <= 10; seed++) {
                FailoverFixture fixture = FailoverFixture.unranked(seed, "one", "two", "three");
                fixture.startWriters();
                fixture.run(WARM_UP);
                InstanceId old = fixture.primary("one");
                fixture.group.faults().freeze(old, true);
                fixture.run(FAILOVER);

                assertNothingLost(fixture, old);
                assertThat(gapMillis(fixture, old)).isLessThanOrEqualTo(5_000);
            }
        }

        @Test
        void shouldPromoteWhenAnotherInstanceFailsInMidPromotionAndTheFirstComesBack() {
            for (int delay = 0; delay < 8; delay++) {
                FailoverFixture fixture = writing(20 + delay);
                InstanceId old = fixture.primary("one");
                fixture.group.faults().freeze(old, true);
                while (fixture.count(EventCode.PROMOTION_STARTED) < 2) {
                    fixture.run(Duration.ofMillis(1));
                }
                fixture.run(Duration.ofMillis(delay));
                InstanceId second = other(fixture, old);
                fixture.group.faults().freeze(second, true);
                fixture.run(FAILOVER);
                fixture.group.faults().freeze(old, false);
                fixture.run(FAILOVER);

                InstanceId next = fixture.primary("one");
                assertThat(next).isNotEqualTo(second);
                assertThat(fixture.rowsAt(next)).containsAll(fixture.acknowledgedRows());
                assertThat(fixture.lastAcknowledgedNanos())
                        .isGreaterThan(fixture.clock.nanoTime() - Duration.ofSeconds(1).toNanos());
            }
        }

        @Test
        void shouldNotAcknowledgeFromOldPrimaryWhenVmWakesUpAfterPromotion() {
            FailoverFixture fixture = writing(11);
            InstanceId old = fixture.primary("one");
            fixture.vms.get(VmId.of("three")).pause();
            fixture.run(Duration.ofMillis(5));
            fixture.group.faults().cut(old, true);
            fixture.run(FAILOVER);
            fixture.vms.get(VmId.of("three")).resume();
            fixture.run(FAILOVER);

            assertNothingLost(fixture, old);
        }
    }

    @Nested
    class Switch {
        @Test
        void shouldCostCallersLessThanThreeHundredMillisWhenOrdered() {
            FailoverFixture fixture = writing(12);
            InstanceId old = fixture.primary("one");
            InstanceId next = other(fixture, old);
            var done = fixture.view("one").switchPrimary(next).toCompletableFuture();
            fixture.run(FAILOVER);
            System.out.println("gap of an ordered switch in ms: " + gapMillis(fixture, old));

            assertThat(done).isCompletedWithValue(true);
            assertThat(fixture.primary("two")).isEqualTo(next);
            assertNothingLost(fixture, old);
            assertThat(gapMillis(fixture, old)).isLessThan(300);
        }
    }

    private static FailoverFixture writing(long seed) {
        FailoverFixture fixture = FailoverFixture.of(seed, "one", "two", "three");
        fixture.startWriters();
        fixture.run(WARM_UP);
        return fixture;
    }

    private static InstanceId other(FailoverFixture fixture, InstanceId not) {
        return fixture.group.spec().instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !id.equals(not))
                .findFirst()
                .orElseThrow();
    }

    /** The rows acknowledged long enough ago to be everywhere. */
    private static List<Integer> earlier(FailoverFixture fixture) {
        long until = fixture.clock.nanoTime() - Duration.ofSeconds(1).toNanos();
        return fixture.acknowledged.stream()
                .filter(a -> a.nanos() < until)
                .map(Acknowledged::row)
                .toList();
    }

    static long gapMillis(FailoverFixture fixture, InstanceId old) {
        long last = -1;
        for (Acknowledged a : fixture.acknowledged) {
            if (a.by().equals(old)) {
                last = a.nanos();
            } else {
                return Duration.ofNanos(a.nanos() - last).toMillis();
            }
        }
        throw new AssertionError("no write was acknowledged by another primary");
    }

    static void assertNothingLost(FailoverFixture fixture, InstanceId old) {
        InstanceId next = fixture.primary("one");
        Term term = fixture.view("one").view().term();

        assertThat(next).isNotEqualTo(old);
        assertThat(fixture.rowsAt(next)).containsAll(fixture.acknowledgedRows());
        assertThat(fixture.acknowledged)
                .filteredOn(a -> a.position().term().equals(term))
                .allMatch(a -> a.by().equals(next));
        long replaced = fixture.completedNanos.get(1);
        assertThat(fixture.acknowledged)
                .filteredOn(a -> a.nanos() >= replaced)
                .noneMatch(a -> a.by().equals(old));
    }
}
