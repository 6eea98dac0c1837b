package org.carobstage.store;

import java.time.Duration;

/**
 * The timeout of calls to the store. It is short, so that a call whose response is lost is repeated
 * soon, and doubles while the store does not respond in time, since it may only be slow.
 */
public final class CallTimeout {
    /** The store normally responds in 4 ms, a slow one within 60 times as long. */
    private static final Duration INITIAL = Duration.ofMillis(600);

    private static final Duration MAXIMUM = Duration.ofMillis(2_400);

    private Duration current = INITIAL;

    private CallTimeout() {}

    /**
     * Creates the timeout of a store that has not been called yet.
     *
     * @return the timeout
     */
    public static CallTimeout initial() {
        return new CallTimeout();
    }

    /**
     * Returns the timeout of the next call.
     *
     * @return the timeout, from 600 ms to 2.4 s
     */
    public Duration current() {
        return current;
    }

    /** Records that a call was answered in time. */
    public void onAnswered() {
        current = INITIAL;
    }

    /** Records that a call was not answered in time. */
    public void onTimedOut() {
        Duration doubled = current.multipliedBy(2);
        current = doubled.compareTo(MAXIMUM) > 0 ? MAXIMUM : doubled;
    }
}
