package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobstage.config.Configuration;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Share;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.PausedClock;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.testbed.database.InstanceSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ProxyOverLocalGroupTest {
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final RequestPolicy WRITE =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, PATIENCE);
    private static final RequestPolicy OLD_READ =
            new RequestPolicy(Access.READ, Duration.ofSeconds(30), true, PATIENCE);

    private final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalGroup group =
            LocalGroup.of(
                    clock, GROUP, new InstanceSettings(InstanceId.of("any"), 3, 20, 10, 0, 0));

    @Nested
    class Run {
        @Test
        void shouldReadOwnWriteAtReplicaWhenSessionMovesToAnotherProxy() {
            group.startTermOne();
            Proxy one = proxy("one");
            Proxy two = proxy("two");
            clock.advance(Duration.ofMillis(100));

            run(one, "CREATE TABLE t (id INT)", WRITE, Optional.empty());
            Outcome.Done written = run(one, "INSERT INTO t VALUES (7)", WRITE, Optional.empty());
            clock.advance(Duration.ofMillis(100));
            SessionPositions session = SessionPositions.empty().seen(GROUP, written.seen());
            Outcome.Done read = run(two, "SELECT id FROM t", OLD_READ, Optional.of(session));

            assertThat(read.rows()).containsExactly(List.of(7));
            assertThat(read.replica()).isTrue();
        }
    }

    private Outcome.Done run(
            Proxy proxy, String sql, RequestPolicy policy, Optional<SessionPositions> session) {
        StatementRequest request =
                new StatementRequest(
                        ServiceName.of("familia-forms"),
                        GROUP,
                        sql,
                        List.of(),
                        policy,
                        session,
                        Optional.empty(),
                        proxy.deadline(policy.patience()));
        CompletableFuture<Outcome> outcome = proxy.run(request).toCompletableFuture();
        clock.advance(PATIENCE);
        return (Outcome.Done) outcome.join();
    }

    private Proxy proxy(String name) {
        VmId vm = VmId.of(name);
        Proxy proxy =
                Proxy.of(
                        clock,
                        BoundedExecutor.inline(),
                        EventLog.of(vm, clock, 100),
                        instance -> group.backend(vm, instance),
                        spec -> new Share(1, 5));
        proxy.apply(new Configuration(Map.of(), Map.of(GROUP, group.spec())));
        return proxy;
    }
}
