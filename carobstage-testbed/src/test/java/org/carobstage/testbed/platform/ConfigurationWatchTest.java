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
    private static final Duration STARTUP_TIME = Duration.ofSeconds(15);
    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(4);
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final InstanceId INSTANCE = InstanceId.of("a");
    private static final String KEY = ConfigurationKeys.GROUP_PREFIX + GROUP;

    private final ManualClock clock = ManualClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalPlatform platform = LocalPlatform.of(clock);
    private final List<Watcher> watchers = new ArrayList<>();

    @Nested
    class Propagation {
        @ParameterizedTest
        @ValueSource(ints = {5, 50, 200})
        void shouldReachAllProcessesWithinFourSecondsWhenAccepted(int count) {
            startWatchers(count);

            changeExpectingAccepted(0, 3);
            clock.advance(PROPAGATION_TIME);

            assertThat(countWithSlots(3)).isEqualTo(count);
        }

        @Test
        void shouldReachAllProcessesWhenOutageEnds() {
            startWatchers(20);
            platform.setUnavailable(true);
            clock.advance(Duration.ofSeconds(20));
            platform.setUnavailable(false);
            changeExpectingAccepted(0, 3);

            clock.advance(PROPAGATION_TIME);

            assertThat(countWithSlots(3)).isEqualTo(20);
        }

        @Test
        void shouldNotRevertWhenPlatformReturnsOlderVersion() {
            startWatchers(5);
            changeExpectingAccepted(0, 3);
            changeExpectingAccepted(1, 4);
            clock.advance(PROPAGATION_TIME);
            platform.resetStore();
            changeExpectingAccepted(0, 3);

            clock.advance(Duration.ofMinutes(11));

            assertThat(countWithSlots(4)).isEqualTo(5);
        }

        @Test
        void shouldLoadNewestVersionWhenProcessStartsDuringOutage() {
            startWatchers(5);
            changeExpectingAccepted(0, 3);
            clock.advance(PROPAGATION_TIME);
            platform.setUnavailable(true);
            Watcher lateWatcher = startWatcher(5);
            clock.advance(STARTUP_TIME);
            assertThat(lateWatcher.watch.initialConfiguration()).isNotDone();

            platform.setUnavailable(false);
            clock.advance(PROPAGATION_TIME);

            assertThat(lateWatcher.watch.initialConfiguration()).isCompleted();
            assertThat(countWithSlots(3)).isEqualTo(6);
        }

        @Test
        void shouldKeepLastValidVersionWhenEntryIsInvalid() {
            startWatchers(3);
            changeExpectingAccepted(0, 3);
            clock.advance(PROPAGATION_TIME);

            change(1, "[group]\nid = varas-1\nslots = many\n", "two");
            clock.advance(PROPAGATION_TIME);

            assertThat(countWithSlots(3)).isEqualTo(3);
        }

        @Test
        void shouldDrainWithinThreeSecondsWhenBackendServerIsRegisteredAsLeaving() {
            startWatchers(50);

            platform.store().registerVm(new Vm("backend/varas-1/a", true, null));
            clock.advance(Duration.ofSeconds(3));

            assertThat(watchers).allMatch(w -> w.configuration.isDraining(GROUP, INSTANCE));
        }

        @Test
        void shouldStartAndEndDrainingWhenOperatorRequestsIt() {
            startWatchers(5);
            String key = ConfigurationKeys.drainKey(GROUP, INSTANCE);
            ConfigurationWriter writer = ConfigurationWriter.of(platform);

            writer.change(key, 0, ConfigurationKeys.DRAINING, "one");
            clock.advance(Duration.ofSeconds(3));
            assertThat(watchers).allMatch(w -> w.configuration.isDraining(GROUP, INSTANCE));
            writer.change(key, 1, "", "two");
            clock.advance(Duration.ofSeconds(3));

            assertThat(watchers).noneMatch(w -> w.configuration.isDraining(GROUP, INSTANCE));
        }
    }

    @Nested
    class Change {
        @Test
        void shouldReturnAcceptedWhenResponseIsLostAfterChangeTookEffect() {
            platform.dropNextResponses(1);

            assertThat(change(0, groupText(3), "one")).isInstanceOf(Result.Accepted.class);
            assertThat(platform.store().get(KEY).version()).isEqualTo(1);
        }

        @Test
        void shouldReturnCurrentEntryWhenAnotherOperatorChangedItFirst() {
            Result first = change(0, groupText(3), "one");
            Result second = change(0, groupText(4), "two");

            assertThat(first).isInstanceOf(Result.Accepted.class);
            assertThat(second).isInstanceOf(Result.Conflict.class);
            assertThat(((Result.Conflict) second).current().value()).contains("slots = 3");
        }

        @Test
        void shouldReturnUnknownWhenPlatformIsUnavailable() {
            platform.setUnavailable(true);

            assertThat(change(0, groupText(3), "one")).isInstanceOf(Result.Unknown.class);
        }
    }

    private void startWatchers(int count) {
        for (int i = 0; i < count; i++) {
            startWatcher(i);
        }
        clock.advance(STARTUP_TIME);
        assertThat(watchers)
                .allMatch(w -> w.watch.initialConfiguration().toCompletableFuture().isDone());
    }

    private Watcher startWatcher(int number) {
        Watcher watcher = new Watcher(VmId.of("vm-" + number));
        watchers.add(watcher);
        return watcher;
    }

    private void changeExpectingAccepted(long expectedVersion, int slots) {
        assertThat(change(expectedVersion, groupText(slots), "slots-" + slots))
                .isInstanceOf(Result.Accepted.class);
    }

    private Result change(long expectedVersion, String value, String changeId) {
        var result =
                ConfigurationWriter.of(platform)
                        .change(KEY, expectedVersion, value, changeId)
                        .toCompletableFuture();
        while (!result.isDone()) {
            clock.advance(Duration.ofMillis(1));
        }
        return result.join();
    }

    private long countWithSlots(int slots) {
        return watchers.stream()
                .map(w -> w.configuration.groups().get(GROUP))
                .filter(g -> g != null && g.slots() == slots)
                .count();
    }

    private static String groupText(int slots) {
        return "[group]\nid = varas-1\nslots = "
                + slots
                + "\nconnections = 20\n[instance a]\naddress = 10.0.0.2:1\ndomain = caruaru\n";
    }

    /** A process that watches the configuration. */
    private final class Watcher {
        private final ConfigurationWatch watch;
        private Configuration configuration = Configuration.empty();

        private Watcher(VmId vm) {
            watch =
                    ConfigurationWatch.of(
                            platform,
                            clock,
                            Runnable::run,
                            EventLog.of(vm, clock, 10),
                            newConfiguration -> configuration = newConfiguration);
        }
    }
}
