package org.carobstage.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.carobstage.config.ConfigurationKeys;
import org.carobstage.config.ConfigurationWriter;
import org.carobstage.config.ConfigurationWriter.Result;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.platform.PlatformMessages.Vm;
import org.carobstage.runtime.PausedClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationWatchTest {
    private static final Duration SETTLE = Duration.ofSeconds(15);
    private static final Duration IN_FORCE = Duration.ofSeconds(4);
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final InstanceId INSTANCE = InstanceId.of("a");
    private static final String KEY = ConfigurationKeys.GROUPS + GROUP;

    private final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));

    @Nested
    class Spread {
        @ParameterizedTest
        @ValueSource(ints = {5, 50, 200})
        void shouldBeInForceEverywhereWithinFourSecondsWhenAccepted(int count) {
            LocalFleet fleet = settled(count);

            accept(fleet, 0, 3);
            clock.advance(IN_FORCE);

            assertThat(inForce(fleet, 3)).isEqualTo(count);
        }

        @Test
        void shouldReachMembersThatMissedItWhenTheirCutEnds() {
            LocalFleet fleet = settled(20);
            fleet.network().cut((from, to) -> to.port() == 1_007 || from.port() == 1_007);
            accept(fleet, 0, 3);
            clock.advance(Duration.ofSeconds(1));
            fleet.network().cut((from, to) -> false);

            clock.advance(SETTLE);

            assertThat(inForce(fleet, 3)).isEqualTo(20);
        }

        @Test
        void shouldNotRevertWhenPlatformAnswersOldAndFreshProcessStarts() {
            LocalFleet fleet = settled(5);
            accept(fleet, 0, 3);
            accept(fleet, 1, 4);
            clock.advance(IN_FORCE);
            int before = fleet.processes().get(0).applied().size();
            fleet.platform().forget();
            accept(fleet, 0, 3);

            LocalFleet.Process fresh = fleet.start(5);
            clock.advance(Duration.ofMinutes(11));

            assertThat(fresh.watch().first()).isCompleted();
            assertThat(inForce(fleet, 4)).isEqualTo(6);
            assertThat(fleet.processes()).noneMatch(p -> p.applied().size() > before);
            assertThat(fresh.applied()).hasSize(1);
        }

        @Test
        void shouldLearnNewestFromPeersWhenStartedInAnOutage() {
            LocalFleet fleet = settled(5);
            accept(fleet, 0, 3);
            clock.advance(IN_FORCE);
            fleet.platform().down(true);

            LocalFleet.Process fresh = fleet.start(5);
            clock.advance(SETTLE);

            assertThat(fresh.watch().first()).isCompleted();
            assertThat(inForce(fleet, 3)).isEqualTo(6);
        }

        @Test
        void shouldServeNothingWhenNeitherPlatformNorPeersAnswer() {
            LocalFleet fleet = LocalFleet.of(clock, 0);
            fleet.platform().down(true);

            LocalFleet.Process alone = fleet.start(2);
            clock.advance(SETTLE);

            assertThat(alone.watch().first()).isNotDone();
        }

        @Test
        void shouldKeepLastGoodOneWhenEntryDoesNotCheck() {
            LocalFleet fleet = settled(3);
            accept(fleet, 0, 3);
            clock.advance(IN_FORCE);

            change(fleet, 1, "[group]\nid = varas-1\nslots = many\n", "two");
            clock.advance(IN_FORCE);

            assertThat(inForce(fleet, 3)).isEqualTo(3);
        }

        @Test
        void shouldDrainWithinThreeSecondsWhenListSaysThatBackendServerLeaves() {
            LocalFleet fleet = settled(50);

            fleet.platform().store().list(new Vm("backend/varas-1/a", true, null));
            clock.advance(Duration.ofSeconds(3));

            assertThat(fleet.processes()).allMatch(p -> p.configuration().drained(GROUP, INSTANCE));
        }

        @Test
        void shouldDrainAndReturnWhenOperatorSaysSo() {
            LocalFleet fleet = settled(5);
            String key = ConfigurationKeys.drain(GROUP, INSTANCE);
            ConfigurationWriter writer = ConfigurationWriter.of(fleet.platform());

            writer.change(key, 0, ConfigurationKeys.DRAINING, "one");
            clock.advance(Duration.ofSeconds(3));
            assertThat(fleet.processes()).allMatch(p -> p.configuration().drained(GROUP, INSTANCE));
            writer.change(key, 1, "", "two");
            clock.advance(Duration.ofSeconds(3));

            assertThat(fleet.processes())
                    .noneMatch(p -> p.configuration().drained(GROUP, INSTANCE));
        }
    }

    @Nested
    class Change {
        @Test
        void shouldBeAcceptedWhenTheAnswerWasLostAfterItTookEffect() {
            LocalFleet fleet = settled(1);
            fleet.platform().loseAnswers(1);

            assertThat(change(fleet, 0, group(3), "one")).isInstanceOf(Result.Accepted.class);
            assertThat(fleet.platform().store().get(KEY).version()).isEqualTo(1);
        }

        @Test
        void shouldTellTheLoserWhatStandsWhenTwoOperatorsChangeTheSame() {
            LocalFleet fleet = settled(1);
            Result one = change(fleet, 0, group(3), "one");
            Result two = change(fleet, 0, group(4), "two");

            assertThat(one).isInstanceOf(Result.Accepted.class);
            assertThat(two).isInstanceOf(Result.Conflict.class);
            assertThat(((Result.Conflict) two).current().value()).contains("slots = 3");
        }

        @Test
        void shouldBeUnknownWhenPlatformIsDown() {
            LocalFleet fleet = settled(1);
            fleet.platform().down(true);

            assertThat(change(fleet, 0, group(3), "one")).isInstanceOf(Result.Unknown.class);
        }
    }

    private LocalFleet settled(int count) {
        LocalFleet fleet = LocalFleet.of(clock, count);
        clock.advance(SETTLE);
        assertThat(fleet.processes())
                .allMatch(p -> p.watch().first().toCompletableFuture().isDone());
        return fleet;
    }

    private void accept(LocalFleet fleet, long seen, int slots) {
        assertThat(change(fleet, seen, group(slots), "slots-" + slots))
                .isInstanceOf(Result.Accepted.class);
    }

    private Result change(LocalFleet fleet, long seen, String value, String id) {
        var result =
                ConfigurationWriter.of(fleet.platform())
                        .change(KEY, seen, value, id)
                        .toCompletableFuture();
        while (!result.isDone()) {
            clock.advance(Duration.ofMillis(1));
        }
        return result.join();
    }

    private static long inForce(LocalFleet fleet, int slots) {
        return fleet.processes().stream()
                .map(p -> p.configuration().groups().get(GROUP))
                .filter(g -> g != null && g.slots() == slots)
                .count();
    }

    private static String group(int slots) {
        return "[group]\nid = varas-1\nslots = "
                + slots
                + "\nconnections = 20\n[instance a]\naddress = 10.0.0.2:1\ndomain = caruaru\n";
    }
}
