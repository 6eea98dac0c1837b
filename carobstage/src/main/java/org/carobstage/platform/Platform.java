package org.carobstage.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The platform's key-value service and list of VMs; each call counts against its rates. */
public interface Platform extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry, of version 0 if the key is absent, or empty if no answer came
     */
    CompletionStage<Optional<Entry>> get(String key);

    /**
     * Changes a key if its version is still the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that must stand, 0 if the key must be absent
     * @param value the new value
     * @return the outcome; the stage never fails
     */
    CompletionStage<CasResult> compareAndSwap(String key, long expectedVersion, String value);

    /**
     * Waits until any key under a prefix is newer than a revision.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision of the last change seen under the prefix
     * @param wait the longest wait
     * @return the entries changed since, possibly none, or empty if no answer came
     */
    CompletionStage<Optional<Changes>> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Takes or renews a lease on a key.
     *
     * @param key the key
     * @param holder who takes it
     * @param ttl how long it lasts from the moment the service grants it
     * @return true if granted, false if somebody else holds it, or empty if no answer came
     */
    CompletionStage<Optional<Boolean>> acquireLease(String key, String holder, Duration ttl);

    /**
     * Reads the list of VMs.
     *
     * @return the list, or empty if no answer came
     */
    CompletionStage<Optional<List<RegisteredVm>>> listVms();

    /** Closes the connections to the service. */
    @Override
    void close();

    /**
     * Entries that changed under a prefix.
     *
     * @param revision the revision to watch from next
     * @param entries the changed entries
     */
    record Changes(long revision, List<Entry> entries) {
        /** Checks the changes. */
        public Changes {
            entries = List.copyOf(entries);
        }
    }
}
