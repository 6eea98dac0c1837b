package org.carobstage.retry;

import java.time.Duration;

/**
 * A token bucket that keeps retries a small part of first tries: each first try adds a part of a
 * token, time adds a few, each retry takes one. Not safe for use by several threads.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_FIRST_TRY = 0.1;
    private static final double RETRIES_PER_SECOND = 1;
    private static final double BURST_RETRIES = 10;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private double tokens = BURST_RETRIES;
    private long lastNanos;

    private RetryBudget(long now) {
        this.lastNanos = now;
    }

    /**
     * Creates a full budget.
     *
     * @param now the time, in ns of the runtime's clock
     * @return the budget
     */
    public static RetryBudget of(long now) {
        return new RetryBudget(now);
    }

    /** Counts a first try. */
    public void deposit() {
        add(RETRIES_PER_FIRST_TRY);
    }

    /**
     * Takes a retry out of the budget.
     *
     * @param now the time, in ns of the runtime's clock
     * @return false if the budget is used up; then nothing may be tried again
     */
    public boolean tryWithdraw(long now) {
        add(Math.max(0, now - lastNanos) / NANOS_PER_SECOND * RETRIES_PER_SECOND);
        lastNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void add(double amount) {
        tokens = Math.min(BURST_RETRIES, tokens + amount);
    }
}
