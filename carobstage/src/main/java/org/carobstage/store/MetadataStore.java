package org.carobstage.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of the platform's metadata store. Each call counts against the store's rate limits and
 * completes with exactly one response.
 */
public interface MetadataStore {
    /**
     * Returns the era of the store, which changes when the store is restored from a copy.
     *
     * @return the era that the responses report
     */
    StoreEra era();

    /**
     * Lists one page of the keys that carobstage uses.
     *
     * @param after the last key of the previous page, or empty for the first page
     * @param callback receives the page
     */
    void list(Optional<String> after, Consumer<StoreResponse<Page>> callback);

    /**
     * Waits until a key that carobstage uses changes after a revision.
     *
     * @param revision the revision after which changes are reported
     * @param wait the maximum wait
     * @param callback receives the changes, possibly none
     */
    void watch(StoreRevision revision, Duration wait, Consumer<StoreResponse<Page>> callback);

    /**
     * Applies a conditional write. It succeeds only in the era of the revisions that it expects,
     * since a later era assigns their numbers again.
     *
     * @param write the conditions and changes
     * @param callback receives the store's revision after the write
     */
    void write(StoreWrite write, Consumer<StoreResponse<StoreRevision>> callback);

    /**
     * Grants a lease.
     *
     * @param ttl the time after which the lease expires without renewal
     * @param callback receives the lease
     */
    void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback receives the lease, or a mismatch if it no longer exists
     */
    void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback);

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param lease the lease
     * @param callback receives the lease, or a mismatch if it no longer exists
     */
    void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback);

    /**
     * A page of entries of the store.
     *
     * @param entries the entries; a deleted key has no value
     * @param revision the store's revision, after which to watch next
     * @param hasMore whether more pages follow
     */
    record Page(List<StoreEntry> entries, StoreRevision revision, boolean hasMore) {
        /** Copies the list. */
        public Page {
            entries = List.copyOf(entries);
        }
    }
}
