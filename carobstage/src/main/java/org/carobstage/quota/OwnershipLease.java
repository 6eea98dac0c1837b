package org.carobstage.quota;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.freshness.ClockReading;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreResponse;

/**
 * A store lease of this process, such as that of the shards that it owns. Its age counts from when
 * its grant or renewal was requested, by the clock that shows more. It does not outlive the era of
 * the store.
 */
final class OwnershipLease {
    /** The time that a shard has no owner after its owner was killed. */
    static final Duration TTL = Duration.ofMillis(3_000);

    /** The owner stops 300 ms before the lease expires, to allow for a grant in transit. */
    static final Timing SHARDS = new Timing(TTL, Duration.ofMillis(1_000), Duration.ofMillis(300));

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final MetadataStore store;
    private final Clock clock;
    private final Timing timing;
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
     * @param timing how long the lease lasts
     * @param onChanged runs after the lease was granted, renewed or lost
     */
    OwnershipLease(MetadataStore store, Clock clock, Timing timing, Runnable onChanged) {
        this.timing = timing;
        this.store = store;
        this.clock = clock;
        this.onChanged = onChanged;
        this.nextCallNanos = clock.nanoTime();
    }

    /** Returns the lease if it can still be relied on. */
    Optional<LeaseId> id() {
        return id.filter(
                lease -> renewedAt.age(ClockReading.now(clock)).compareTo(timing.usable()) < 0);
    }

    /** Returns the reading at which the lease can no longer be relied on, by either clock. */
    ClockReading until() {
        return new ClockReading(
                renewedAt.monotonicNanos() + timing.usable().toNanos(),
                renewedAt.epochNanos() + timing.usable().toNanos());
    }

    /** Returns when the call was sent that has granted or renewed a lease last. */
    Optional<ClockReading> renewedAt() {
        return Optional.ofNullable(renewedAt);
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

    /** Revokes the lease, which deletes its keys. */
    void release() {
        id.ifPresent(lease -> store.revokeLease(lease, response -> {}));
        id = Optional.empty();
    }

    /** Revokes the lease, which deletes its keys; no other is requested. */
    void end() {
        ended = true;
        release();
    }

    private void request() {
        ClockReading requestedAt = ClockReading.now(clock);
        long era = store.era().current();
        calling = true;
        store.grantLease(
                timing.ttl,
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
        Duration delay = success ? timing.renewalInterval : RETRY_DELAY;
        nextCallNanos = clock.nanoTime() + delay.toNanos();
    }

    /**
     * How long a lease lasts.
     *
     * @param ttl the time after which the store ends it unless it is renewed
     * @param renewalInterval the interval at which it is renewed
     * @param safetyMargin the time before its end from which it is not relied on
     */
    record Timing(Duration ttl, Duration renewalInterval, Duration safetyMargin) {
        private Duration usable() {
            return ttl.minus(safetyMargin);
        }
    }
}
