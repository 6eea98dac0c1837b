package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeService;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PooledConnectionFaultTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeService service = FakeService.of(clock);
    private final ServiceGroup group =
            ServiceGroup.of(
                    FakeService.NAME,
                    new UpstreamContext(
                            clock,
                            service.connector(),
                            FailureDomain.of("domain-b"),
                            EventLog.of(VmId.of("vm"), clock, 100),
                            false));
    private final List<PooledConnection> granted = new ArrayList<>();

    @BeforeEach
    void start() {
        group.setConnectionLimit(1, 5);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        group.tick();
        clock.advance(Duration.ofMillis(50));
        group.tick();
        clock.advance(Duration.ofMillis(50));
    }

    // Guards against the loss of the only connection when a caller fails on its grant, and of the
    // grants of the requests behind it.
    @Test
    void shouldServeNextRequestWhenGrantCallbackThrows() {
        request(Duration.ofMillis(700), PooledConnection::release);
        request(
                Duration.ofMillis(800),
                c -> {
                    throw new IllegalStateException("unexpected");
                });
        request(Duration.ofMillis(900), granted::add);
        clock.advance(Duration.ofMillis(100));

        assertThat(granted).hasSize(1);
    }

    // Guards against a connection that stays in use because the receiver of a status fails.
    @Test
    void shouldReleaseConnectionWhenStatusCallbackThrows() {
        group.trySendControlCommand(
                PRIMARY,
                new Statement.QueryStatus(),
                response -> {
                    throw new IllegalStateException("unexpected");
                });
        clock.advance(Duration.ofMillis(50));
        request(Duration.ofMillis(800), granted::add);
        clock.advance(Duration.ofMillis(50));

        assertThat(granted).hasSize(1);
    }

    // Guards against a connection to a process that was replaced at the same address while the
    // connection was being opened.
    @Test
    void shouldNotUseConnectionWhoseOpeningBeganBeforeReplacement() {
        request(Duration.ofMillis(700), granted::add);
        granted.get(0).discard();
        request(Duration.ofMillis(700), granted::add);
        clock.advance(Duration.ofMillis(5));
        InstanceEntry before = service.instanceEntry("a");
        group.put(
                new InstanceEntry(
                        before.id(),
                        before.service(),
                        before.address(),
                        before.domain(),
                        before.slots(),
                        before.draining(),
                        before.primary(),
                        before.bornMillis() + 1,
                        before.heartbeat()));
        clock.advance(Duration.ofMillis(8));

        assertThat(granted).hasSize(1);
    }

    // Guards against the use of an instance that was removed while a connection was being opened.
    @Test
    void shouldNotUseConnectionWhenInstanceWasRemovedDuringOpening() {
        request(Duration.ofMillis(700), granted::add);
        granted.get(0).discard();
        request(Duration.ofMillis(700), granted::add);
        group.remove(PRIMARY);
        clock.advance(Duration.ofMillis(100));

        assertThat(granted).hasSize(1);
        assertThat(service.instance("a").openConnectionCount()).isZero();
    }

    private void request(Duration timeout, Consumer<PooledConnection> onGranted) {
        group.acquire(
                new ConnectionRequest(
                        Purpose.PRIMARY,
                        new HashSet<>(),
                        Map.of(),
                        clock.nanoTime() + timeout.toNanos(),
                        onGranted,
                        reason -> {}));
    }
}
