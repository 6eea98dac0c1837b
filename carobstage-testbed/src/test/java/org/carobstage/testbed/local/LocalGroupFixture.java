package org.carobstage.testbed.local;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.config.Configuration;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.ManualClock;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.testbed.database.InstanceSettings;

/** An in-process group and its proxies on a manual clock. */
final class LocalGroupFixture {
    static final GroupId GROUP = GroupId.of("varas-1");
    static final ServiceName SERVICE = ServiceName.of("familia-forms");
    static final Duration PATIENCE = Duration.ofSeconds(3);
    static final RequestPolicy NON_IDEMPOTENT_WRITE =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, PATIENCE);
    static final RequestPolicy IDEMPOTENT_WRITE =
            new RequestPolicy(Access.WRITE, Duration.ZERO, true, PATIENCE);
    static final RequestPolicy CURRENT_READ =
            new RequestPolicy(Access.READ, Duration.ZERO, true, PATIENCE);
    static final RequestPolicy BOUNDED_STALENESS_READ =
            new RequestPolicy(Access.READ, Duration.ofSeconds(30), true, PATIENCE);

    private final ManualClock clock = ManualClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalGroup group;

    private LocalGroupFixture(int maxConnections) {
        InstanceSettings settings =
                new InstanceSettings(InstanceId.of("any"), 3, maxConnections, 10, 0, 0);
        group = LocalGroup.of(clock, GROUP, settings);
        group.startTermOne();
    }

    static LocalGroupFixture of(int maxConnections) {
        return new LocalGroupFixture(maxConnections);
    }

    ManualClock clock() {
        return clock;
    }

    LocalGroup group() {
        return group;
    }

    Proxy createProxy(String name, Quota quota) {
        VmId vm = VmId.of(name);
        Proxy proxy =
                Proxy.of(
                        clock,
                        BoundedExecutor.inline(),
                        EventLog.of(vm, clock, 100),
                        instance -> group.backend(vm, instance),
                        spec -> quota);
        proxy.apply(new Configuration(Map.of(), Map.of(GROUP, group.spec())));
        clock.advance(Duration.ofMillis(100));
        return proxy;
    }

    CompletableFuture<Outcome> startStatement(
            Proxy proxy,
            String sql,
            RequestPolicy policy,
            String key,
            SessionPositions sessionPositions) {
        StatementRequest request =
                new StatementRequest(
                        SERVICE,
                        GROUP,
                        sql,
                        List.of(),
                        policy,
                        Optional.ofNullable(sessionPositions),
                        Optional.ofNullable(key).map(IdempotencyKey::of),
                        proxy.deadlineNanos(policy.patience()));
        return proxy.run(request).toCompletableFuture();
    }

    Outcome runStatement(Proxy proxy, String sql, RequestPolicy policy, String key) {
        return await(startStatement(proxy, sql, policy, key, null));
    }

    Outcome.Done runExpectingDone(Proxy proxy, String sql, RequestPolicy policy) {
        return (Outcome.Done) runStatement(proxy, sql, policy, null);
    }

    <T> T await(CompletionStage<T> stage) {
        CompletableFuture<T> future = stage.toCompletableFuture();
        for (int step = 0; step < 10_000 && !future.isDone(); step++) {
            clock.advance(Duration.ofMillis(1));
        }
        return future.getNow(null);
    }
}
