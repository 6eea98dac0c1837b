package org.carobstage.quota;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.freshness.ClockReading;

/** The tokens of one account in one process, its demand, and when the owner has none. */
final class AccountTokens {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The operations per second above which tokens are requested in advance. */
    private static final double PREFETCH_ABOVE = 5;

    /** The time for whose expected operations tokens are requested in advance. */
    private static final Duration PREFETCH = Duration.ofMillis(200);

    /** How long a stated lack of tokens is believed at most, as the limit may be raised. */
    private static final Duration LONGEST_REFUSAL = Duration.ofMillis(100);

    private int tokens;
    private Optional<ClockReading> requestedAt = Optional.empty();
    private double demand;
    private long demandAtNanos;
    private long emptySinceNanos;
    private Duration refusal = Duration.ZERO;

    /** Counts an operation into the moving average of the operations per second. */
    void onOperation(ClockReading now) {
        decayDemand(now);
        demand++;
    }

    boolean tryTake(ClockReading now, Duration validity) {
        expire(now, validity);
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Adds tokens; what is left of earlier ones makes all of them expire with the earlier ones. */
    void add(Grant grant, int requested, ClockReading sentAt, ClockReading now, Duration validity) {
        expire(now, validity);
        requestedAt =
                Optional.of(requestedAt.filter(at -> tokens > 0).orElse(sentAt).earlier(sentAt));
        tokens += Math.min(grant.tokens(), requested);
        refusal = Duration.ZERO;
        if (grant.tokens() < requested) {
            emptySinceNanos = now.monotonicNanos();
            refusal = grant.untilNext();
        }
    }

    /** Returns the time until the owner has a token again, or zero if that is not known. */
    Duration untilNext(ClockReading now) {
        Duration age = Duration.ofNanos(now.monotonicNanos() - emptySinceNanos);
        Duration left = refusal.minus(age);
        return age.compareTo(LONGEST_REFUSAL) >= 0 || left.isNegative() ? Duration.ZERO : left;
    }

    int prefetchCount(ClockReading now) {
        decayDemand(now);
        double expected = demand * PREFETCH.toNanos() / NANOS_PER_SECOND;
        return demand > PREFETCH_ABOVE ? (int) Math.ceil(expected) : 0;
    }

    /** Discards what an owner of the past has told. */
    void reset() {
        tokens = 0;
        refusal = Duration.ZERO;
    }

    boolean isIdle(ClockReading now, Duration validity) {
        expire(now, validity);
        decayDemand(now);
        return tokens == 0 && demand < 0.01 && untilNext(now).isZero();
    }

    int tokens() {
        return tokens;
    }

    private void expire(ClockReading now, Duration validity) {
        if (requestedAt.filter(at -> at.age(now).compareTo(validity) < 0).isEmpty()) {
            tokens = 0;
        }
    }

    /** Decays with a time constant of one second, so that the sum is a rate per second. */
    private void decayDemand(ClockReading now) {
        long elapsed = now.monotonicNanos() - demandAtNanos;
        demand *= Math.exp(-Math.max(0, elapsed) / NANOS_PER_SECOND);
        demandAtNanos = now.monotonicNanos();
    }
}
