package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The parameters of an open-loop load run.
 *
 * @param workload the request mix
 * @param group the database group
 * @param requestsPerSecond the mean arrival rate outside the peak period
 * @param duration the time during which requests arrive
 * @param seed the random seed of arrival times and request kinds
 * @param directShare the share of requests sent directly to an instance, from 0 to 1
 */
public record LoadPlan(
        Workload workload,
        String group,
        double requestsPerSecond,
        Duration duration,
        long seed,
        double directShare) {
    /** Rejects null components and a rate that is not positive. */
    public LoadPlan {
        requireNonNull(workload, "workload is null");
        requireNonNull(group, "group is null");
        requireNonNull(duration, "duration is null");
        if (requestsPerSecond <= 0) {
            throw new IllegalArgumentException("rate is not positive: " + requestsPerSecond);
        }
    }
}
