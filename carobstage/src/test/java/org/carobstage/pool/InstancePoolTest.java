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
    private final List<CompletableFuture<BackendConnection>> openAttempts = new ArrayList<>();
    private final List<String> closeCalls = new ArrayList<>();
    private final InstancePool pool = InstancePool.of(backend(), () -> new Quota(1, 2), context());

    @Nested
    class Open {
        @Test
        void shouldCloseConnectionWhenItOpensAfterItsTimeout() {
            clock.advance(InstanceConnections.OPEN_TIMEOUT);
            int attempts = openAttempts.size();

            openAttempts.forEach(pending -> pending.complete(connection()));

            assertThat(closeCalls).hasSize(attempts);
            assertThat(pool.usage().connections()).isZero();
        }

        @Test
        void shouldCloseConnectionWhenItOpensAfterThePoolWasClosed() {
            pool.close();

            openAttempts.forEach(pending -> pending.complete(connection()));

            assertThat(closeCalls).hasSameSizeAs(openAttempts);
        }
    }

    @Nested
    class Release {
        @Test
        void shouldHaveNoEffectWhenReleasedTwice() {
            openAttempts.forEach(pending -> pending.complete(connection()));
            BackendConnection first = acquire().join().connection().get();
            pool.release(first, true);
            BackendConnection second = acquire().join().connection().get();

            pool.release(first, true);

            assertThat(pool.usage().slots()).isEqualTo(1);
            pool.release(second, true);
            pool.close();
            assertThat(closeCalls).hasSameSizeAs(openAttempts);
        }

        @Test
        void shouldCloseConnectionWhenItsStateIsNotClean() {
            openAttempts.forEach(pending -> pending.complete(connection()));

            pool.release(acquire().join().connection().get(), false);

            assertThat(closeCalls).containsExactly("close");
        }
    }

    private CompletableFuture<AcquireResult> acquire() {
        return pool.acquire(ServiceName.of("s"), Duration.ofSeconds(1)).toCompletableFuture();
    }

    private PoolContext context() {
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
        return proxyOf(
                Backend.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("spec")) {
                        return SPEC;
                    }
                    openAttempts.add(new CompletableFuture<>());
                    return openAttempts.get(openAttempts.size() - 1);
                });
    }

    private BackendConnection connection() {
        return proxyOf(
                BackendConnection.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("toString")) {
                        return "connection";
                    }
                    if (method.getName().equals("equals")) {
                        return proxy == arguments[0];
                    }
                    if (method.getName().equals("close")) {
                        closeCalls.add("close");
                        return null;
                    }
                    return new CompletableFuture<>();
                });
    }

    private static <T> T proxyOf(Class<T> type, InvocationHandler handler) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }
}
