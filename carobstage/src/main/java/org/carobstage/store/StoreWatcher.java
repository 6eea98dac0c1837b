package org.carobstage.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.FailureIsolation;
import org.carobstage.store.MetadataStore.Page;

/**
 * Reports the store's keys and their changes to a listener. Lists all keys first and then watches
 * for changes. Lists again after a failure, or if the store has compacted the history that the
 * watch requires.
 */
public final class StoreWatcher {
    /** Limits how long an unresponsive connection of a watch stays undetected. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(4_000);

    /** The first delay before a retry; it doubles with each failure up to the maximum. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    /**
     * The interval of further listings while none is answered. Until then the process can serve
     * nothing, and a store that was silent never answers the calls of that time.
     */
    private static final Duration FIRST_LISTING_INTERVAL = Duration.ofMillis(250);

    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Listener listener;
    private final BooleanSupplier failoverInProgress;
    private final WatchPacing pacing;
    private final FailureIsolation isolation;
    private final Map<String, StoreRevision> revisions = new HashMap<>();
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private long run;
    private int listingsInProgress;
    private boolean reachable;
    private boolean firstPageReceived;
    private boolean initialListComplete;
    private boolean closed;

    private StoreWatcher(
            MetadataStore store,
            Clock clock,
            EventLog events,
            Listener listener,
            BooleanSupplier failoverInProgress) {
        this.store = store;
        this.clock = clock;
        this.events = events;
        this.listener = listener;
        this.failoverInProgress = failoverInProgress;
        this.pacing = WatchPacing.of(clock.nanoTime());
        this.isolation =
                FailureIsolation.of(
                        (key, e) ->
                                events.record(
                                        EventCode.TASK_FAILED,
                                        EventScope.empty(),
                                        "applying key=" + key + " failed: " + e));
    }

    /**
     * Creates a watcher for a process that takes part in no failover; {@link #start} sends the
     * first call.
     *
     * @param store the store
     * @param clock schedules watches and retries
     * @param events records when the store is lost and regained
     * @param listener receives the changes
     * @return the watcher
     */
    public static StoreWatcher of(
            MetadataStore store, Clock clock, EventLog events, Listener listener) {
        return of(store, clock, events, listener, () -> false);
    }

    /**
     * Creates a watcher; {@link #start} sends the first call.
     *
     * @param store the store
     * @param clock schedules watches and retries
     * @param events records when the store is lost and regained
     * @param listener receives the changes
     * @param failoverInProgress returns whether the changes of other processes are awaited for a
     *     failover
     * @return the watcher
     */
    public static StoreWatcher of(
            MetadataStore store,
            Clock clock,
            EventLog events,
            Listener listener,
            BooleanSupplier failoverInProgress) {
        requireNonNull(store, "store is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(events, "events is null");
        requireNonNull(listener, "listener is null");
        return new StoreWatcher(
                store,
                clock,
                events,
                listener,
                requireNonNull(failoverInProgress, "failoverInProgress is null"));
    }

    /** Starts the first listing. */
    public void start() {
        store.era().addListener(this::onRestored);
        list();
        clock.schedule(this::repeatFirstListing, FIRST_LISTING_INTERVAL);
    }

    /** Stops watching; responses that are still outstanding are ignored. */
    public void close() {
        closed = true;
    }

    /**
     * Returns whether the last list or watch call succeeded.
     *
     * @return true while the store is reachable
     */
    public boolean isReachable() {
        return reachable;
    }

    /** Lists all keys again; the revisions known so far may have been lost or assigned again. */
    private void onRestored(long era) {
        if (closed) {
            return;
        }
        events.record(
                EventCode.STORE_RESTORED,
                EventScope.empty(),
                "era=" + era + " known_keys=" + revisions.size() + " listing all keys again");
        listener.onReconnected();
        list();
    }

    /** Starts a listing, which replaces the listing or watch in progress. */
    private void list() {
        startRun();
        startListing();
    }

    private void startRun() {
        run++;
        listingsInProgress = 0;
    }

    /**
     * Starts another listing of the same run if none has been answered; the first one that
     * completes ends the others.
     */
    private void repeatFirstListing() {
        if (closed || firstPageReceived) {
            return;
        }
        startListing();
        clock.schedule(this::repeatFirstListing, FIRST_LISTING_INTERVAL);
    }

    private void startListing() {
        listingsInProgress++;
        listPage(run, Optional.empty(), StoreRevision.NONE, new HashSet<>());
    }

    private void listPage(
            long currentRun,
            Optional<String> after,
            StoreRevision firstPageRevision,
            Set<String> listedKeys) {
        store.list(
                after,
                response ->
                        handleListResponse(currentRun, response, firstPageRevision, listedKeys));
    }

    private void handleListResponse(
            long currentRun,
            StoreResponse<Page> response,
            StoreRevision firstPageRevision,
            Set<String> listedKeys) {
        if (closed || currentRun != run) {
            return;
        }
        if (!(response instanceof StoreResponse.Success<Page> success)) {
            listingsInProgress--;
            if (listingsInProgress == 0) {
                retryAfterFailure("listing", response);
            }
            return;
        }
        firstPageReceived = true;
        Page page = success.value();
        StoreRevision watchRevision =
                firstPageRevision.equals(StoreRevision.NONE) ? page.revision() : firstPageRevision;
        page.entries().forEach(entry -> listedKeys.add(entry.key()));
        page.entries().forEach(this::apply);
        if (page.hasMore() && !page.entries().isEmpty()) {
            String lastKey = page.entries().get(page.entries().size() - 1).key();
            listPage(currentRun, Optional.of(lastKey), watchRevision, listedKeys);
            return;
        }
        List<String> deletedKeys =
                revisions.keySet().stream().filter(key -> !listedKeys.contains(key)).toList();
        deletedKeys.forEach(key -> apply(new StoreEntry(key, Optional.empty(), watchRevision)));
        initialListComplete = true;
        startRun();
        handleSuccess();
        listener.onListed();
        watch(run, watchRevision);
    }

    private void watch(long currentRun, StoreRevision revision) {
        if (!closed && currentRun == run) {
            store.watch(
                    revision,
                    WATCH_WAIT,
                    response -> handleWatchResponse(currentRun, revision, response));
        }
    }

    private void handleWatchResponse(
            long currentRun, StoreRevision revision, StoreResponse<Page> response) {
        if (closed || currentRun != run) {
            return;
        }
        if (response instanceof StoreResponse.Success<Page> success) {
            handleSuccess();
            success.value().entries().forEach(this::apply);
            StoreRevision nextRevision = revision.max(success.value().revision());
            clock.schedule(
                    () -> watch(currentRun, nextRevision),
                    pacing.nextDelay(clock.nanoTime(), failoverInProgress.getAsBoolean()));
        } else if (response instanceof StoreResponse.HistoryGone<Page>) {
            list();
        } else {
            retryAfterFailure("watch", response);
        }
    }

    private void apply(StoreEntry entry) {
        StoreRevision knownRevision = revisions.get(entry.key());
        if (knownRevision != null && knownRevision.compareTo(entry.revision()) >= 0) {
            return;
        }
        if (entry.value().isPresent()) {
            revisions.put(entry.key(), entry.revision());
        } else {
            revisions.remove(entry.key());
        }
        // The watch has to continue if a single entry causes an unexpected exception.
        isolation.run(entry.key(), () -> listener.onChanged(entry));
    }

    private void handleSuccess() {
        retryDelay = INITIAL_RETRY_DELAY;
        if (!reachable) {
            reachable = true;
            events.record(EventCode.STORE_REGAINED, EventScope.empty(), "");
            listener.onReconnected();
        }
    }

    private void retryAfterFailure(String call, StoreResponse<Page> response) {
        if (reachable || !initialListComplete) {
            events.record(
                    EventCode.STORE_LOST,
                    EventScope.empty(),
                    "call=" + call + " reply=" + response);
        }
        reachable = false;
        long failedRun = run;
        clock.schedule(
                () -> {
                    if (failedRun == run) {
                        list();
                    }
                },
                retryDelay);
        retryDelay =
                retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                        ? MAX_RETRY_DELAY
                        : retryDelay.plus(retryDelay);
    }

    /** Receives the changes of the store. */
    public interface Listener {
        /**
         * A key was written or deleted.
         *
         * @param entry the current entry of the key
         */
        void onChanged(StoreEntry entry);

        /** All keys were listed. */
        void onListed();

        /**
         * The store responded for the first time, again after a failure, or for the first time
         * after it was restored from a copy.
         */
        void onReconnected();

        /**
         * Creates a listener from functions.
         *
         * @param onChanged receives the entry of a changed key
         * @param onListed runs after all keys were listed
         * @param onReconnected runs when the store responds for the first time or again
         * @return the listener
         */
        static Listener of(
                Consumer<StoreEntry> onChanged, Runnable onListed, Runnable onReconnected) {
            return new Listener() {
                @Override
                public void onChanged(StoreEntry entry) {
                    onChanged.accept(entry);
                }

                @Override
                public void onListed() {
                    onListed.run();
                }

                @Override
                public void onReconnected() {
                    onReconnected.run();
                }
            };
        }
    }
}
