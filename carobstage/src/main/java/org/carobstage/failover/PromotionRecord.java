package org.carobstage.failover;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.store.KeyReader;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * The record of a promotion request of a service that the platform may still execute, as the store
 * holds it. The holder of the failover lease writes it before the request is sent. The store
 * accepts that only while the lease is held and from a holder that knows the record that it
 * replaces, since the watch may deliver the request of an earlier holder later than the end of its
 * lease.
 */
final class PromotionRecord {
    private final FailoverContext context;
    private final ServiceName service;
    private final String key;
    private Optional<PendingPromotion> recorded = Optional.empty();
    private StoreRevision keyRevision = StoreRevision.NONE;
    private StoreRevision lastChange = StoreRevision.NONE;
    private boolean removing;

    PromotionRecord(FailoverContext context, ServiceName service) {
        this.context = context;
        this.service = service;
        this.key = FailoverKeys.promotion(service);
    }

    /** Returns the request that the platform may still execute, if there is one. */
    Optional<PendingPromotion> pending() {
        return recorded.filter(p -> p.isPending(nowNanos()));
    }

    /** Applies a change of the record that the watch has delivered. */
    void onStoreChange(StoreEntry entry) {
        if (entry.revision().compareTo(lastChange) > 0) {
            lastChange = entry.revision();
            keyRevision = entry.value().map(v -> entry.revision()).orElse(StoreRevision.NONE);
            Optional<PendingPromotion> read = PendingPromotion.parse(entry, nowNanos());
            recorded = recorded.filter(p -> isLost(p, entry, read)).or(() -> read);
        }
    }

    /**
     * Returns whether a restored store has lost a request that the platform may still execute. A
     * record with a lower token is that of an earlier request.
     */
    private boolean isLost(
            PendingPromotion known, StoreEntry entry, Optional<PendingPromotion> read) {
        return known.isPending(nowNanos())
                && known.revision().era() != entry.revision().era()
                && read.filter(p -> p.fencingToken() >= known.fencingToken()).isEmpty();
    }

    /**
     * Records a request before it is sent. The permit to send it begins with the write, since the
     * store confirms the lease as of some moment after that.
     *
     * @param lease the failover lease of this process
     * @param target the instance to promote
     * @param unanswered whether an earlier request to promote it may still be executed
     * @param callback receives the permit to send the request; a mismatch if the lease is not held
     *     or another process has changed the record
     */
    void write(
            FailoverLease lease,
            InstanceId target,
            boolean unanswered,
            Consumer<StoreResponse<PromotionPermit>> callback) {
        String value = PendingPromotion.format(target, lease.fencingToken(), unanswered);
        write(
                lease,
                value,
                response -> {
                    if (response instanceof StoreResponse.Mismatch<PromotionPermit>) {
                        KeyReader.read(
                                context.store(),
                                key,
                                entry -> {
                                    entry.ifPresent(this::onStoreChange);
                                    writeAgain(lease, value, callback);
                                });
                    } else {
                        callback.accept(response);
                    }
                });
    }

    /** Removes the record of requests that the platform can no longer execute. */
    void clear(FailoverLease lease) {
        StoreWrite delete = lease.onlyWhileHeld(StoreWrite.delete(key)).onlyIf(key, keyRevision);
        context.store()
                .write(delete, response -> response.ifSuccess(r -> onStoreChange(absent(r))));
    }

    /** Removes an expired record, which a process that starts later would take for pending. */
    void removeExpired() {
        Optional<PendingPromotion> expired = recorded.filter(p -> !p.isPending(nowNanos()));
        if (expired.isEmpty() || removing) {
            return;
        }
        removing = true;
        StoreWrite delete = StoreWrite.delete(key).onlyIf(key, expired.get().revision());
        context.store()
                .write(
                        delete,
                        response -> {
                            removing = false;
                            response.ifSuccess(r -> onStoreChange(absent(r)));
                            if (response instanceof StoreResponse.Mismatch<StoreRevision>) {
                                recorded = recorded.filter(p -> !expired.get().equals(p));
                            }
                        });
    }

    private void write(
            FailoverLease lease, String value, Consumer<StoreResponse<PromotionPermit>> callback) {
        PromotionPermit permit = PromotionPermit.of(context.clock());
        StoreWrite write =
                lease.onlyWhileHeld(StoreWrite.put(key, value, LeaseId.NONE))
                        .onlyIf(key, keyRevision);
        context.store()
                .write(
                        write,
                        response -> {
                            response.ifSuccess(
                                    r -> onStoreChange(new StoreEntry(key, Optional.of(value), r)));
                            callback.accept(response.map(r -> permit));
                        });
    }

    /**
     * Writes the record again if an earlier write of this holder, without a response, is stored.
     */
    private void writeAgain(
            FailoverLease lease, String value, Consumer<StoreResponse<PromotionPermit>> callback) {
        if (recorded.filter(p -> p.fencingToken() == lease.fencingToken()).isPresent()) {
            write(lease, value, callback);
        } else {
            callback.accept(new StoreResponse.Mismatch<>());
        }
    }

    private StoreEntry absent(StoreRevision revision) {
        return new StoreEntry(key, Optional.empty(), revision);
    }

    private long nowNanos() {
        return context.clock().nanoTime();
    }
}
