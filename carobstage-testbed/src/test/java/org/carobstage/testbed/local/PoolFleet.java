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
import org.carobstage.backend.Answer;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.Statement;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.pool.Grant;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.PoolMetrics;
import org.carobstage.pool.PoolRuntime;
import org.carobstage.pool.Share;
import org.carobstage.retry.RetryBudgets;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.PausedClock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.InstanceSettings;

/** The pools of several entry VMs that share the limits of one instance, on a paused clock. */
final class PoolFleet {
    static final ServiceName SERVICE = ServiceName.of("familia-forms");
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final InstanceId PRIMARY = InstanceId.of("a");
    private static final Statement STATEMENT =
            new Statement(
                    Term.of(1), "SELECT 1", List.of(), true, LogPosition.empty(), Optional.empty());

    private final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final Map<String, EventLog> events = new HashMap<>();
    private final LocalGroup group;

    private PoolFleet(InstanceSettings limits) {
        group = LocalGroup.of(clock, GROUP, limits);
        group.startTermOne();
    }

    static PoolFleet of(int slots, int connections, long openMillis, long serviceMillis) {
        return new PoolFleet(
                new InstanceSettings(PRIMARY, slots, connections, openMillis, 0, serviceMillis));
    }

    InstancePool pool(String name, Supplier<Share> share) {
        VmId vm = VmId.of(name);
        EventLog log = EventLog.of(vm, clock, 100);
        events.put(name, log);
        Backend backend = group.backend(vm, group.spec().instances().get(0));
        PoolRuntime runtime =
                new PoolRuntime(
                        GROUP,
                        clock,
                        BoundedExecutor.inline(),
                        log,
                        PoolMetrics.of(meters, GROUP, PRIMARY),
                        RetryBudgets.of(clock),
                        new SplittableRandom(7));
        return InstancePool.of(backend, share, runtime);
    }

    PausedClock clock() {
        return clock;
    }

    LocalGroup group() {
        return group;
    }

    LocalFaults faults() {
        return group.faults();
    }

    DatabaseInstance instance() {
        return group.instance(PRIMARY);
    }

    double count(String meter) {
        return meters.counter(meter, "group", GROUP.value(), "instance", PRIMARY.value()).count();
    }

    List<String> details(String vm, EventCode code) {
        return events.get(vm).events().stream()
                .filter(event -> event.code() == code)
                .map(event -> event.detail())
                .toList();
    }

    void advance(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /** Starts a statement that gives up on its connection after the pool's exchange timeout. */
    Run start(InstancePool pool, long patienceMillis) {
        return start(pool, SERVICE, patienceMillis);
    }

    Run start(InstancePool pool, ServiceName service, long patienceMillis) {
        Run run = new Run(pool, clock.nanoTime(), patienceMillis);
        run.grant = pool.acquire(service, Duration.ofMillis(patienceMillis)).toCompletableFuture();
        run.grant.thenAccept(run::granted);
        return run;
    }

    /** One statement. */
    final class Run {
        private final InstancePool pool;
        private final long startedNanos;
        private final long patienceNanos;
        private CompletableFuture<Grant> grant;
        private Optional<Answer> answer = Optional.empty();
        private long heldNanos = -1;
        private boolean refused;

        private Run(InstancePool pool, long startedNanos, long patienceMillis) {
            this.pool = pool;
            this.startedNanos = startedNanos;
            this.patienceNanos = Duration.ofMillis(patienceMillis).toNanos();
        }

        CompletableFuture<Grant> grant() {
            return grant;
        }

        boolean isDoneInTime() {
            return answer.filter(a -> a instanceof Answer.Done).isPresent()
                    && heldNanos <= patienceNanos;
        }

        /** Tells whether it was done in time and not after the given moment of the clock. */
        boolean isDoneBy(long nanos) {
            return isDoneInTime() && startedNanos + heldNanos - nanos <= 0;
        }

        boolean isLost() {
            return answer.filter(a -> a instanceof Answer.Lost).isPresent();
        }

        boolean isRefused() {
            return refused;
        }

        /** Returns the time to the answer or refusal, in ms; negative if there is none yet. */
        long heldMillis() {
            return Duration.ofNanos(heldNanos).toMillis();
        }

        private void granted(Grant result) {
            refused = result.connection().isEmpty();
            if (refused) {
                heldNanos = clock.nanoTime() - startedNanos;
            }
            result.connection().ifPresent(this::execute);
        }

        private void execute(BackendConnection connection) {
            connection
                    .execute(STATEMENT, pool.exchangeTimeout())
                    .thenAccept(
                            result -> {
                                heldNanos = clock.nanoTime() - startedNanos;
                                answer = Optional.of(result);
                                pool.release(connection, !(result instanceof Answer.Lost));
                            });
        }
    }
}
