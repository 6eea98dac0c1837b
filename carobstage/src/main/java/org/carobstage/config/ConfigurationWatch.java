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
 * Watches the configuration in the platform's key-value service. Versions only grow, so an outdated
 * response never replaces a newer configuration. All work runs on one worker thread.
 */
public final class ConfigurationWatch implements AutoCloseable {
    /** The prefix of all configuration keys. */
    public static final String PREFIX = ConfigurationKeys.PREFIX;

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENT_PREFIX = ConfigurationKeys.DOCUMENT_PREFIX;

    /** The prefix of the keys of groups. */
    public static final String GROUP_PREFIX = ConfigurationKeys.GROUP_PREFIX;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration FULL_READ_INTERVAL = Duration.ofMinutes(10);

    private final Platform platform;
    private final Clock clock;
    private final Executor executor;
    private final Consumer<Configuration> listener;
    private final ConfigurationEntries entries;
    private final BackendDrainDetector drainDetector;
    private final CompletableFuture<Configuration> initialConfiguration = new CompletableFuture<>();
    private long revision;
    private long nextFullReadNanos;
    private long nextVmListNanos;
    private boolean watching;
    private volatile boolean closed;

    private ConfigurationWatch(
            Platform platform,
            Clock clock,
            Executor executor,
            EventLog events,
            Consumer<Configuration> listener) {
        this.platform = platform;
        this.clock = clock;
        this.executor = executor;
        this.listener = listener;
        this.nextFullReadNanos = clock.nanoTime();
        this.nextVmListNanos = nextFullReadNanos;
        this.entries =
                new ConfigurationEntries((key, reason) -> recordInvalid(events, key, reason));
        this.drainDetector = new BackendDrainDetector(entries, clock);
    }

    /**
     * Starts to watch the configuration.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param executor the worker thread that runs the watch
     * @param events records invalid entries
     * @param listener called with each new configuration
     * @return the running watch
     */
    public static ConfigurationWatch of(
            Platform platform,
            Clock clock,
            Executor executor,
            EventLog events,
            Consumer<Configuration> listener) {
        requireNonNull(platform, "platform is null");
        ConfigurationWatch watch =
                new ConfigurationWatch(platform, clock, executor, events, listener);
        executor.execute(watch::tick);
        return watch;
    }

    /**
     * Returns the first configuration with all entries, which requests can be served from.
     *
     * @return a stage that completes once all entries have been read
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
        long nowNanos = clock.nanoTime();
        if (!watching) {
            watch(nowNanos);
        }
        if (nowNanos - nextVmListNanos >= 0) {
            nextVmListNanos = nowNanos + VM_LIST_INTERVAL.toNanos();
            platform.listVms().thenAcceptAsync(vms -> vms.ifPresent(this::applyVmList), executor);
        }
        clock.schedule(() -> executor.execute(this::tick), TICK_INTERVAL);
    }

    private void applyVmList(List<RegisteredVm> vms) {
        apply(drainDetector.changedEntries(vms));
    }

    private void watch(long nowNanos) {
        watching = true;
        boolean full = nowNanos - nextFullReadNanos >= 0;
        long after = full ? 0 : revision;
        Duration wait = full ? Duration.ZERO : WATCH_WAIT;
        platform.watch(PREFIX, after, wait)
                .thenAcceptAsync(changes -> handleChanges(changes, full), executor);
    }

    private void handleChanges(Optional<Changes> changes, boolean full) {
        watching = false;
        if (changes.isEmpty() || closed) {
            return;
        }
        if (full) {
            nextFullReadNanos = clock.nanoTime() + FULL_READ_INTERVAL.toNanos();
        }
        revision = changes.get().revision();
        apply(changes.get().entries());
        if (!initialConfiguration.isDone()) {
            listener.accept(entries.configuration());
            initialConfiguration.complete(entries.configuration());
        }
        watch(clock.nanoTime());
    }

    private void apply(Collection<Entry> newEntries) {
        if (!entries.merge(newEntries).isEmpty() && initialConfiguration.isDone()) {
            listener.accept(entries.configuration());
        }
    }

    private static void recordInvalid(EventLog events, String key, String reason) {
        events.record(EventCode.CONFIGURATION_REFUSED, EventScope.empty(), key + ": " + reason);
    }
}
