package org.carobstage.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.carobstage.config.ConfigurationKeys;
import org.carobstage.config.ConfigurationWriter;
import org.carobstage.model.GroupId;
import org.carobstage.pool.Share;
import org.carobstage.runtime.PausedClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharesTest {
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final int SLOTS = 3;
    private static final int CONNECTIONS = 20;
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration SETTLE = Duration.ofSeconds(30);

    private final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalFleet fleet = LocalFleet.of(clock, 0);

    @Nested
    class Divide {
        @Test
        void shouldGiveAllToOneWhenItIsAlone() {
            start(1);

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }

        @Test
        void shouldGiveEachOwnerOneSlotWhenThereAreMoreMembersThanSlots() {
            start(5);

            assertThat(fleet.processes())
                    .extracting(p -> p.shares().share(GROUP).slots())
                    .containsExactlyInAnyOrder(1, 1, 1, 0, 0);
            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }

        @Test
        void shouldHandOverWhenMemberJoins() {
            start(1);

            fleet.start(1);
            steps(SETTLE);

            assertThat(fleet.processes()).allMatch(p -> p.shares().share(GROUP).slots() > 0);
        }

        @Test
        void shouldTakeOverWithinTwentySecondsWhenOwnerDies() {
            start(3);

            fleet.kill(1);
            steps(Duration.ofSeconds(20));

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }
    }

    @Nested
    class Split {
        @Test
        void shouldTakeOverWhenHalfOfTheFleetDies() {
            start(4);

            fleet.kill(0);
            fleet.kill(1);
            steps(SETTLE);

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }

        @Test
        void shouldNeverExceedTheLimitWhenTheFleetIsCutInTwo() {
            start(5);

            fleet.network().cut((from, to) -> from.port() < 1_002 ^ to.port() < 1_002);
            steps(Duration.ofMinutes(2));
            fleet.network().cut((from, to) -> false);
            steps(Duration.ofMinutes(1));

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }

        @Test
        void shouldKeepSharesWhenThePlatformIsDown() {
            start(5);

            fleet.platform().down(true);
            steps(Duration.ofMinutes(2));

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }

        @Test
        void shouldUseNothingWhenSmallerPartSeesNoPlatformEither() {
            start(5);

            fleet.platform().down(true);
            fleet.network().cut((from, to) -> from.port() < 1_002 ^ to.port() < 1_002);
            steps(Duration.ofSeconds(20));

            assertThat(fleet.processes().subList(0, 2))
                    .allMatch(p -> p.shares().share(GROUP).equals(new Share(0, 0)));
        }

        @Test
        void shouldNeverExceedTheLimitWhenAnswersAreLost() {
            start(2);

            fleet.platform().loseAnswers(6);
            fleet.start(2);
            steps(Duration.ofMinutes(1));

            assertThat(sum()).isEqualTo(new Share(SLOTS, CONNECTIONS));
        }
    }

    private void start(int count) {
        ConfigurationWriter.of(fleet.platform())
                .change(ConfigurationKeys.GROUPS + GROUP, 0, group(), "one");
        for (int i = 0; i < count; i++) {
            fleet.start(i);
            steps(Duration.ofSeconds(1));
        }
        steps(SETTLE);
    }

    private void steps(Duration time) {
        for (Duration d = Duration.ZERO; d.compareTo(time) < 0; d = d.plus(STEP)) {
            clock.advance(STEP);
            Share sum = sum();
            assertThat(sum.slots()).isLessThanOrEqualTo(SLOTS);
            assertThat(sum.connections()).isLessThanOrEqualTo(CONNECTIONS);
        }
    }

    private Share sum() {
        return fleet.processes().stream()
                .map(p -> p.shares().share(GROUP))
                .reduce(
                        new Share(0, 0),
                        (a, b) ->
                                new Share(
                                        a.slots() + b.slots(), a.connections() + b.connections()));
    }

    private static String group() {
        return "[group]\nid = varas-1\nslots = 3\nconnections = 20\n"
                + "[instance a]\naddress = 10.0.0.2:1\ndomain = caruaru\n";
    }
}
