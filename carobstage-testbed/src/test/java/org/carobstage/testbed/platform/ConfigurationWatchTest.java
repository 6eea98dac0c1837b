package org.carobstage.testbed.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.config.Configuration;
import org.carobstage.config.ConfigurationKeys;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.ConfigurationWriter;
import org.carobstage.config.ConfigurationWriter.Result;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.platform.PlatformMessages.Vm;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationWatchTest {
    private static final Duration SETTLE = Duration.ofSeconds(15);
    private static final Duration IN_FORCE = Duration.ofSeconds(4);
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final InstanceId INSTANCE = InstanceId.of("a");
    private static final String KEY = ConfigurationKeys.GROUP_PREFIX + GROUP;

    private final ManualClock clock = ManualClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalPlatform platform = LocalPlatform.of(clock);
    private final List<Follower> followers = new ArrayList<>();

    @Nested
    class Spread {
        @ParameterizedTest
        @ValueSource(ints = {5, 50, 200})
        void shouldBeInForceEverywhereWithinFourSecondsWhenAccepted(int count) {
            settle(count);

            accept(0, 3);
            clock.advance(IN_FORCE);

            assertThat(inForce(3)).isEqualTo(count);
        }

        @Test
        void shouldCatchUpWhenOutageEnds() {
            settle(20);
            platform.setUnavailable(true);
            clock.advance(Duration.ofSeconds(20));
            platform.setUnavailable(false);
            accept(0, 3);

            clock.advance(IN_FORCE);

            assertThat(inForce(3)).isEqualTo(20);
        }

        @Test
        void shouldNotRevertWhenPlatformAnswersOld() {
            settle(5);
            accept(0, 3);
            accept(1, 4);
            clock.advance(IN_FORCE);
            platform.resetStore();
            accept(0, 3);

            clock.advance(Duration.ofMinutes(11));

            assertThat(inForce(4)).isEqualTo(5);
        }

        @Test
        void shouldLearnNewestWhenStartedInAnOutageThatEnds() {
            settle(5);
            accept(0, 3);
            clock.advance(IN_FORCE);
            platform.setUnavailable(true);
            Follower fresh = start(5);
            clock.advance(SETTLE);
            assertThat(fresh.watch.initialConfiguration()).isNotDone();

            platform.setUnavailable(false);
            clock.advance(IN_FORCE);

            assertThat(fresh.watch.initialConfiguration()).isCompleted();
            assertThat(inForce(3)).isEqualTo(6);
        }

        @Test
        void shouldKeepLastGoodOneWhenEntryDoesNotCheck() {
            settle(3);
            accept(0, 3);
            clock.advance(IN_FORCE);

            change(1, "[group]\nid = varas-1\nslots = many\n", "two");
            clock.advance(IN_FORCE);

            assertThat(inForce(3)).isEqualTo(3);
        }

        @Test
        void shouldDrainWithinThreeSecondsWhenListSaysThatBackendServerLeaves() {
            settle(50);

            platform.store().registerVm(new Vm("backend/varas-1/a", true, null));
            clock.advance(Duration.ofSeconds(3));

            assertThat(followers).allMatch(f -> f.configuration.isDraining(GROUP, INSTANCE));
        }

        @Test
        void shouldDrainAndReturnWhenOperatorSaysSo() {
            settle(5);
            String key = ConfigurationKeys.drainKey(GROUP, INSTANCE);
            ConfigurationWriter writer = ConfigurationWriter.of(platform);

            writer.change(key, 0, ConfigurationKeys.DRAINING, "one");
            clock.advance(Duration.ofSeconds(3));
            assertThat(followers).allMatch(f -> f.configuration.isDraining(GROUP, INSTANCE));
            writer.change(key, 1, "", "two");
            clock.advance(Duration.ofSeconds(3));

            assertThat(followers).noneMatch(f -> f.configuration.isDraining(GROUP, INSTANCE));
        }
    }

    @Nested
    class Change {
        @Test
        void shouldBeAcceptedWhenTheAnswerWasLostAfterItTookEffect() {
            platform.dropNextResponses(1);

            assertThat(change(0, group(3), "one")).isInstanceOf(Result.Accepted.class);
            assertThat(platform.store().get(KEY).version()).isEqualTo(1);
        }

        @Test
        void shouldTellTheLoserWhatStandsWhenTwoOperatorsChangeTheSame() {
            Result one = change(0, group(3), "one");
            Result two = change(0, group(4), "two");

            assertThat(one).isInstanceOf(Result.Accepted.class);
            assertThat(two).isInstanceOf(Result.Conflict.class);
            assertThat(((Result.Conflict) two).current().value()).contains("slots = 3");
        }

        @Test
        void shouldBeUnknownWhenPlatformIsDown() {
            platform.setUnavailable(true);

            assertThat(change(0, group(3), "one")).isInstanceOf(Result.Unknown.class);
        }
    }

    private void settle(int count) {
        for (int i = 0; i < count; i++) {
            start(i);
        }
        clock.advance(SETTLE);
        assertThat(followers)
                .allMatch(f -> f.watch.initialConfiguration().toCompletableFuture().isDone());
    }

    private Follower start(int number) {
        Follower follower = new Follower(VmId.of("vm-" + number));
        followers.add(follower);
        return follower;
    }

    private void accept(long seen, int slots) {
        assertThat(change(seen, group(slots), "slots-" + slots))
                .isInstanceOf(Result.Accepted.class);
    }

    private Result change(long seen, String value, String id) {
        var result =
                ConfigurationWriter.of(platform).change(KEY, seen, value, id).toCompletableFuture();
        while (!result.isDone()) {
            clock.advance(Duration.ofMillis(1));
        }
        return result.join();
    }

    private long inForce(int slots) {
        return followers.stream()
                .map(f -> f.configuration.groups().get(GROUP))
                .filter(g -> g != null && g.slots() == slots)
                .count();
    }

    private static String group(int slots) {
        return "[group]\nid = varas-1\nslots = "
                + slots
                + "\nconnections = 20\n[instance a]\naddress = 10.0.0.2:1\ndomain = caruaru\n";
    }

    /** A process that follows the configuration. */
    private final class Follower {
        private final ConfigurationWatch watch;
        private Configuration configuration = Configuration.empty();

        private Follower(VmId vm) {
            watch =
                    ConfigurationWatch.of(
                            platform,
                            clock,
                            Runnable::run,
                            EventLog.of(vm, clock, 10),
                            c -> configuration = c);
        }
    }
}
