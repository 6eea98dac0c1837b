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
import org.carobstage.testbed.local.FailoverFixture.AcknowledgedWrite;
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

            assertThat(fixture.primarySeenBy("one")).isEqualTo(fixture.primarySeenBy("two"));
            assertThat(fixture.eventCount(EventCode.PROMOTION_COMPLETED)).isOne();
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
            InstanceId old = fixture.primarySeenBy("one");
            fixture.startWriters();
            fixture.advance(WARM_UP.plusMillis(7L * seed));
            fixture.group.faultInjector().setFrozen(old, true);
            fixture.advance(FAILOVER);

            assertNothingLost(fixture, old);
            return gapMillis(fixture, old);
        }
    }

    @Nested
    class Cut {
        @Test
        void shouldPromoteWithinFiveSecondsWhenPrimaryIsCutWhileWritesGoOn() {
            FailoverFixture fixture = writing(3);
            InstanceId old = fixture.primarySeenBy("one");
            fixture.group.faultInjector().setIsolatedFromGroup(old, true);
            fixture.advance(FAILOVER);

            assertNothingLost(fixture, old);
            System.out.println("gap of a cut in ms: " + gapMillis(fixture, old));
            assertThat(gapMillis(fixture, old)).isLessThanOrEqualTo(5_000);
        }

        @Test
        void shouldDropUnacknowledgedWritesWhenOldPrimaryComesBack() {
            FailoverFixture fixture = writing(4);
            InstanceId old = fixture.primarySeenBy("one");
            fixture.group.faultInjector().setIsolatedFromGroup(old, true);
            fixture.advance(FAILOVER);
            fixture.group.faultInjector().setIsolatedFromGroup(old, false);
            fixture.advance(FAILOVER);

            assertThat(fixture.rowsAt(old)).containsAll(earlier(fixture));
            assertThat(fixture.group.instance(old).status().isPrimary()).isFalse();
        }
    }

    @Nested
    class NoFlap {
        @Test
        void shouldNotPromoteWhenOneVmLosesItsLinkToThePrimary() {
            FailoverFixture fixture = writing(5);
            VmId one = VmId.of("one");
            fixture.group.faultInjector().setPartitioned(one, fixture.primarySeenBy("one"), true);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenVmIsIsolated() {
            FailoverFixture fixture = writing(6);
            fixture.group
                    .spec()
                    .instances()
                    .forEach(
                            i ->
                                    fixture.group
                                            .faultInjector()
                                            .setPartitioned(VmId.of("two"), i.id(), true));

            assertNoPromotion(fixture);
            assertThat(fixture.eventCount(EventCode.GROUP_UNREACHABLE)).isOne();
        }

        @Test
        void shouldNotPromoteWhenOpenConnectionsGoSilent() {
            FailoverFixture fixture = writing(7);
            fixture.group.faultInjector().stallOpenConnections();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenAStatementIsNotAnswered() {
            FailoverFixture fixture = writing(8);
            fixture.group.faultInjector().dropNextResponses(1);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenReplicasAreFarBehind() {
            FailoverFixture fixture = FailoverFixture.withReplicationLag(3_000, "one", "two");
            fixture.startWriters();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenOneReplicaFreezes() {
            FailoverFixture fixture = writing(9);
            InstanceId primary = fixture.primarySeenBy("one");
            fixture.group.spec().instances().stream()
                    .filter(i -> !i.id().equals(primary))
                    .limit(1)
                    .forEach(i -> fixture.group.faultInjector().setFrozen(i.id(), true));

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenVmWasPaused() {
            FailoverFixture fixture = writing(10);
            fixture.vms.get(VmId.of("two")).pause();
            fixture.advance(FAILOVER);
            fixture.vms.get(VmId.of("two")).resume();

            assertNoPromotion(fixture);
            assertThat(fixture.eventCount(EventCode.PAUSE_NOTICED)).isOne();
        }

        private void assertNoPromotion(FailoverFixture fixture) {
            long before = fixture.eventCount(EventCode.PROMOTION_STARTED);
            fixture.advance(FAILOVER.plusSeconds(3));

            assertThat(before).isOne();
            assertThat(fixture.eventCount(EventCode.PROMOTION_STARTED)).isEqualTo(before);
        }
    }

    @Nested
    class Together {
        @Test
        void shouldElectOnePrimaryWhenAllVmsProposeAtOnce() {
            for (int seed = 1; seed <= 10; seed++) {
                FailoverFixture fixture =
                        FailoverFixture.withoutProposerRank(seed, "one", "two", "three");
                fixture.startWriters();
                fixture.advance(WARM_UP);
                InstanceId old = fixture.primarySeenBy("one");
                fixture.group.faultInjector().setFrozen(old, true);
                fixture.advance(FAILOVER);

                assertNothingLost(fixture, old);
                assertThat(gapMillis(fixture, old)).isLessThanOrEqualTo(5_000);
            }
        }

        @Test
        void shouldPromoteWhenAnotherInstanceFailsInMidPromotionAndTheFirstComesBack() {
            for (int delay = 0; delay < 8; delay++) {
                FailoverFixture fixture = writing(20 + delay);
                InstanceId old = fixture.primarySeenBy("one");
                fixture.group.faultInjector().setFrozen(old, true);
                while (fixture.eventCount(EventCode.PROMOTION_STARTED) < 2) {
                    fixture.advance(Duration.ofMillis(1));
                }
                fixture.advance(Duration.ofMillis(delay));
                InstanceId second = other(fixture, old);
                fixture.group.faultInjector().setFrozen(second, true);
                fixture.advance(FAILOVER);
                fixture.group.faultInjector().setFrozen(old, false);
                fixture.advance(FAILOVER);

                InstanceId next = fixture.primarySeenBy("one");
                assertThat(next).isNotEqualTo(second);
                assertThat(fixture.rowsAt(next)).containsAll(fixture.acknowledgedRows());
                assertThat(fixture.lastAcknowledgedNanos())
                        .isGreaterThan(fixture.clock.nanoTime() - Duration.ofSeconds(1).toNanos());
            }
        }

        @Test
        void shouldNotAcknowledgeFromOldPrimaryWhenVmWakesUpAfterPromotion() {
            FailoverFixture fixture = writing(11);
            InstanceId old = fixture.primarySeenBy("one");
            fixture.vms.get(VmId.of("three")).pause();
            fixture.advance(Duration.ofMillis(5));
            fixture.group.faultInjector().setIsolatedFromGroup(old, true);
            fixture.advance(FAILOVER);
            fixture.vms.get(VmId.of("three")).resume();
            fixture.advance(FAILOVER);

            assertNothingLost(fixture, old);
        }
    }

    @Nested
    class Watch {
        @Test
        void shouldAskEachInstanceAboutOnceASecondWhenNoStatementsCome() {
            FailoverFixture fixture = FailoverFixture.of(13, "one");
            fixture.advance(FAILOVER);
            long before = fixture.group.statusRequestCount();
            fixture.advance(Duration.ofSeconds(10));
            long calls = fixture.group.statusRequestCount() - before;
            System.out.println("calls for standings in 10 s of an idle group: " + calls);

            assertThat(calls).isLessThanOrEqualTo(36);
        }

        @Test
        void shouldTellInstanceToFollowWhenItHearsNothingFromThePrimary() {
            FailoverFixture fixture = FailoverFixture.of(14, "one");
            InstanceId lost = other(fixture, fixture.primarySeenBy("one"));
            fixture.advance(FAILOVER);
            fixture.group.setReplicationSource(lost, lost);
            fixture.advance(Duration.ofSeconds(5));

            assertThat(fixture.group.instance(lost).status().primaryContactAgeMillis())
                    .isLessThan(100);
            assertThat(fixture.eventCount(EventCode.PROMOTION_STARTED)).isOne();
        }
    }

    @Nested
    class Switch {
        @Test
        void shouldCostCallersLessThanThreeHundredMillisWhenOrdered() {
            FailoverFixture fixture = writing(12);
            InstanceId old = fixture.primarySeenBy("one");
            InstanceId next = other(fixture, old);
            var done = fixture.groupSeenBy("one").switchPrimary(next).toCompletableFuture();
            fixture.advance(FAILOVER);
            System.out.println("gap of an ordered switch in ms: " + gapMillis(fixture, old));

            assertThat(done).isCompletedWithValue(true);
            assertThat(fixture.primarySeenBy("two")).isEqualTo(next);
            assertNothingLost(fixture, old);
            assertThat(gapMillis(fixture, old)).isLessThan(300);
        }
    }

    private static FailoverFixture writing(long seed) {
        FailoverFixture fixture = FailoverFixture.of(seed, "one", "two", "three");
        fixture.startWriters();
        fixture.advance(WARM_UP);
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
        return fixture.acknowledgedWrites.stream()
                .filter(a -> a.acknowledgedNanos() < until)
                .map(AcknowledgedWrite::row)
                .toList();
    }

    static long gapMillis(FailoverFixture fixture, InstanceId old) {
        long last = -1;
        for (AcknowledgedWrite a : fixture.acknowledgedWrites) {
            if (a.instance().equals(old)) {
                last = a.acknowledgedNanos();
            } else {
                return Duration.ofNanos(a.acknowledgedNanos() - last).toMillis();
            }
        }
        throw new AssertionError("no write was acknowledged by another primary");
    }

    static void assertNothingLost(FailoverFixture fixture, InstanceId old) {
        InstanceId next = fixture.primarySeenBy("one");
        Term term = fixture.groupSeenBy("one").view().highestTerm();

        assertThat(next).isNotEqualTo(old);
        assertThat(fixture.rowsAt(next)).containsAll(fixture.acknowledgedRows());
        assertThat(fixture.acknowledgedWrites)
                .filteredOn(a -> a.position().term().equals(term))
                .allMatch(a -> a.instance().equals(next));
        long replaced = fixture.promotionCompletedNanos.get(1);
        assertThat(fixture.acknowledgedWrites)
                .filteredOn(a -> a.acknowledgedNanos() >= replaced)
                .noneMatch(a -> a.instance().equals(old));
    }
}
