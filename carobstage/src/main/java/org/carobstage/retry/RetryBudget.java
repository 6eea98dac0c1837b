package org.carobstage.retry;

import java.time.Duration;

/**
 * A token bucket that limits retries to a small fraction of first attempts: each first attempt adds
 * a fraction of a token, each second adds one, each retry takes one. Not thread-safe.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    private static final double RETRIES_PER_SECOND = 1;
    private static final double MAX_RETRIES_IN_BURST = 10;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private double tokens = MAX_RETRIES_IN_BURST;
    private long lastRefillNanos;

    private RetryBudget(long nowNanos) {
        this.lastRefillNanos = nowNanos;
    }

    /**
     * Creates a full budget.
     *
     * @param nowNanos the current monotonic time in ns
     * @return the budget
     */
    public static RetryBudget of(long nowNanos) {
        return new RetryBudget(nowNanos);
    }

    /** Counts a first attempt. */
    public void deposit() {
        add(RETRIES_PER_FIRST_ATTEMPT);
    }

    /**
     * Takes the token for a retry.
     *
     * @param nowNanos the current monotonic time in ns
     * @return false if the budget is exhausted; no retry is permitted then
     */
    public boolean tryWithdraw(long nowNanos) {
        add(Math.max(0, nowNanos - lastRefillNanos) / NANOS_PER_SECOND * RETRIES_PER_SECOND);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void add(double amount) {
        tokens = Math.min(MAX_RETRIES_IN_BURST, tokens + amount);
    }
}
