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

/** The pools of several entry VMs that share the limits of one instance, on a paused clock. */
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

    private PoolFixture(InstanceSettings limits) {
        group = LocalGroup.of(clock, GROUP, limits);
        group.startTermOne();
    }

    static PoolFixture of(int slots, int connections, long openMillis, long serviceMillis) {
        return new PoolFixture(
                new InstanceSettings(PRIMARY, slots, connections, openMillis, 0, serviceMillis));
    }

    InstancePool createPool(String name, Supplier<Quota> share) {
        VmId vm = VmId.of(name);
        EventLog log = EventLog.of(vm, clock, 100);
        events.put(name, log);
        Backend backend = group.backend(vm, group.spec().instances().get(0));
        PoolContext runtime =
                new PoolContext(
                        GROUP,
                        clock,
                        BoundedExecutor.inline(),
                        log,
                        PoolMetrics.of(meters, GROUP, PRIMARY),
                        RetryBudgetRegistry.of(clock),
                        new SplittableRandom(7));
        return InstancePool.of(backend, share, runtime);
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

    double counterValue(String meter) {
        return meters.counter(meter, "group", GROUP.value(), "instance", PRIMARY.value()).count();
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

    /** Starts a statement that gives up on its connection after the pool's exchange timeout. */
    StatementRun startStatement(InstancePool pool, long patienceMillis) {
        return startStatement(pool, SERVICE, patienceMillis);
    }

    StatementRun startStatement(InstancePool pool, ServiceName service, long patienceMillis) {
        StatementRun run = new StatementRun(pool, clock.nanoTime(), patienceMillis);
        run.grant = pool.acquire(service, Duration.ofMillis(patienceMillis)).toCompletableFuture();
        run.grant.thenAccept(run::granted);
        return run;
    }

    /** One statement. */
    final class StatementRun {
        private final InstancePool pool;
        private final long startedNanos;
        private final long patienceNanos;
        private CompletableFuture<AcquireResult> grant;
        private Optional<BackendResult> answer = Optional.empty();
        private long heldNanos = -1;
        private boolean refused;

        private StatementRun(InstancePool pool, long startedNanos, long patienceMillis) {
            this.pool = pool;
            this.startedNanos = startedNanos;
            this.patienceNanos = Duration.ofMillis(patienceMillis).toNanos();
        }

        CompletableFuture<AcquireResult> grant() {
            return grant;
        }

        boolean isDoneInTime() {
            return answer.filter(a -> a instanceof BackendResult.Done).isPresent()
                    && heldNanos <= patienceNanos;
        }

        /** Tells whether it was done in time and not after the given moment of the clock. */
        boolean isDoneBy(long nanos) {
            return isDoneInTime() && startedNanos + heldNanos - nanos <= 0;
        }

        boolean isLost() {
            return answer.filter(a -> a instanceof BackendResult.NoResponse).isPresent();
        }

        boolean isRefused() {
            return refused;
        }

        /** Returns the time to the answer or refusal, in ms; negative if there is none yet. */
        long responseTimeMillis() {
            return Duration.ofNanos(heldNanos).toMillis();
        }

        private void granted(AcquireResult result) {
            refused = result.connection().isEmpty();
            if (refused) {
                heldNanos = clock.nanoTime() - startedNanos;
            }
            result.connection().ifPresent(this::execute);
        }

        private void execute(BackendConnection connection) {
            connection
                    .execute(STATEMENT, pool.requestTimeout())
                    .thenAccept(
                            result -> {
                                heldNanos = clock.nanoTime() - startedNanos;
                                answer = Optional.of(result);
                                pool.release(
                                        connection, !(result instanceof BackendResult.NoResponse));
                            });
        }
    }
}
