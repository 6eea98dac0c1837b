package org.carobstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    private static final Duration SETTLE = Duration.ofSeconds(15);
    private static final Duration DETECT = Duration.ofSeconds(5);

    @Nested
    class Tick {
        @ParameterizedTest
        @ValueSource(ints = {5, 50, 200})
        void shouldTellAllWithinFiveSecondsWhenMemberDies(int count) {
            Bus bus = settled(count);

            bus.kill("vm-3");
            bus.advance(DETECT);

            assertThat(bus.knownAs("vm-3", MemberState.DEAD)).isEqualTo(count - 1);
        }

        @Test
        void shouldSuspectNobodyWhenOnePercentIsLost() {
            Bus bus = settled(50);
            bus.lossPercent = 1;

            bus.advance(Duration.ofMinutes(10));

            assertThat(bus.suspected).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {7, 8, 9})
        void shouldHoldNobodyDeadWhenThirtyPercentAreLost(long seed) {
            Bus bus = settled(50);
            bus.random.setSeed(seed);
            bus.lossPercent = 30;

            bus.advance(Duration.ofMinutes(2));

            assertThat(bus.died).isEmpty();
        }

        @Test
        void shouldHoldNobodyDeadWhenOneWayIsCut() {
            Bus bus = settled(20);
            bus.cut = (from, to) -> from.equals(VmId.of("vm-1")) && to.equals(VmId.of("vm-2"));

            bus.advance(Duration.ofMinutes(2));

            assertThat(bus.died).isEmpty();
        }

        @Test
        void shouldReturnWithoutAccusingWhenPausedProcessResumes() {
            Bus bus = settled(20);
            bus.pausedByPing = Optional.of(VmId.of("vm-4"));
            bus.advance(Duration.ofSeconds(20));
            bus.pausedByPing = Optional.empty();
            assertThat(bus.knownAs("vm-4", MemberState.DEAD)).isEqualTo(19);
            bus.died.clear();
            bus.suspected.clear();

            bus.paused.clear();
            bus.advance(Duration.ofSeconds(5));

            assertThat(bus.agrees()).isTrue();
            assertThat(bus.died).isEmpty();
            assertThat(bus.suspected).isEmpty();
        }

        @Test
        void shouldMergeWhenRegionReturnsAfterAnHour() {
            Bus bus = settled(24);
            bus.cut = (from, to) -> region(from) == 2 ^ region(to) == 2;
            bus.advance(Duration.ofHours(1));
            assertThat(bus.knownAs("vm-2", MemberState.DEAD)).isEqualTo(16);

            bus.cut = (from, to) -> false;
            bus.advance(Duration.ofSeconds(60));

            assertThat(bus.agrees()).isTrue();
        }

        @Test
        void shouldTellAllWhenFailureDomainIsLost() {
            Bus bus = settled(48);

            for (int i = 0; i < 48; i += 8) {
                bus.kill("vm-" + i);
            }
            bus.advance(DETECT.multipliedBy(2));

            assertThat(bus.agrees()).isTrue();
        }

        @Test
        void shouldForgetDeadMemberWhenTimeHasPassed() {
            Bus bus = settled(4);
            bus.kill("vm-3");

            bus.advance(Duration.ofHours(4));

            assertThat(bus.knownAs("vm-3", MemberState.DEAD)).isZero();
        }
    }

    @Nested
    class Received {
        @Test
        void shouldReplaceOldProcessWhenAnotherStartsAtItsAddress() {
            Bus bus = settled(10);
            bus.kill("vm-5");
            bus.start("vm-new", 5);

            bus.advance(SETTLE);

            assertThat(bus.agrees()).isTrue();
        }

        @Test
        void shouldKnowNewProcessWhenItRestartsBeforeTheOldOneIsDead() {
            Bus bus = settled(10);
            long old = bus.members.get(VmId.of("vm-5")).self().incarnation();
            bus.kill("vm-5");
            bus.advance(Duration.ofMillis(100));
            bus.start("vm-5", 5);

            bus.advance(SETTLE);

            assertThat(bus.agrees()).isTrue();
            assertThat(bus.members.get(VmId.of("vm-0")).members())
                    .filteredOn(m -> m.vm().equals(VmId.of("vm-5")))
                    .allMatch(m -> m.incarnation() > old);
        }
    }

    @Nested
    class Leave {
        @Test
        void shouldKeepLeavingMemberOutOfNewWorkWhenItSaysSo() {
            Bus bus = settled(10);
            Membership member = bus.members.get(VmId.of("vm-6"));
            member.leave();

            bus.advance(Duration.ofSeconds(3));

            assertThat(bus.knownAs("vm-6", MemberState.LEAVING)).isEqualTo(10);
        }
    }

    @Nested
    class Messages {
        @Test
        void shouldCostTheSamePerMemberWhenFleetGrows() {
            assertThat(perMember(200)).isLessThan(1.2 * perMember(20));
        }

        private double perMember(int count) {
            Bus bus = settled(count);
            bus.advance(Duration.ofSeconds(30));
            bus.messages = 0;
            bus.advance(Duration.ofSeconds(30));
            return bus.messages / (30.0 * count);
        }
    }

    private static int region(VmId vm) {
        return Integer.parseInt(vm.value().substring(3)) % 3;
    }

    private static Bus settled(int count) {
        Bus bus = Bus.of(count);
        bus.advance(SETTLE);
        assertThat(bus.agrees()).isTrue();
        bus.suspected.clear();
        bus.died.clear();
        return bus;
    }
}
