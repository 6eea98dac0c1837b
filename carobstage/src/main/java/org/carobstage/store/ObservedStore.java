package org.carobstage.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.runtime.Clock;

/**
 * A store that tracks until when the process knows its changes. While a watch is in progress they
 * arrive at once, so that the response to any other call shows that none is outstanding.
 */
public final class ObservedStore implements MetadataStore {
    private final MetadataStore store;
    private final Clock clock;
    private Optional<ClockReading> answeredAt = Optional.empty();
    private Optional<ClockReading> watchedAt = Optional.empty();
    private int watchesInProgress;

    private ObservedStore(MetadataStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
    }

    /**
     * Creates a store that has not answered yet.
     *
     * @param store executes the calls
     * @param clock the runtime's clock
     * @return the store
     */
    public static ObservedStore of(MetadataStore store, Clock clock) {
        return new ObservedStore(
                requireNonNull(store, "store is null"), requireNonNull(clock, "clock is null"));
    }

    /**
     * Returns until when the process knows the changes.
     *
     * @return when the last call that succeeded was sent or, between two watches, the end of the
     *     last one if that is earlier; empty before the first watch
     */
    public Optional<ClockReading> observedAt() {
        return watchesInProgress > 0
                ? answeredAt
                : watchedAt.flatMap(w -> answeredAt.map(w::earlier));
    }

    @Override
    public StoreEra era() {
        return store.era();
    }

    @Override
    public void list(Optional<String> after, Consumer<StoreResponse<Page>> callback) {
        store.list(after, observing(callback));
    }

    @Override
    public void watch(
            StoreRevision revision, Duration wait, Consumer<StoreResponse<Page>> callback) {
        watchesInProgress++;
        store.watch(
                revision,
                wait,
                response -> {
                    watchesInProgress--;
                    response.ifSuccess(page -> watchedAt = Optional.of(ClockReading.now(clock)));
                    callback.accept(response);
                });
    }

    @Override
    public void write(StoreWrite write, Consumer<StoreResponse<StoreRevision>> callback) {
        store.write(write, observing(callback));
    }

    @Override
    public void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> callback) {
        store.grantLease(ttl, observing(callback));
    }

    @Override
    public void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
        store.renewLease(lease, observing(callback));
    }

    @Override
    public void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
        store.revokeLease(lease, observing(callback));
    }

    private <T> Consumer<StoreResponse<T>> observing(Consumer<StoreResponse<T>> callback) {
        ClockReading requestedAt = ClockReading.now(clock);
        return response -> {
            response.ifSuccess(value -> onAnswered(requestedAt));
            callback.accept(response);
        };
    }

    private void onAnswered(ClockReading requestedAt) {
        if (answeredAt.filter(at -> at.isSince(requestedAt)).isEmpty()) {
            answeredAt = Optional.of(requestedAt);
        }
    }
}
