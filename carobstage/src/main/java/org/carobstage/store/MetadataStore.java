package org.carobstage.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The platform's metadata store; every call counts against its rates and ends with one reply. */
public interface MetadataStore {
    /**
     * Lists all keys that this system uses, page by page.
     *
     * @param after the last key of the page before, or empty for the first page
     * @param then takes the page
     */
    void list(Optional<String> after, Consumer<StoreResponse<Page>> then);

    /**
     * Waits for changes of any key that this system uses.
     *
     * @param revision the revision after which changes count
     * @param wait the longest wait
     * @param then takes the changes, possibly none
     */
    void watch(long revision, Duration wait, Consumer<StoreResponse<Page>> then);

    /**
     * Makes a change.
     *
     * @param change the change
     * @param then takes the store's revision after it
     */
    void write(StoreWrite change, Consumer<StoreResponse<Long>> then);

    /**
     * Grants a lease.
     *
     * @param ttl how long it lasts without renewal
     * @param then takes the lease
     */
    void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> then);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param then takes the lease, or a mismatch if it has ended
     */
    void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> then);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     * @param then takes the lease, or a mismatch if it has ended
     */
    void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> then);

    /**
     * Items of the store.
     *
     * @param items the items, deleted ones without a value
     * @param revision the store's revision
     * @param more whether more pages follow
     */
    record Page(List<StoreEntry> items, long revision, boolean hasMore) {
        /** Checks the page. */
        public Page {
            items = List.copyOf(items);
        }
    }
}
