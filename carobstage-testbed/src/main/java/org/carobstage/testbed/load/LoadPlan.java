package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What a load run does.
 *
 * @param workload the kinds of requests
 * @param group the database group
 * @param rate requests per second outside a rush
 * @param duration how long requests arrive
 * @param seed the seed of arrivals and kinds
 * @param directShare the part of the arrivals that goes straight to an instance
 */
public record LoadPlan(
        Workload workload,
        String group,
        double requestsPerSecond,
        Duration duration,
        long seed,
        double directShare) {
    /** Checks the plan. */
    public LoadPlan {
        requireNonNull(workload, "workload is null");
        requireNonNull(group, "group is null");
        requireNonNull(duration, "duration is null");
        if (requestsPerSecond <= 0) {
            throw new IllegalArgumentException("rate is not positive: " + requestsPerSecond);
        }
    }
}
