package org.carobstage.testbed.local;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.pool.AcquireResult;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.PoolContext;
import org.carobstage.pool.PoolMetrics;
import org.carobstage.pool.Quota;
import org.carobstage.retry.RetryBudgetRegistry;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.ManualClock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.InstanceSettings;

/** The pools of several entry VMs for one instance, whose limits they share; on a manual clock. */
final class PoolFixture {
    static final ServiceName SERVICE = ServiceName.of("familia-forms");
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final InstanceId PRIMARY = InstanceId.of("a");
    private static final BackendStatement STATEMENT =
            new BackendStatement(
                    Term.of(1), "SELECT 1", List.of(), true, LogPosition.empty(), Optional.empty());

    private final ManualClock clock = ManualClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final Map<String, EventLog> events = new HashMap<>();
    private final LocalGroup group;

    private PoolFixture(InstanceSettings settings) {
        group = LocalGroup.of(clock, GROUP, settings);
        group.startTermOne();
    }

    static PoolFixture of(int slots, int connections, long openMillis, long serviceMillis) {
        return new PoolFixture(
                new InstanceSettings(PRIMARY, slots, connections, openMillis, 0, serviceMillis));
    }

    InstancePool createPool(String name, Supplier<Quota> quota) {
        VmId vm = VmId.of(name);
        EventLog eventLog = EventLog.of(vm, clock, 100);
        events.put(name, eventLog);
        Backend backend = group.backend(vm, group.spec().instances().get(0));
        PoolContext context =
                new PoolContext(
                        GROUP,
                        clock,
                        BoundedExecutor.inline(),
                        eventLog,
                        PoolMetrics.of(meters, GROUP, PRIMARY),
                        RetryBudgetRegistry.of(clock),
                        new SplittableRandom(7));
        return InstancePool.of(backend, quota, context);
    }

    ManualClock clock() {
        return clock;
    }

    LocalGroup group() {
        return group;
    }

    LocalFaultInjector faultInjector() {
        return group.faultInjector();
    }

    DatabaseInstance instance() {
        return group.instance(PRIMARY);
    }

    double counterValue(String meterName) {
        return meters.counter(meterName, "group", GROUP.value(), "instance", PRIMARY.value())
                .count();
    }

    List<String> eventDetails(String vm, EventCode code) {
        return events.get(vm).localEvents().stream()
                .filter(event -> event.code() == code)
                .map(event -> event.detail())
                .toList();
    }

    void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /**
     * Starts a statement with the pool's request timeout. If no response arrives in time, the
     * connection is returned to the pool as broken.
     */
    StatementRun startStatement(InstancePool pool, long patienceMillis) {
        return startStatement(pool, SERVICE, patienceMillis);
    }

    StatementRun startStatement(InstancePool pool, ServiceName service, long patienceMillis) {
        StatementRun run = new StatementRun(pool, clock.nanoTime(), patienceMillis);
        run.acquireResult =
                pool.acquire(service, Duration.ofMillis(patienceMillis)).toCompletableFuture();
        run.acquireResult.thenAccept(run::onAcquired);
        return run;
    }

    /** The execution of one statement. */
    final class StatementRun {
        private final InstancePool pool;
        private final long startedNanos;
        private final long patienceNanos;
        private CompletableFuture<AcquireResult> acquireResult;
        private Optional<BackendResult> result = Optional.empty();
        private long responseTimeNanos = -1;
        private boolean isRefused;

        private StatementRun(InstancePool pool, long startedNanos, long patienceMillis) {
            this.pool = pool;
            this.startedNanos = startedNanos;
            this.patienceNanos = Duration.ofMillis(patienceMillis).toNanos();
        }

        CompletableFuture<AcquireResult> acquireResult() {
            return acquireResult;
        }

        boolean isDoneWithinPatience() {
            return result.filter(r -> r instanceof BackendResult.Done).isPresent()
                    && responseTimeNanos <= patienceNanos;
        }

        /** Returns whether the statement was done within its patience and by a clock time. */
        boolean isDoneBy(long nanos) {
            return isDoneWithinPatience() && startedNanos + responseTimeNanos - nanos <= 0;
        }

        boolean hasNoResponse() {
            return result.filter(r -> r instanceof BackendResult.NoResponse).isPresent();
        }

        boolean isRefused() {
            return isRefused;
        }

        /** Returns the time to the response or rejection, in ms; 0 if neither has arrived yet. */
        long responseTimeMillis() {
            return Duration.ofNanos(responseTimeNanos).toMillis();
        }

        private void onAcquired(AcquireResult acquired) {
            isRefused = acquired.connection().isEmpty();
            if (isRefused) {
                responseTimeNanos = clock.nanoTime() - startedNanos;
            }
            acquired.connection().ifPresent(this::execute);
        }

        private void execute(BackendConnection connection) {
            connection
                    .execute(STATEMENT, pool.requestTimeout())
                    .thenAccept(
                            response -> {
                                responseTimeNanos = clock.nanoTime() - startedNanos;
                                result = Optional.of(response);
                                pool.release(
                                        connection,
                                        !(response instanceof BackendResult.NoResponse));
                            });
        }
    }
}
