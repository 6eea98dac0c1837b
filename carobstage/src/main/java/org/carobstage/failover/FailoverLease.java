package org.carobstage.failover;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.ServiceName;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * The lease that a process must hold to replace the primary of a service. Its fencing token is the
 * store revision at which it was acquired. A holder that has requested a promotion lets the lease
 * expire instead of revoking it, so that holders do not change in quick succession. A lease does
 * not outlive the era of the store in which it was acquired.
 */
final class FailoverLease {
    /** Outlasts a slow store, yet lets another process acquire the lease soon after a crash. */
    static final Duration TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_000);

    /** The holder stops this long before the lease expires, to allow for a request in transit. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(300);

    private static final Duration USABLE_TIME = TTL.minus(SAFETY_MARGIN);

    private final FailoverContext context;
    private final ServiceName service;
    private final String run;
    private Optional<LeaseId> lease = Optional.empty();
    private StoreRevision acquiredAt = StoreRevision.NONE;
    private ClockReading renewedAt;
    private long acquiredNanos;
    private boolean inUse;
    private boolean usedForPromotion;

    FailoverLease(FailoverContext context, ServiceName service) {
        this.context = context;
        this.service = service;
        this.run = Long.toString(context.clock().instant().toEpochMilli());
    }

    boolean isHeld() {
        return lease.isPresent() && age().compareTo(USABLE_TIME) < 0;
    }

    /** Returns the time since the lease was renewed. */
    Duration age() {
        return renewedAt.age(ClockReading.now(context.clock()));
    }

    /**
     * Returns whether an observed entry is that of the lease held now, not of an earlier one.
     *
     * @param entry the entry, or empty if none was observed
     */
    boolean isHeldAs(Optional<StoreEntry> entry) {
        return isHeld() && entry.filter(e -> e.revision().equals(acquiredAt)).isPresent();
    }

    /** Returns whether an entry names this process as the holder, although it is not. */
    boolean isUnheldEntry(LeaseHolder holder, StoreEntry entry) {
        return holder.isSameRun(holder()) && !isHeldAs(Optional.of(entry));
    }

    /** Returns whether no promotion was requested with the token in an earlier failover. */
    boolean hasNewToken() {
        return !usedForPromotion;
    }

    /** Returns the monotonic time at which this process knew that it held the lease. */
    long acquiredNanos() {
        return acquiredNanos;
    }

    /** Returns the fencing token of the lease that is or was held last. */
    long fencingToken() {
        return acquiredAt.toFencingToken();
    }

    /** Acquires the lease, or renews it if it is already held. */
    void acquire(Runnable onAcquired, Runnable onNotAcquired) {
        inUse = true;
        if (isHeld()) {
            renew();
            scheduleRenewal();
            onAcquired.run();
            return;
        }
        lease = Optional.empty();
        ClockReading requestedAt = ClockReading.now(context.clock());
        context.store()
                .grantLease(
                        TTL,
                        response -> {
                            if (response instanceof StoreResponse.Success<LeaseId> success) {
                                writeHolder(
                                        success.value(), requestedAt, onAcquired, onNotAcquired);
                            } else {
                                onNotAcquired.run();
                            }
                        });
    }

    /** Drops the lease, which the store may have ended; its key expires. */
    void drop() {
        lease = Optional.empty();
    }

    /** Drops the lease if the watch shows that its key has been deleted or written again. */
    void onStoreChange(StoreEntry entry) {
        if (lease.isPresent() && entry.revision().compareTo(acquiredAt) > 0) {
            lease = Optional.empty();
        }
    }

    /** Drops the lease, which a restored store may have lost or granted to another process. */
    void onStoreRestored() {
        lease = Optional.empty();
        usedForPromotion = false;
    }

    /**
     * Releases the lease. It expires after its TTL if a promotion was requested under it. Otherwise
     * it is revoked at once, so that writes may go to the old primary again. A lease that is not
     * held any more is left to expire: the store may have been restored since, and its id may be
     * that of another process's lease.
     */
    void release(boolean promotionRequested) {
        inUse = false;
        usedForPromotion |= promotionRequested;
        if (!usedForPromotion) {
            lease.filter(id -> isHeld())
                    .ifPresent(id -> context.store().revokeLease(id, response -> {}));
            lease = Optional.empty();
        }
    }

    private void writeHolder(
            LeaseId granted,
            ClockReading requestedAt,
            Runnable onAcquired,
            Runnable onNotAcquired) {
        LeaseHolder holder = holder();
        StoreWrite putHolder =
                StoreWrite.putIfAbsent(FailoverKeys.lease(service), holder.format(), granted);
        context.store()
                .write(
                        putHolder,
                        response -> {
                            // A restored store may have granted the id to another process.
                            boolean sameEra = holder.era() == context.store().era().current();
                            if (sameEra
                                    && response
                                            instanceof
                                            StoreResponse.Success<StoreRevision> success) {
                                lease = Optional.of(granted);
                                usedForPromotion = false;
                                acquiredAt = success.value();
                                renewedAt = requestedAt;
                                acquiredNanos = context.clock().nanoTime();
                                context.record(
                                        EventCode.FAILOVER_LEASE_HELD,
                                        service,
                                        "fence=" + fencingToken());
                                scheduleRenewal();
                                onAcquired.run();
                            } else {
                                // Only a response shows that the era has not changed.
                                boolean answered = !(response instanceof StoreResponse.NoAnswer);
                                if (sameEra && answered) {
                                    context.store().revokeLease(granted, revocation -> {});
                                }
                                onNotAcquired.run();
                            }
                        });
    }

    /** Adds the condition that this process holds the lease, also if it has not noticed the end. */
    StoreWrite onlyWhileHeld(StoreWrite write) {
        return write.onlyIf(FailoverKeys.lease(service), acquiredAt);
    }

    private LeaseHolder holder() {
        return new LeaseHolder(context.vm(), run, context.store().era().current());
    }

    private void scheduleRenewal() {
        context.clock()
                .schedule(
                        () -> {
                            if (inUse && isHeld()) {
                                renew();
                                scheduleRenewal();
                            }
                        },
                        RENEWAL_INTERVAL);
    }

    private void renew() {
        ClockReading requestedAt = ClockReading.now(context.clock());
        lease.ifPresent(
                id ->
                        context.store()
                                .renewLease(
                                        id,
                                        response -> {
                                            if (!lease.equals(Optional.of(id))) {
                                                return;
                                            }
                                            if (response
                                                    instanceof StoreResponse.Success<LeaseId>) {
                                                renewedAt = requestedAt;
                                            } else if (response
                                                    instanceof StoreResponse.Mismatch<LeaseId>) {
                                                lease = Optional.empty();
                                            }
                                        }));
    }
}
