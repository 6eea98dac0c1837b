package org.carobstage.retry;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.carobstage.model.GroupId;
import org.carobstage.model.ServiceName;
import org.carobstage.runtime.Clock;

/** The retry budgets by group and service; all methods run on one thread. */
public final class RetryBudgetRegistry {
    private final Clock clock;
    private final Map<Key, RetryBudget> budgets = new HashMap<>();

    private RetryBudgetRegistry(Clock clock) {
        this.clock = clock;
    }

    /**
     * Creates a registry whose budgets start full.
     *
     * @param clock the runtime's clock
     * @return the registry
     */
    public static RetryBudgetRegistry of(Clock clock) {
        return new RetryBudgetRegistry(requireNonNull(clock, "clock is null"));
    }

    /**
     * Returns a budget.
     *
     * @param group the group
     * @param service the service
     * @return the budget, always the same for the same group and service
     */
    public RetryBudget get(GroupId group, ServiceName service) {
        Key key = new Key(group, service);
        return budgets.computeIfAbsent(key, k -> RetryBudget.of(clock.nanoTime()));
    }

    private record Key(GroupId group, ServiceName service) {}
}
