package org.carobstage.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The platform's key-value service and list of VMs; each call counts against rate limits. */
public interface Platform extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry, of version 0 if the key is absent, or empty if no response arrived
     */
    CompletionStage<Optional<Entry>> get(String key);

    /**
     * Replaces the value of a key if the key has the expected version.
     *
     * @param key the key
     * @param expectedVersion the version that the key must have, 0 if it must be absent
     * @param value the new value
     * @return a stage that completes with the outcome and never fails
     */
    CompletionStage<CasResult> compareAndSwap(String key, long expectedVersion, String value);

    /**
     * Waits until a key under a prefix changes after a revision.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision of the last change seen under the prefix
     * @param wait the maximum wait
     * @return the entries changed since, possibly none, or empty if no response arrived
     */
    CompletionStage<Optional<Changes>> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Acquires or renews a lease on a key.
     *
     * @param key the key
     * @param holder the name of the holder
     * @param ttl how long the lease lasts, from when the service grants it
     * @return true if granted, false if another holder has it, or empty if no response arrived
     */
    CompletionStage<Optional<Boolean>> acquireLease(String key, String holder, Duration ttl);

    /**
     * Reads the list of VMs.
     *
     * @return the list, or empty if no response arrived
     */
    CompletionStage<Optional<List<RegisteredVm>>> listVms();

    /** Closes the connections to the service. */
    @Override
    void close();

    /**
     * Entries that changed under a prefix.
     *
     * @param revision the revision from which to watch next
     * @param entries the changed entries
     */
    record Changes(long revision, List<Entry> entries) {
        /** Copies the list. */
        public Changes {
            entries = List.copyOf(entries);
        }
    }
}
