package org.carobstage.quota;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.freshness.ClockReading;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreResponse;

/**
 * The store lease of all shards that this process owns. Its age counts from when its grant or
 * renewal was requested, by the clock that shows more. It does not outlive the era of the store.
 */
final class OwnershipLease {
    /** The time that a shard has no owner after its owner was killed. */
    static final Duration TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_000);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** The owner stops this long before the lease expires, to allow for a grant in transit. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(300);

    private static final Duration USABLE_TIME = TTL.minus(SAFETY_MARGIN);

    private final MetadataStore store;
    private final Clock clock;
    private final Runnable onChanged;
    private Optional<LeaseId> id = Optional.empty();
    private ClockReading renewedAt;
    private long nextCallNanos;
    private boolean calling;
    private boolean ended;

    /**
     * Creates a lease that is not held.
     *
     * @param store grants the lease
     * @param clock the runtime's clock
     * @param onChanged runs after the lease was granted, renewed or lost
     */
    OwnershipLease(MetadataStore store, Clock clock, Runnable onChanged) {
        this.store = store;
        this.clock = clock;
        this.onChanged = onChanged;
        this.nextCallNanos = clock.nanoTime();
    }

    /** Returns the lease if it can still be relied on. */
    Optional<LeaseId> id() {
        return id.filter(
                lease -> renewedAt.age(ClockReading.now(clock)).compareTo(USABLE_TIME) < 0);
    }

    /** Returns the reading at which the lease can no longer be relied on, by either clock. */
    ClockReading until() {
        return new ClockReading(
                renewedAt.monotonicNanos() + USABLE_TIME.toNanos(),
                renewedAt.epochNanos() + USABLE_TIME.toNanos());
    }

    /** Requests the lease or renews it, if that is due. */
    void keep() {
        if (ended || calling || clock.nanoTime() - nextCallNanos < 0) {
            return;
        }
        Optional<LeaseId> current = id();
        if (current.isPresent()) {
            renew(current.get());
        } else {
            request();
        }
    }

    /** Forgets the lease, which a restored store may have lost or granted to another process. */
    void forget() {
        id = Optional.empty();
        nextCallNanos = clock.nanoTime();
    }

    /** Revokes the lease, which deletes its keys; no other is requested. */
    void end() {
        ended = true;
        id.ifPresent(lease -> store.revokeLease(lease, response -> {}));
        id = Optional.empty();
    }

    private void request() {
        ClockReading requestedAt = ClockReading.now(clock);
        long era = store.era().current();
        calling = true;
        store.grantLease(
                TTL,
                response -> {
                    calling = false;
                    boolean granted = response instanceof StoreResponse.Success<LeaseId>;
                    scheduleNext(granted);
                    if (granted && era == store.era().current()) {
                        accept(((StoreResponse.Success<LeaseId>) response).value(), requestedAt);
                    }
                });
    }

    private void accept(LeaseId granted, ClockReading requestedAt) {
        if (ended) {
            store.revokeLease(granted, response -> {});
            return;
        }
        id = Optional.of(granted);
        renewedAt = requestedAt;
        onChanged.run();
    }

    private void renew(LeaseId lease) {
        ClockReading requestedAt = ClockReading.now(clock);
        calling = true;
        store.renewLease(
                lease,
                response -> {
                    calling = false;
                    scheduleNext(response instanceof StoreResponse.Success<LeaseId>);
                    if (!id.equals(Optional.of(lease))) {
                        return;
                    }
                    if (response instanceof StoreResponse.Success<LeaseId>) {
                        renewedAt = requestedAt;
                        onChanged.run();
                    } else if (response instanceof StoreResponse.Mismatch<LeaseId>) {
                        forget();
                        onChanged.run();
                    }
                });
    }

    private void scheduleNext(boolean success) {
        Duration delay = success ? RENEWAL_INTERVAL : RETRY_DELAY;
        nextCallNanos = clock.nanoTime() + delay.toNanos();
    }
}
