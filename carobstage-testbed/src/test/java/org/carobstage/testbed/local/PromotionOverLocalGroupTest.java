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
    private static final Duration FAILOVER_TIME = Duration.ofSeconds(3);

    @Nested
    class NewGroup {
        @Test
        void shouldElectOnePrimaryWhenGroupHasNone() {
            FailoverFixture fixture = FailoverFixture.of(1, "one", "two", "three");

            assertThat(fixture.primarySeenBy("one")).isEqualTo(fixture.primarySeenBy("two"));
            assertThat(fixture.eventCount(EventCode.PROMOTION_COMPLETED)).isOne();
        }
    }

    @Nested
    class PrimaryCrash {
        @Test
        void shouldPromoteWithinOneSecondWhenPrimaryCrashes() {
            List<Long> gapsMillis = new ArrayList<>();
            for (int seed = 1; seed <= 20; seed++) {
                gapsMillis.add(writeGapMillisAfterCrash(seed));
            }
            Collections.sort(gapsMillis);
            System.out.println("write gaps in ms over 20 primary crashes: " + gapsMillis);

            assertThat(gapsMillis.get(gapsMillis.size() / 2)).isLessThanOrEqualTo(500);
            assertThat(gapsMillis.get(gapsMillis.size() - 1)).isLessThanOrEqualTo(1_000);
        }

        private long writeGapMillisAfterCrash(int seed) {
            FailoverFixture fixture = FailoverFixture.of(seed, "one", "two", "three");
            InstanceId oldPrimary = fixture.primarySeenBy("one");
            fixture.startWriters();
            fixture.advance(WARM_UP.plusMillis(7L * seed));
            fixture.group.faultInjector().setFrozen(oldPrimary, true);
            fixture.advance(FAILOVER_TIME);

            assertNoAcknowledgedWriteLost(fixture, oldPrimary);
            return writeGapMillis(fixture, oldPrimary);
        }
    }

    @Nested
    class PrimaryIsolation {
        @Test
        void shouldPromoteWithinFiveSecondsWhenPrimaryIsIsolatedDuringWrites() {
            FailoverFixture fixture = fixtureWithWriters(3);
            InstanceId oldPrimary = fixture.primarySeenBy("one");
            fixture.group.faultInjector().setIsolatedFromGroup(oldPrimary, true);
            fixture.advance(FAILOVER_TIME);

            assertNoAcknowledgedWriteLost(fixture, oldPrimary);
            System.out.println(
                    "write gap in ms after isolation of the primary: "
                            + writeGapMillis(fixture, oldPrimary));
            assertThat(writeGapMillis(fixture, oldPrimary)).isLessThanOrEqualTo(5_000);
        }

        @Test
        void shouldHoldAcknowledgedWritesAsReplicaWhenFormerPrimaryRejoins() {
            FailoverFixture fixture = fixtureWithWriters(4);
            InstanceId oldPrimary = fixture.primarySeenBy("one");
            fixture.group.faultInjector().setIsolatedFromGroup(oldPrimary, true);
            fixture.advance(FAILOVER_TIME);
            fixture.group.faultInjector().setIsolatedFromGroup(oldPrimary, false);
            fixture.advance(FAILOVER_TIME);

            assertThat(fixture.rowsAt(oldPrimary))
                    .containsAll(rowsAcknowledgedOverASecondAgo(fixture));
            assertThat(fixture.group.instance(oldPrimary).status().isPrimary()).isFalse();
        }
    }

    @Nested
    class NoPromotion {
        @Test
        void shouldNotPromoteWhenOneVmCannotReachPrimary() {
            FailoverFixture fixture = fixtureWithWriters(5);
            VmId one = VmId.of("one");
            fixture.group.faultInjector().setPartitioned(one, fixture.primarySeenBy("one"), true);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenOneVmCannotReachAnyInstance() {
            FailoverFixture fixture = fixtureWithWriters(6);
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
        void shouldNotPromoteWhenOpenConnectionsStopResponding() {
            FailoverFixture fixture = fixtureWithWriters(7);
            fixture.group.faultInjector().stallOpenConnections();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenStatementGetsNoResponse() {
            FailoverFixture fixture = fixtureWithWriters(8);
            fixture.group.faultInjector().dropNextResponses(1);

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenReplicasLagFarBehind() {
            FailoverFixture fixture = FailoverFixture.withReplicationLag(3_000, "one", "two");
            fixture.startWriters();

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenOneReplicaFreezes() {
            FailoverFixture fixture = fixtureWithWriters(9);
            InstanceId primary = fixture.primarySeenBy("one");
            fixture.group.spec().instances().stream()
                    .filter(i -> !i.id().equals(primary))
                    .limit(1)
                    .forEach(i -> fixture.group.faultInjector().setFrozen(i.id(), true));

            assertNoPromotion(fixture);
        }

        @Test
        void shouldNotPromoteWhenVmResumesAfterPause() {
            FailoverFixture fixture = fixtureWithWriters(10);
            fixture.vms.get(VmId.of("two")).pause();
            fixture.advance(FAILOVER_TIME);
            fixture.vms.get(VmId.of("two")).resume();

            assertNoPromotion(fixture);
            assertThat(fixture.eventCount(EventCode.PAUSE_NOTICED)).isOne();
        }

        private void assertNoPromotion(FailoverFixture fixture) {
            long before = fixture.eventCount(EventCode.PROMOTION_STARTED);
            fixture.advance(FAILOVER_TIME.plusSeconds(3));

            assertThat(before).isOne();
            assertThat(fixture.eventCount(EventCode.PROMOTION_STARTED)).isEqualTo(before);
        }
    }

    @Nested
    class ConcurrentEvents {
        @Test
        void shouldElectOnePrimaryWhenAllVmsProposeAtOnce() {
            for (int seed = 1; seed <= 10; seed++) {
                FailoverFixture fixture =
                        FailoverFixture.withoutProposerRank(seed, "one", "two", "three");
                fixture.startWriters();
                fixture.advance(WARM_UP);
                InstanceId oldPrimary = fixture.primarySeenBy("one");
                fixture.group.faultInjector().setFrozen(oldPrimary, true);
                fixture.advance(FAILOVER_TIME);

                assertNoAcknowledgedWriteLost(fixture, oldPrimary);
                assertThat(writeGapMillis(fixture, oldPrimary)).isLessThanOrEqualTo(5_000);
            }
        }

        @Test
        void shouldPromoteWhenSecondInstanceFailsDuringPromotionAndFirstRecovers() {
            for (int delay = 0; delay < 8; delay++) {
                FailoverFixture fixture = fixtureWithWriters(20 + delay);
                InstanceId oldPrimary = fixture.primarySeenBy("one");
                fixture.group.faultInjector().setFrozen(oldPrimary, true);
                while (fixture.eventCount(EventCode.PROMOTION_STARTED) < 2) {
                    fixture.advance(Duration.ofMillis(1));
                }
                fixture.advance(Duration.ofMillis(delay));
                InstanceId secondFailed = instanceOtherThan(fixture, oldPrimary);
                fixture.group.faultInjector().setFrozen(secondFailed, true);
                fixture.advance(FAILOVER_TIME);
                fixture.group.faultInjector().setFrozen(oldPrimary, false);
                fixture.advance(FAILOVER_TIME);

                InstanceId newPrimary = fixture.primarySeenBy("one");
                assertThat(newPrimary).isNotEqualTo(secondFailed);
                assertThat(fixture.rowsAt(newPrimary)).containsAll(fixture.acknowledgedRows());
                assertThat(fixture.lastAcknowledgedNanos())
                        .isGreaterThan(fixture.clock.nanoTime() - Duration.ofSeconds(1).toNanos());
            }
        }

        @Test
        void shouldNotAcknowledgeFromOldPrimaryWhenVmResumesAfterPromotion() {
            FailoverFixture fixture = fixtureWithWriters(11);
            InstanceId oldPrimary = fixture.primarySeenBy("one");
            fixture.vms.get(VmId.of("three")).pause();
            fixture.advance(Duration.ofMillis(5));
            fixture.group.faultInjector().setIsolatedFromGroup(oldPrimary, true);
            fixture.advance(FAILOVER_TIME);
            fixture.vms.get(VmId.of("three")).resume();
            fixture.advance(FAILOVER_TIME);

            assertNoAcknowledgedWriteLost(fixture, oldPrimary);
        }
    }

    @Nested
    class StatusPolling {
        @Test
        void shouldPollEachInstanceAboutOncePerSecondWhenIdle() {
            FailoverFixture fixture = FailoverFixture.of(13, "one");
            fixture.advance(FAILOVER_TIME);
            long before = fixture.group.statusRequestCount();
            fixture.advance(Duration.ofSeconds(10));
            long requests = fixture.group.statusRequestCount() - before;
            System.out.println("status requests in 10 s to an idle group: " + requests);

            assertThat(requests).isLessThanOrEqualTo(36);
        }

        @Test
        void shouldSendFollowRequestWhenReplicaHasNoContactWithPrimary() {
            FailoverFixture fixture = FailoverFixture.of(14, "one");
            InstanceId replica = instanceOtherThan(fixture, fixture.primarySeenBy("one"));
            fixture.advance(FAILOVER_TIME);
            fixture.group.setReplicationSource(replica, replica);
            fixture.advance(Duration.ofSeconds(5));

            assertThat(fixture.group.instance(replica).status().primaryContactAgeMillis())
                    .isLessThan(100);
            assertThat(fixture.eventCount(EventCode.PROMOTION_STARTED)).isOne();
        }
    }

    @Nested
    class PlannedSwitch {
        @Test
        void shouldInterruptWritesForLessThan300MillisWhenPrimaryIsSwitched() {
            FailoverFixture fixture = fixtureWithWriters(12);
            InstanceId oldPrimary = fixture.primarySeenBy("one");
            InstanceId newPrimary = instanceOtherThan(fixture, oldPrimary);
            var switched =
                    fixture.groupSeenBy("one").switchPrimary(newPrimary).toCompletableFuture();
            fixture.advance(FAILOVER_TIME);
            System.out.println(
                    "write gap in ms of a requested switch: "
                            + writeGapMillis(fixture, oldPrimary));

            assertThat(switched).isCompletedWithValue(true);
            assertThat(fixture.primarySeenBy("two")).isEqualTo(newPrimary);
            assertNoAcknowledgedWriteLost(fixture, oldPrimary);
            assertThat(writeGapMillis(fixture, oldPrimary)).isLessThan(300);
        }
    }

    private static FailoverFixture fixtureWithWriters(long seed) {
        FailoverFixture fixture = FailoverFixture.of(seed, "one", "two", "three");
        fixture.startWriters();
        fixture.advance(WARM_UP);
        return fixture;
    }

    private static InstanceId instanceOtherThan(FailoverFixture fixture, InstanceId excluded) {
        return fixture.group.spec().instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !id.equals(excluded))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the rows acknowledged more than a second ago, which every replica should have. */
    private static List<Integer> rowsAcknowledgedOverASecondAgo(FailoverFixture fixture) {
        long untilNanos = fixture.clock.nanoTime() - Duration.ofSeconds(1).toNanos();
        return fixture.acknowledgedWrites.stream()
                .filter(write -> write.acknowledgedNanos() < untilNanos)
                .map(AcknowledgedWrite::row)
                .toList();
    }

    static long writeGapMillis(FailoverFixture fixture, InstanceId oldPrimary) {
        long lastNanos = -1;
        for (AcknowledgedWrite write : fixture.acknowledgedWrites) {
            if (write.instance().equals(oldPrimary)) {
                lastNanos = write.acknowledgedNanos();
            } else {
                return Duration.ofNanos(write.acknowledgedNanos() - lastNanos).toMillis();
            }
        }
        throw new AssertionError("no write was acknowledged by another primary");
    }

    static void assertNoAcknowledgedWriteLost(FailoverFixture fixture, InstanceId oldPrimary) {
        InstanceId newPrimary = fixture.primarySeenBy("one");
        Term term = fixture.groupSeenBy("one").view().highestTerm();

        assertThat(newPrimary).isNotEqualTo(oldPrimary);
        assertThat(fixture.rowsAt(newPrimary)).containsAll(fixture.acknowledgedRows());
        assertThat(fixture.acknowledgedWrites)
                .filteredOn(write -> write.position().term().equals(term))
                .allMatch(write -> write.instance().equals(newPrimary));
        long promotedNanos = fixture.promotionCompletedNanos.get(1);
        assertThat(fixture.acknowledgedWrites)
                .filteredOn(write -> write.acknowledgedNanos() >= promotedNanos)
                .noneMatch(write -> write.instance().equals(oldPrimary));
    }
}
