package org.carobstage.store;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * The era of the store, as its responses report it. A response of an earlier era that arrives late
 * describes keys and leases that may no longer exist, so it is not used.
 */
public final class StoreEra {
    private final List<LongConsumer> listeners = new ArrayList<>();
    private long current;
    private boolean known;

    private StoreEra() {}

    /**
     * Creates an era that no response has reported yet.
     *
     * @return the era
     */
    public static StoreEra unknown() {
        return new StoreEra();
    }

    /**
     * Returns the latest era.
     *
     * @return the number of the era, 0 before the first response
     */
    public long current() {
        return current;
    }

    /**
     * Registers a listener that runs when the store was restored from a copy.
     *
     * @param listener receives the new era
     */
    public void addListener(LongConsumer listener) {
        listeners.add(requireNonNull(listener, "listener is null"));
    }

    /**
     * Records the era of a response. Listeners run if it is later than that of an earlier response.
     *
     * @param era the era that the response reports
     * @return false if the response is of an earlier era
     */
    public boolean observe(long era) {
        if (known && era < current) {
            return false;
        }
        boolean restored = known && era > current;
        known = true;
        current = era;
        if (restored) {
            List.copyOf(listeners).forEach(l -> l.accept(era));
        }
        return true;
    }
}
