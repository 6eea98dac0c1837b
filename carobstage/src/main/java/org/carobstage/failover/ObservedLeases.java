package org.carobstage.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.ServiceName;
import org.carobstage.store.MetadataStore.Page;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWrite;

/**
 * The failover leases of all services, as the watch has delivered them. A key of an earlier era, or
 * one that names this process although it does not hold the lease, has no holder. If it does not
 * expire within the TTL of a lease, it is deleted, since it would prevent failovers and the
 * withdrawal of votes for good.
 */
final class ObservedLeases {
    private final FailoverContext context;
    private final Map<ServiceName, StoreEntry> entries = new HashMap<>();
    private final Map<ServiceName, ClockReading> voidSince = new HashMap<>();

    ObservedLeases(FailoverContext context) {
        this.context = context;
    }

    void put(ServiceName service, StoreEntry entry) {
        entries.put(service, entry);
    }

    void remove(ServiceName service) {
        entries.remove(service);
        voidSince.remove(service);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    boolean contains(ServiceName service) {
        return entries.containsKey(service);
    }

    Optional<StoreEntry> find(ServiceName service) {
        return Optional.ofNullable(entries.get(service));
    }

    /**
     * Deletes the key of a lease that has had no holder for long enough.
     *
     * @param service the service
     * @param own the lease of this process
     * @param delay the delay in addition to the TTL, which differs between processes
     */
    void deleteVoid(ServiceName service, FailoverLease own, Duration delay) {
        ClockReading now = ClockReading.now(context.clock());
        Optional<StoreEntry> unheld = find(service).filter(entry -> isVoid(entry, own));
        if (unheld.isEmpty()) {
            voidSince.remove(service);
            return;
        }
        Duration age = voidSince.computeIfAbsent(service, s -> now).age(now);
        if (age.compareTo(FailoverLease.TTL.plus(delay)) >= 0) {
            voidSince.remove(service);
            StoreEntry entry = unheld.get();
            context.record(
                    EventCode.FAILOVER_LEASE_VOID,
                    service,
                    "value=" + entry.value().orElse("none") + " at=" + entry.revision());
            deleteIfStillStored(entry);
        }
    }

    /**
     * Lists the key before deleting it, since the response tells the era. In an era that is not
     * known yet, the key of a holder may have the same revision number.
     */
    private void deleteIfStillStored(StoreEntry entry) {
        StoreWrite delete = StoreWrite.delete(entry.key()).onlyIf(entry.key(), entry.revision());
        context.store()
                .list(
                        Optional.of(FailoverKeys.LEASE_PREFIX),
                        response -> {
                            if (response instanceof StoreResponse.Success<Page> page
                                    && page.value().entries().contains(entry)) {
                                context.store().write(delete, deleted -> {});
                            }
                        });
    }

    private static boolean isVoid(StoreEntry entry, FailoverLease own) {
        return entry.value()
                .flatMap(LeaseHolder::parse)
                .filter(h -> h.era() < entry.revision().era() || own.isUnheldEntry(h, entry))
                .isPresent();
    }
}
