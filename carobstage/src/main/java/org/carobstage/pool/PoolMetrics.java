package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;

/** The meters of one pool, updated on the pool's executor and read by any thread. */
public final class PoolMetrics {
    private final Counter openedCount;
    private final Counter openFailures;
    private final Counter retiredCount;
    private final Counter rejectionCount;
    private final Counter limitRefusals;
    private final Counter retries;
    private final Timer wait;
    private volatile int open;
    private volatile int busy;
    private volatile int waiting;

    private PoolMetrics(MeterRegistry registry, Tags tags) {
        openedCount = registry.counter("carobstage.pool.opened", tags);
        openFailures = registry.counter("carobstage.pool.open.failures", tags);
        retiredCount = registry.counter("carobstage.pool.retired", tags);
        rejectionCount = registry.counter("carobstage.pool.refused", tags);
        limitRefusals = registry.counter("carobstage.pool.limit.refusals", tags);
        retries = registry.counter("carobstage.pool.retries", tags);
        wait =
                Timer.builder("carobstage.pool.wait")
                        .tags(tags)
                        .publishPercentileHistogram(false)
                        .register(registry);
        Gauge.builder("carobstage.pool.connections", () -> open).tags(tags).register(registry);
        Gauge.builder("carobstage.pool.busy", () -> busy).tags(tags).register(registry);
        Gauge.builder("carobstage.pool.waiting", () -> waiting).tags(tags).register(registry);
    }

    /**
     * Registers the meters of a pool.
     *
     * @param registry the meter registry
     * @param group the group of the instance
     * @param instance the instance
     * @return the meters
     */
    public static PoolMetrics of(MeterRegistry registry, GroupId group, InstanceId instance) {
        requireNonNull(registry, "registry is null");
        Tags tags = Tags.of("group", group.value(), "instance", instance.value());
        return new PoolMetrics(registry, tags);
    }

    void updateGauges(int openNow, int busyNow, int waitingNow) {
        open = openNow;
        busy = busyNow;
        waiting = waitingNow;
    }

    void recordOpened() {
        openedCount.increment();
    }

    void recordOpenFailure() {
        openFailures.increment();
    }

    void recordRetired(int count) {
        retiredCount.increment(count);
    }

    void recordRejection() {
        rejectionCount.increment();
    }

    void recordLimitRefusal() {
        limitRefusals.increment();
    }

    void recordRetry() {
        retries.increment();
    }

    void recordWait(long nanos) {
        wait.record(Duration.ofNanos(nanos));
    }
}
