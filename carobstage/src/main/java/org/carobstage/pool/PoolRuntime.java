package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.retry.RetryBudgets;
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
public record PoolRuntime(
        GroupId group,
        Clock clock,
        Executor duty,
        EventLog events,
        PoolMetrics metrics,
        RetryBudgets budgets,
        RandomGenerator random) {
    /** Checks the runtime. */
    public PoolRuntime {
        requireNonNull(group, "group is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(duty, "duty is null");
        requireNonNull(events, "events is null");
        requireNonNull(metrics, "metrics is null");
        requireNonNull(budgets, "budgets is null");
        requireNonNull(random, "random is null");
    }
}
