package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.account.RateLimit;

/** A token bucket. Times are monotonic; an earlier time than the last one has no effect. */
public final class TokenBucket {
    /** The longest time that is stated until the next token, such as for a rate of zero. */
    public static final Duration LONGEST_WAIT = Duration.ofHours(1);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Covers the rounding of a refill, so that a token is there after the stated time. */
    private static final double ROUNDING = 1e-6;

    private double rate;
    private double capacity;
    private double level;
    private long refilledAtNanos;

    private TokenBucket(double rate, double capacity, double level, long nowNanos) {
        this.rate = rate;
        this.capacity = capacity;
        this.level = Math.min(level, capacity);
        this.refilledAtNanos = nowNanos;
    }

    /**
     * Creates a bucket.
     *
     * @param rate the tokens added per second
     * @param capacity the highest level
     * @param level the initial level
     * @param nowNanos the monotonic time
     * @return the bucket
     */
    public static TokenBucket of(double rate, double capacity, double level, long nowNanos) {
        return new TokenBucket(rate, capacity, level, nowNanos);
    }

    /**
     * Creates an empty bucket for a limit. Its capacity is at least one token unless the rate is
     * zero; with less, a limit without a burst would permit nothing.
     *
     * @param limit the limit
     * @param nowNanos the monotonic time
     * @return the bucket
     */
    public static TokenBucket empty(RateLimit limit, long nowNanos) {
        requireNonNull(limit, "limit is null");
        return of(limit.operationsPerSecond(), capacityOf(limit), 0, nowNanos);
    }

    /**
     * Returns the capacity of the bucket of a limit.
     *
     * @param limit the limit
     * @return the burst, at least one token unless the rate is zero
     */
    static double capacityOf(RateLimit limit) {
        return limit.operationsPerSecond() > 0 ? Math.max(1, limit.burst()) : limit.burst();
    }

    /**
     * Takes whole tokens.
     *
     * @param tokens how many to take at most; none if not positive
     * @param nowNanos the monotonic time
     * @return how many were taken
     */
    public int take(int tokens, long nowNanos) {
        refill(nowNanos);
        int taken = (int) Math.min(Math.max(0, tokens), level + ROUNDING);
        level = Math.max(0, level - taken);
        return taken;
    }

    /**
     * Changes the rate and the capacity. The time since the last refill counts with the lower of
     * both rates, because the limit may have been lowered at any point of it.
     *
     * @param newRate the tokens added per second
     * @param newCapacity the highest level
     * @param nowNanos the monotonic time
     */
    public void change(double newRate, double newCapacity, long nowNanos) {
        rate = Math.min(rate, newRate);
        refill(nowNanos);
        rate = newRate;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /**
     * Changes the limit.
     *
     * @param limit the limit
     * @param nowNanos the monotonic time
     */
    public void change(RateLimit limit, long nowNanos) {
        change(limit.operationsPerSecond(), capacityOf(limit), nowNanos);
    }

    /**
     * Returns the time until the bucket has a token.
     *
     * @param nowNanos the monotonic time
     * @return zero if it has one, at most {@link #LONGEST_WAIT}
     */
    public Duration untilNext(long nowNanos) {
        refill(nowNanos);
        if (level + ROUNDING >= 1) {
            return Duration.ZERO;
        }
        double nanos = capacity < 1 ? Double.MAX_VALUE : (1 - level) / rate * NANOS_PER_SECOND;
        return Duration.ofNanos((long) Math.min(Math.ceil(nanos), LONGEST_WAIT.toNanos()));
    }

    /**
     * Returns whether the bucket holds as many tokens as it can.
     *
     * @param nowNanos the monotonic time
     * @return true if it is full
     */
    public boolean isFull(long nowNanos) {
        refill(nowNanos);
        return level >= capacity;
    }

    /**
     * Returns the level at the last event.
     *
     * @return the tokens, including a fraction of one
     */
    public double level() {
        return level;
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - refilledAtNanos;
        if (elapsed > 0) {
            level = Math.min(capacity, level + rate * (elapsed / NANOS_PER_SECOND));
            refilledAtNanos = nowNanos;
        }
    }
}
