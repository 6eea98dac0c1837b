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
 * The lease that lets one process replace the primary of a service. Its fence is the revision at
 * which it was taken. After an order it is left to lapse, so that holders do not change in quick
 * succession.
 */
final class FailoverLease {
    /** Long enough for a slow store, short enough to follow a holder that dies. */
    static final Duration TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL = Duration.ofMillis(1_000);

    private final FailoverContext context;
    private final ServiceName service;
    private Optional<LeaseId> lease = Optional.empty();
    private long fence;
    private long validUntil;
    private boolean wanted;
    private boolean used;

    FailoverLease(FailoverContext context, ServiceName service) {
        this.context = context;
        this.service = service;
    }

    boolean isHeld() {
        return lease.isPresent() && context.clock().nanoTime() - validUntil < 0;
    }

    /** Takes the lease or goes on with it. */
    void acquire(LongConsumer held, Runnable notHeld) {
        wanted = true;
        if (isHeld()) {
            renew();
            held.accept(fence);
            return;
        }
        lease = Optional.empty();
        long asked = context.clock().nanoTime();
        context.store()
                .grantLease(
                        TTL,
                        reply -> {
                            if (reply instanceof StoreResponse.Success<LeaseId> done) {
                                create(done.value(), asked, held, notHeld);
                            } else {
                                notHeld.run();
                            }
                        });
    }

    /**
     * Gives the lease up. After an order it lapses at the end of its time; a lease without an order
     * ends at once, so that writes may go to the old primary again.
     */
    void release(boolean ordered) {
        wanted = false;
        used |= ordered;
        if (!used) {
            lease.ifPresent(id -> context.store().revokeLease(id, reply -> {}));
            lease = Optional.empty();
        }
    }

    private void create(LeaseId granted, long asked, LongConsumer held, Runnable notHeld) {
        StoreWrite take =
                StoreWrite.putIfAbsent(FailoverKeys.lease(service), context.vm().value(), granted);
        context.store()
                .write(
                        take,
                        reply -> {
                            if (reply instanceof StoreResponse.Success<Long> done) {
                                lease = Optional.of(granted);
                                used = false;
                                fence = done.value();
                                validUntil = asked + TTL.toNanos();
                                context.record(
                                        EventCode.FAILOVER_LEASE_HELD, service, "fence=" + fence);
                                scheduleRenewal();
                                held.accept(fence);
                            } else {
                                context.store().revokeLease(granted, ended -> {});
                                notHeld.run();
                            }
                        });
    }

    private void scheduleRenewal() {
        context.clock()
                .schedule(
                        () -> {
                            if (wanted && isHeld()) {
                                renew();
                                scheduleRenewal();
                            }
                        },
                        RENEWAL);
    }

    private void renew() {
        long asked = context.clock().nanoTime();
        lease.ifPresent(
                id ->
                        context.store()
                                .renewLease(
                                        id,
                                        reply -> {
                                            if (reply instanceof StoreResponse.Success<LeaseId>) {
                                                validUntil = asked + TTL.toNanos();
                                            } else if (reply
                                                    instanceof StoreResponse.Mismatch<LeaseId>) {
                                                lease = Optional.empty();
                                            }
                                        }));
    }
}
