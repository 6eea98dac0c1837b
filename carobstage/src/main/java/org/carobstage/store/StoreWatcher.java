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
 * A copy of the store's keys, filled by a listing and kept current by a watch. After a failure, or
 * when the store has dropped its history, everything is listed again.
 */
public final class StoreWatcher {
    /** Bounds how long a watch whose connection went silent goes unnoticed. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(4_000);

    /** Gathers changes that come in quick succession into one call. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(40);

    /** The first and the longest pause after a failed call. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Listener listener;
    private final Map<String, Long> revisions = new HashMap<>();
    private Duration pause = FIRST_PAUSE;
    private boolean reachable;
    private boolean everListed;
    private boolean closed;

    private StoreWatcher(MetadataStore store, Clock clock, EventLog events, Listener listener) {
        this.store = store;
        this.clock = clock;
        this.events = events;
        this.listener = listener;
    }

    /**
     * Creates a mirror; {@link #start} fills it.
     *
     * @param store the store
     * @param clock the runtime's clock
     * @param events the log of decisions
     * @param listener told of changes
     * @return the mirror
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

    /** Stops following the store. */
    public void close() {
        closed = true;
    }

    /**
     * Tells whether the last call was answered.
     *
     * @return true while the store is reachable
     */
    public boolean isReachable() {
        return reachable;
    }

    private void listPage(Optional<String> after, long since, Set<String> seen) {
        store.list(after, reply -> listed(reply, since, seen));
    }

    private void listed(StoreResponse<Page> reply, long since, Set<String> seen) {
        if (closed) {
            return;
        }
        if (!(reply instanceof StoreResponse.Success<Page> done)) {
            failed("listing", reply, this::start);
            return;
        }
        Page page = done.value();
        long first = since == 0 ? page.revision() : since;
        page.items().forEach(item -> seen.add(item.key()));
        page.items().forEach(this::apply);
        if (page.hasMore() && !page.items().isEmpty()) {
            String last = page.items().get(page.items().size() - 1).key();
            listPage(Optional.of(last), first, seen);
            return;
        }
        List<String> missing =
                revisions.keySet().stream().filter(key -> !seen.contains(key)).toList();
        missing.forEach(key -> apply(new StoreEntry(key, Optional.empty(), first)));
        everListed = true;
        succeeded();
        listener.onListed();
        watch(first);
    }

    private void watch(long revision) {
        if (!closed) {
            store.watch(revision, WATCH_WAIT, reply -> watched(revision, reply));
        }
    }

    private void watched(long revision, StoreResponse<Page> reply) {
        if (closed) {
            return;
        }
        if (reply instanceof StoreResponse.Success<Page> done) {
            succeeded();
            done.value().items().forEach(this::apply);
            long next = Math.max(revision, done.value().revision());
            clock.schedule(() -> watch(next), WATCH_PAUSE);
        } else if (reply instanceof StoreResponse.HistoryGone<Page>) {
            start();
        } else {
            failed("watch", reply, this::start);
        }
    }

    private void apply(StoreEntry item) {
        Long known = revisions.get(item.key());
        if (known != null && known >= item.revision()) {
            return;
        }
        if (item.value().isPresent()) {
            revisions.put(item.key(), item.revision());
        } else {
            revisions.remove(item.key());
        }
        listener.onChanged(item);
    }

    private void succeeded() {
        pause = FIRST_PAUSE;
        if (!reachable) {
            reachable = true;
            events.record(EventCode.STORE_REGAINED, EventScope.empty(), "");
            listener.onReconnected();
        }
    }

    private void failed(String call, StoreResponse<Page> reply, Runnable again) {
        if (reachable || !everListed) {
            events.record(
                    EventCode.STORE_LOST, EventScope.empty(), "call=" + call + " reply=" + reply);
        }
        reachable = false;
        clock.schedule(again, pause);
        pause =
                pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0
                        ? LONGEST_PAUSE
                        : pause.plus(pause);
    }

    /** Told of what changes in the store. */
    public interface Listener {
        /**
         * A key was written or deleted.
         *
         * @param item the key as it is now
         */
        void onChanged(StoreEntry item);

        /** A listing is complete. */
        void onListed();

        /** The store answers again. */
        void onReconnected();

        /**
         * Creates a listener from functions.
         *
         * @param changed takes a changed key
         * @param listed runs after a complete listing
         * @param regained runs when the store answers again
         * @return the listener
         */
        static Listener of(Consumer<StoreEntry> changed, Runnable listed, Runnable regained) {
            return new Listener() {
                @Override
                public void onChanged(StoreEntry item) {
                    changed.accept(item);
                }

                @Override
                public void onListed() {
                    listed.run();
                }

                @Override
                public void onReconnected() {
                    regained.run();
                }
            };
        }
    }
}
