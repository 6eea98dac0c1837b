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

/** The meters of one pool; its counts are set on the duty and read by any thread. */
public final class PoolMetrics {
    private final Counter opened;
    private final Counter openFailures;
    private final Counter retired;
    private final Counter refused;
    private final Counter limitRefusals;
    private final Counter retries;
    private final Timer wait;
    private volatile int open;
    private volatile int busy;
    private volatile int waiting;

    private PoolMetrics(MeterRegistry registry, Tags tags) {
        opened = registry.counter("carobstage.pool.opened", tags);
        openFailures = registry.counter("carobstage.pool.open.failures", tags);
        retired = registry.counter("carobstage.pool.retired", tags);
        refused = registry.counter("carobstage.pool.refused", tags);
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
     * @param registry keeps the meters
     * @param group the group of the instance
     * @param instance the instance
     * @return the meters
     */
    public static PoolMetrics of(MeterRegistry registry, GroupId group, InstanceId instance) {
        requireNonNull(registry, "registry is null");
        Tags tags = Tags.of("group", group.value(), "instance", instance.value());
        return new PoolMetrics(registry, tags);
    }

    void use(int openNow, int busyNow, int waitingNow) {
        open = openNow;
        busy = busyNow;
        waiting = waitingNow;
    }

    void opened() {
        opened.increment();
    }

    void openFailed() {
        openFailures.increment();
    }

    void retired(int count) {
        retired.increment(count);
    }

    void refused() {
        refused.increment();
    }

    void limitRefused() {
        limitRefusals.increment();
    }

    void retried() {
        retries.increment();
    }

    void waited(long nanos) {
        wait.record(Duration.ofNanos(nanos));
    }
}
