package org.carobstage.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.carobstage.event.EventCode;
import org.carobstage.model.ServiceName;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWrite;

/**
 * The lease that a process must hold to replace the primary of a service. Its fencing token is the
 * store revision at which it was acquired. A holder that has requested a promotion lets the lease
 * expire instead of revoking it, so that holders do not change in quick succession.
 */
final class FailoverLease {
    /** Outlasts a slow store, yet lets another process acquire the lease soon after a crash. */
    static final Duration TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_000);

    private final FailoverContext context;
    private final ServiceName service;
    private Optional<LeaseId> lease = Optional.empty();
    private long fencingToken;
    private long validUntilNanos;
    private boolean inUse;
    private boolean usedForPromotion;

    FailoverLease(FailoverContext context, ServiceName service) {
        this.context = context;
        this.service = service;
    }

    boolean isHeld() {
        return lease.isPresent() && context.clock().nanoTime() - validUntilNanos < 0;
    }

    /** Acquires the lease, or renews it if it is already held. */
    void acquire(LongConsumer onAcquired, Runnable onNotAcquired) {
        inUse = true;
        if (isHeld()) {
            renew();
            onAcquired.accept(fencingToken);
            return;
        }
        lease = Optional.empty();
        long requestedNanos = context.clock().nanoTime();
        context.store()
                .grantLease(
                        TTL,
                        response -> {
                            if (response instanceof StoreResponse.Success<LeaseId> success) {
                                writeHolder(
                                        success.value(), requestedNanos, onAcquired, onNotAcquired);
                            } else {
                                onNotAcquired.run();
                            }
                        });
    }

    /**
     * Releases the lease. It expires after its TTL if a promotion was requested under it. Otherwise
     * it is revoked at once, so that writes may go to the old primary again.
     */
    void release(boolean promotionRequested) {
        inUse = false;
        usedForPromotion |= promotionRequested;
        if (!usedForPromotion) {
            lease.ifPresent(id -> context.store().revokeLease(id, response -> {}));
            lease = Optional.empty();
        }
    }

    private void writeHolder(
            LeaseId granted, long requestedNanos, LongConsumer onAcquired, Runnable onNotAcquired) {
        StoreWrite putHolder =
                StoreWrite.putIfAbsent(FailoverKeys.lease(service), context.vm().value(), granted);
        context.store()
                .write(
                        putHolder,
                        response -> {
                            if (response instanceof StoreResponse.Success<Long> success) {
                                lease = Optional.of(granted);
                                usedForPromotion = false;
                                fencingToken = success.value();
                                validUntilNanos = requestedNanos + TTL.toNanos();
                                context.record(
                                        EventCode.FAILOVER_LEASE_HELD,
                                        service,
                                        "fence=" + fencingToken);
                                scheduleRenewal();
                                onAcquired.accept(fencingToken);
                            } else {
                                context.store().revokeLease(granted, revocation -> {});
                                onNotAcquired.run();
                            }
                        });
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
        long requestedNanos = context.clock().nanoTime();
        lease.ifPresent(
                id ->
                        context.store()
                                .renewLease(
                                        id,
                                        response -> {
                                            if (response
                                                    instanceof StoreResponse.Success<LeaseId>) {
                                                validUntilNanos = requestedNanos + TTL.toNanos();
                                            } else if (response
                                                    instanceof StoreResponse.Mismatch<LeaseId>) {
                                                lease = Optional.empty();
                                            }
                                        }));
    }
}
