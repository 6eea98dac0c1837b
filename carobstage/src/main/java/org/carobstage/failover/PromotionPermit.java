package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.freshness.ClockReading;
import org.carobstage.runtime.Clock;

/**
 * Permits a holder of the failover lease to send one promotion request and to await its response,
 * for a limited time that begins before the store confirms the lease. The next holder waits for the
 * end of the permit, so that no request of the earlier one follows its own, even if the store has
 * ended the lease before it expired.
 */
public final class PromotionPermit {
    /** Covers a response of the store and one of the platform that take half a second each. */
    static final Duration VALIDITY = Duration.ofMillis(1_200);

    /** The time that a request sent at the end of the permit needs to arrive. */
    static final Duration TRANSIT_TIME = Duration.ofMillis(200);

    private final Clock clock;
    private final ClockReading begin;

    private PromotionPermit(Clock clock, ClockReading begin) {
        this.clock = clock;
        this.begin = begin;
    }

    /**
     * Creates a permit that begins now.
     *
     * @param clock the runtime's clock
     * @return the permit
     */
    public static PromotionPermit of(Clock clock) {
        requireNonNull(clock, "clock is null");
        return new PromotionPermit(clock, ClockReading.now(clock));
    }

    /**
     * Returns how long the request may still be sent or await its response.
     *
     * @return the time left by the clock that shows less, zero if the permit has ended
     */
    public Duration timeLeft() {
        Duration left = VALIDITY.minus(begin.age(ClockReading.now(clock)));
        return left.isNegative() ? Duration.ZERO : left;
    }
}
