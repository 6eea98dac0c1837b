package org.carobstage.store;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.store.MetadataStore.Page;

/**
 * Reads a key whose expected revision the store has rejected. The watch does not report that a key
 * is gone which it has never shown, so that a revision known from an own write may be wrong for
 * good.
 */
public final class KeyReader {
    private KeyReader() {}

    /**
     * Reads a key.
     *
     * @param store the store
     * @param key the key
     * @param callback receives its entry, without a value if the key does not exist; empty if that
     *     is not known
     */
    public static void read(
            MetadataStore store, String key, Consumer<Optional<StoreEntry>> callback) {
        // A page of keys that starts further away may end before this one.
        String before = key.substring(0, key.length() - 1);
        store.list(
                Optional.of(before),
                response ->
                        callback.accept(
                                response instanceof StoreResponse.Success<Page> success
                                        ? find(success.value(), key)
                                        : Optional.empty()));
    }

    private static Optional<StoreEntry> find(Page page, String key) {
        boolean complete =
                !page.hasMore()
                        || page.entries().stream().anyMatch(e -> e.key().compareTo(key) > 0);
        return page.entries().stream()
                .filter(e -> e.key().equals(key))
                .findFirst()
                .or(
                        () ->
                                Optional.of(new StoreEntry(key, Optional.empty(), page.revision()))
                                        .filter(e -> complete));
    }
}
