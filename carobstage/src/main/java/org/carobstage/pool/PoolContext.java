package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.retry.RetryBudgetRegistry;
import org.carobstage.runtime.Clock;

/**
 * What a pool needs of the process it runs in.
 *
 * @param group the group of the pool's instance
 * @param clock the runtime's clock
 * @param duty runs the pool's decisions one at a time
 * @param events records what is decided
 * @param metrics counts what happens
 * @param budgets bounds retries
 * @param random draws the jitter of delays
 */
public record PoolContext(
        GroupId group,
        Clock clock,
        Executor executor,
        EventLog events,
        PoolMetrics metrics,
        RetryBudgetRegistry retryBudgets,
        RandomGenerator random) {
    /** Checks the runtime. */
    public PoolContext {
        requireNonNull(group, "group is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(executor, "duty is null");
        requireNonNull(events, "events is null");
        requireNonNull(metrics, "metrics is null");
        requireNonNull(retryBudgets, "budgets is null");
        requireNonNull(random, "random is null");
    }
}
