package org.carobstage.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;
import org.carobstage.store.MetadataStore.Page;

/**
 * Reports the store's keys and their changes to a listener. Lists all keys first and then watches
 * for changes. Lists again after a failure, or if the store has compacted the history that the
 * watch requires.
 */
public final class StoreWatcher {
    /** Limits how long an unresponsive connection of a watch stays undetected. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(4_000);

    /** Combines changes in quick succession into one watch call. */
    private static final Duration WATCH_DELAY = Duration.ofMillis(40);

    /** The first delay before a retry; it doubles with each failure up to the maximum. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Listener listener;
    private final Map<String, Long> revisions = new HashMap<>();
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private boolean reachable;
    private boolean initialListComplete;
    private boolean closed;

    private StoreWatcher(MetadataStore store, Clock clock, EventLog events, Listener listener) {
        this.store = store;
        this.clock = clock;
        this.events = events;
        this.listener = listener;
    }

    /**
     * Creates a watcher; {@link #start} sends the first call.
     *
     * @param store the store
     * @param clock schedules watches and retries
     * @param events records when the store is lost and regained
     * @param listener receives the changes
     * @return the watcher
     */
    public static StoreWatcher of(
            MetadataStore store, Clock clock, EventLog events, Listener listener) {
        requireNonNull(store, "store is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(events, "events is null");
        return new StoreWatcher(store, clock, events, requireNonNull(listener, "listener is null"));
    }

    /** Starts the first listing. */
    public void start() {
        listPage(Optional.empty(), 0, new HashSet<>());
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

    private void listPage(Optional<String> after, long firstPageRevision, Set<String> listedKeys) {
        store.list(after, response -> handleListResponse(response, firstPageRevision, listedKeys));
    }

    private void handleListResponse(
            StoreResponse<Page> response, long firstPageRevision, Set<String> listedKeys) {
        if (closed) {
            return;
        }
        if (!(response instanceof StoreResponse.Success<Page> success)) {
            retryAfterFailure("listing", response, this::start);
            return;
        }
        Page page = success.value();
        long watchRevision = firstPageRevision == 0 ? page.revision() : firstPageRevision;
        page.entries().forEach(entry -> listedKeys.add(entry.key()));
        page.entries().forEach(this::apply);
        if (page.hasMore() && !page.entries().isEmpty()) {
            String lastKey = page.entries().get(page.entries().size() - 1).key();
            listPage(Optional.of(lastKey), watchRevision, listedKeys);
            return;
        }
        List<String> deletedKeys =
                revisions.keySet().stream().filter(key -> !listedKeys.contains(key)).toList();
        deletedKeys.forEach(key -> apply(new StoreEntry(key, Optional.empty(), watchRevision)));
        initialListComplete = true;
        handleSuccess();
        listener.onListed();
        watch(watchRevision);
    }

    private void watch(long revision) {
        if (!closed) {
            store.watch(revision, WATCH_WAIT, response -> handleWatchResponse(revision, response));
        }
    }

    private void handleWatchResponse(long revision, StoreResponse<Page> response) {
        if (closed) {
            return;
        }
        if (response instanceof StoreResponse.Success<Page> success) {
            handleSuccess();
            success.value().entries().forEach(this::apply);
            long nextRevision = Math.max(revision, success.value().revision());
            clock.schedule(() -> watch(nextRevision), WATCH_DELAY);
        } else if (response instanceof StoreResponse.HistoryGone<Page>) {
            start();
        } else {
            retryAfterFailure("watch", response, this::start);
        }
    }

    private void apply(StoreEntry entry) {
        Long knownRevision = revisions.get(entry.key());
        if (knownRevision != null && knownRevision >= entry.revision()) {
            return;
        }
        if (entry.value().isPresent()) {
            revisions.put(entry.key(), entry.revision());
        } else {
            revisions.remove(entry.key());
        }
        listener.onChanged(entry);
    }

    private void handleSuccess() {
        retryDelay = INITIAL_RETRY_DELAY;
        if (!reachable) {
            reachable = true;
            events.record(EventCode.STORE_REGAINED, EventScope.empty(), "");
            listener.onReconnected();
        }
    }

    private void retryAfterFailure(String call, StoreResponse<Page> response, Runnable retry) {
        if (reachable || !initialListComplete) {
            events.record(
                    EventCode.STORE_LOST,
                    EventScope.empty(),
                    "call=" + call + " reply=" + response);
        }
        reachable = false;
        clock.schedule(retry, retryDelay);
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

        /** The store responded for the first time, or again after a failure. */
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
