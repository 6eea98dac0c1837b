package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.retry.RetryBudgetRegistry;
import org.carobstage.runtime.Clock;

/**
 * The context of a pool, supplied by its process.
 *
 * @param group the group of the pool's instance
 * @param clock the runtime's clock
 * @param executor runs the pool's tasks one at a time
 * @param events the event log
 * @param metrics the meters of the pool
 * @param retryBudgets the retry budgets
 * @param random the source of the jitter of delays
 */
public record PoolContext(
        GroupId group,
        Clock clock,
        Executor executor,
        EventLog events,
        PoolMetrics metrics,
        RetryBudgetRegistry retryBudgets,
        RandomGenerator random) {
    /** Rejects null components. */
    public PoolContext {
        requireNonNull(group, "group is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(executor, "executor is null");
        requireNonNull(events, "events is null");
        requireNonNull(metrics, "metrics is null");
        requireNonNull(retryBudgets, "retryBudgets is null");
        requireNonNull(random, "random is null");
    }
}
