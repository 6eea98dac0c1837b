package org.carobstage.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.event.EventLog;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.retry.RetryBudgetRegistry;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstancePoolTest {
    private static final GroupId GROUP = GroupId.of("g");
    private static final InstanceSpec SPEC =
            new InstanceSpec(
                    InstanceId.of("a"), Address.of("127.0.0.1", 1), FailureDomain.of("caruaru"));

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final List<CompletableFuture<BackendConnection>> openings = new ArrayList<>();
    private final List<String> closed = new ArrayList<>();
    private final InstancePool pool = InstancePool.of(backend(), () -> new Quota(1, 2), runtime());

    @Nested
    class Open {
        @Test
        void shouldCloseConnectionWhenItOpensAfterItsTimeout() {
            clock.advance(InstanceConnections.OPEN_TIMEOUT);
            int late = openings.size();

            openings.forEach(opening -> opening.complete(connection()));

            assertThat(closed).hasSize(late);
            assertThat(pool.usage().connections()).isZero();
        }

        @Test
        void shouldCloseConnectionWhenItOpensAfterThePoolWasClosed() {
            pool.close();

            openings.forEach(opening -> opening.complete(connection()));

            assertThat(closed).hasSameSizeAs(openings);
        }
    }

    @Nested
    class Release {
        @Test
        void shouldChangeNothingWhenReleasedTwice() {
            openings.forEach(opening -> opening.complete(connection()));
            BackendConnection first = acquire().join().connection().get();
            pool.release(first, true);
            BackendConnection second = acquire().join().connection().get();

            pool.release(first, true);

            assertThat(pool.usage().slots()).isEqualTo(1);
            pool.release(second, true);
            pool.close();
            assertThat(closed).hasSameSizeAs(openings);
        }

        @Test
        void shouldCloseConnectionWhenItsStateIsNotClean() {
            openings.forEach(opening -> opening.complete(connection()));

            pool.release(acquire().join().connection().get(), false);

            assertThat(closed).containsExactly("close");
        }
    }

    private CompletableFuture<AcquireResult> acquire() {
        return pool.acquire(ServiceName.of("s"), Duration.ofSeconds(1)).toCompletableFuture();
    }

    private PoolContext runtime() {
        SimpleMeterRegistry meters = new SimpleMeterRegistry();
        return new PoolContext(
                GROUP,
                clock,
                BoundedExecutor.inline(),
                EventLog.of(VmId.of("vm"), clock, 10),
                PoolMetrics.of(meters, GROUP, SPEC.id()),
                RetryBudgetRegistry.of(clock),
                new SplittableRandom(7));
    }

    private Backend backend() {
        return fake(
                Backend.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("spec")) {
                        return SPEC;
                    }
                    openings.add(new CompletableFuture<>());
                    return openings.get(openings.size() - 1);
                });
    }

    private BackendConnection connection() {
        return fake(
                BackendConnection.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("toString")) {
                        return "connection";
                    }
                    if (method.getName().equals("equals")) {
                        return proxy == arguments[0];
                    }
                    if (method.getName().equals("close")) {
                        closed.add("close");
                        return null;
                    }
                    return new CompletableFuture<>();
                });
    }

    private static <T> T fake(Class<T> type, InvocationHandler handler) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }
}
