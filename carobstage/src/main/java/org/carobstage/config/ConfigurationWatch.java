package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.platform.Platform.Changes;
import org.carobstage.platform.RegisteredVm;
import org.carobstage.runtime.Clock;

/**
 * Follows the configuration in the platform's key-value service. Versions only grow, so an older
 * answer never replaces what is in force. All methods run on one duty.
 */
public final class ConfigurationWatch implements AutoCloseable {
    /** The prefix of all configuration keys. */
    public static final String PREFIX = ConfigurationKeys.PREFIX;

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENTS = ConfigurationKeys.DOCUMENTS;

    /** The prefix of the keys of groups. */
    public static final String GROUPS = ConfigurationKeys.GROUPS;

    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration FULL_INTERVAL = Duration.ofMinutes(10);

    private final Platform platform;
    private final Clock clock;
    private final Executor duty;
    private final Consumer<Configuration> listener;
    private final ConfigurationEntries entries;
    private final BackendDrainDetector listed;
    private final CompletableFuture<Configuration> initialConfiguration = new CompletableFuture<>();
    private long revision;
    private long nextFull;
    private long nextList;
    private boolean watching;
    private volatile boolean closed;

    private ConfigurationWatch(
            Platform platform,
            Clock clock,
            Executor duty,
            EventLog events,
            Consumer<Configuration> listener) {
        this.platform = platform;
        this.clock = clock;
        this.duty = duty;
        this.listener = listener;
        this.nextFull = clock.nanoTime();
        this.nextList = nextFull;
        this.entries = new ConfigurationEntries((key, why) -> refuse(events, key, why));
        this.listed = new BackendDrainDetector(entries, clock);
    }

    /**
     * Starts to follow the configuration.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param duty runs the watch
     * @param events records entries that do not check
     * @param listener called with each new configuration
     * @return the running watch
     */
    public static ConfigurationWatch of(
            Platform platform,
            Clock clock,
            Executor duty,
            EventLog events,
            Consumer<Configuration> listener) {
        requireNonNull(platform, "platform is null");
        ConfigurationWatch watch = new ConfigurationWatch(platform, clock, duty, events, listener);
        duty.execute(watch::tick);
        return watch;
    }

    /**
     * Returns the first configuration that may be served from.
     *
     * @return a stage that completes once the configuration is known
     */
    public CompletionStage<Configuration> initialConfiguration() {
        return initialConfiguration;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.nanoTime();
        if (!watching) {
            watch(now);
        }
        if (now - nextList >= 0) {
            nextList = now + LIST_INTERVAL.toNanos();
            platform.listVms().thenAcceptAsync(l -> l.ifPresent(this::listed), duty);
        }
        clock.schedule(() -> duty.execute(this::tick), TICK);
    }

    private void listed(List<RegisteredVm> vms) {
        apply(listed.changedEntries(vms));
    }

    private void watch(long now) {
        watching = true;
        boolean full = now - nextFull >= 0;
        long after = full ? 0 : revision;
        Duration wait = full ? Duration.ZERO : WAIT;
        platform.watch(PREFIX, after, wait).thenAcceptAsync(c -> changed(c, full), duty);
    }

    private void changed(Optional<Changes> changes, boolean full) {
        watching = false;
        if (changes.isEmpty() || closed) {
            return;
        }
        if (full) {
            nextFull = clock.nanoTime() + FULL_INTERVAL.toNanos();
        }
        revision = changes.get().revision();
        apply(changes.get().entries());
        if (!initialConfiguration.isDone()) {
            listener.accept(entries.configuration());
            initialConfiguration.complete(entries.configuration());
        }
        watch(clock.nanoTime());
    }

    private void apply(Collection<Entry> news) {
        if (!entries.merge(news).isEmpty() && initialConfiguration.isDone()) {
            listener.accept(entries.configuration());
        }
    }

    private static void refuse(EventLog events, String key, String why) {
        events.record(EventCode.CONFIGURATION_REFUSED, EventScope.empty(), key + ": " + why);
    }
}
