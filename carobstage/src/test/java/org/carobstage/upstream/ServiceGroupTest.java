package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeService;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceGroupTest {
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
    private final List<String> refused = new ArrayList<>();

    @BeforeEach
    void start() {
        group.setConnectionLimit(4, 5);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        tick();
        run(Duration.ofSeconds(1));
    }

    // A vote must not claim a position while the response to a commit may still arrive.
    @Test
    void shouldAwaitPendingCommitWhenPrimaryWasUnknownForAMoment() {
        group.trackCommit();
        group.remove(InstanceId.of("a"));
        group.put(service.instanceEntry("a"));
        run(Duration.ofSeconds(1));

        assertThat(group.leadership().isLeader(InstanceId.of("a"))).isTrue();
        assertThat(group.pendingWrites().mayBeAcknowledged()).isTrue();
    }

    @Test
    void shouldLearnPrimaryFromStatus() {
        assertThat(group.leadership().isLeader(InstanceId.of("a"))).isTrue();
    }

    @Test
    void shouldReadInLocalFailureDomain() {
        request(false);

        assertThat(granted.get(0).instance().id()).isEqualTo(InstanceId.of("b"));
    }

    @Test
    void shouldReadInOtherFailureDomainWhenLocalInstanceIsLoaded() {
        for (int i = 0; i < 8; i++) {
            request(false);
        }
        run(Duration.ofMillis(100));

        assertThat(granted).hasSize(8);
        assertThat(granted.stream().map(c -> c.instance().id()).distinct().count())
                .isGreaterThan(1);
    }

    @Test
    void shouldNeverExceedConnectionLimit() {
        for (int i = 0; i < 100; i++) {
            request(i % 2 == 0);
        }
        run(Duration.ofSeconds(1));

        assertThat(service.instances()).allMatch(i -> i.openConnectionCount() <= 4);
    }

    @Test
    void shouldCloseConnectionsWhenLimitIsLowered() {
        for (int i = 0; i < 8; i++) {
            request(false);
        }
        run(Duration.ofMillis(100));
        group.setConnectionLimit(1, 5);
        granted.forEach(PooledConnection::release);

        assertThat(service.instances()).allMatch(i -> i.openConnectionCount() <= 1);
    }

    @Test
    void shouldSuspectUnresponsiveInstanceWithin1300Millis() {
        service.instance("a").stopResponding();
        run(Duration.ofMillis(1_300));

        assertThat(group.isSuspected(InstanceId.of("a"))).isTrue();
        assertThat(group.isSuspected(InstanceId.of("b"))).isFalse();
    }

    @Test
    void shouldSuspectCrashedInstanceAndTrustItAgain() {
        service.instance("a").crash();
        run(Duration.ofMillis(600));
        assertThat(group.isSuspected(InstanceId.of("a"))).isTrue();

        service.instance("a").recover();
        run(Duration.ofMillis(400));

        assertThat(group.isSuspected(InstanceId.of("a"))).isFalse();
    }

    @Test
    void shouldNotSuspectInstanceWhenOnlyOldConnectionsAreSilent() {
        service.instance("a").stallOpenConnections();
        run(Duration.ofSeconds(5));

        assertThat(group.isSuspected(InstanceId.of("a"))).isFalse();
        assertThat(group.leadership().isLeader(InstanceId.of("a"))).isTrue();
    }

    @Test
    void shouldRefuseAtOnceWhenPrimaryIsLostBeyondDeadline() {
        service.instance("a").crash();
        run(Duration.ofMillis(600));
        request(true);

        assertThat(refused).hasSize(1);
    }

    @Test
    void shouldQueueRequestWhenPrimaryIsExpectedBeforeDeadline() {
        service.instance("a").crash();
        run(Duration.ofMillis(600));
        group.acquire(request(true, Duration.ofSeconds(4)));

        assertThat(refused).isEmpty();
        assertThat(group.waitingCount()).isEqualTo(1);
    }

    @Test
    void shouldRefuseWhenQueueIsFull() {
        for (int i = 0; i < 500; i++) {
            request(true);
        }

        assertThat(refused).isNotEmpty();
        assertThat(group.waitingCount()).isLessThanOrEqualTo(100);
    }

    @Test
    void shouldNotReadAtDrainingInstanceWhenOthersAreLoaded() {
        group.put(service.instance("c").drain().instanceEntry());
        for (int i = 0; i < 40; i++) {
            request(false);
        }
        run(Duration.ofMillis(100));

        assertThat(granted).isNotEmpty();
        assertThat(granted.stream().map(c -> c.instance().id())).doesNotContain(InstanceId.of("c"));
    }

    // Guards against a vote with an older position while a commit is pending at a former leader.
    @Test
    void shouldStillAwaitCommitWhenLeaderChanged() {
        group.trackCommit();
        group.remove(InstanceId.of("a"));
        group.put(service.instanceEntry("a"));
        run(Duration.ofMillis(400));

        assertThat(group.leadership().isLeader(InstanceId.of("a"))).isTrue();
        assertThat(group.pendingWrites().mayBeAcknowledged()).isTrue();
    }

    // Guards against a position that stays unknown while nobody uses the service.
    @Test
    void shouldQueryPrimaryWhenOutcomeOfCommitIsUnknown() {
        run(Duration.ofSeconds(6));
        group.trackCommit().abandon();
        assertThat(group.pendingWrites().mayBeAcknowledged()).isTrue();
        service.instance("a").receive(LogPosition.of(1, 3));
        run(Duration.ofMillis(100));

        assertThat(group.pendingWrites().mayBeAcknowledged()).isFalse();
        assertThat(group.lastAcknowledgedPosition()).isEqualTo(LogPosition.of(1, 3));
    }

    // Guards against the log end of a replica, which may lack a commit that another one received.
    @Test
    void shouldNotKnowPositionWhenOnlyReplicasReport() {
        service.instance("a").crash();
        group.trackCommit().abandon();
        run(Duration.ofMillis(1));
        group.requestAllStatuses();
        run(Duration.ofMillis(100));

        assertThat(group.status(InstanceId.of("b"))).isPresent();
        assertThat(group.pendingWrites().mayBeAcknowledged()).isTrue();
    }

    // Guards against a commit that stays pending for ever, which keeps positions out of all votes.
    @Test
    void shouldCloseConnectionWhenRemovedInstanceIsSilent() {
        request(true);
        service.instance("a").stopResponding();
        List<Optional<StatementResult>> results = new ArrayList<>();
        granted.get(0).send("w", Optional.empty(), new Statement.Write("k", "data"), results::add);
        group.remove(InstanceId.of("a"));
        run(Duration.ofSeconds(6));

        assertThat(results).containsExactly(Optional.empty());
        assertThat(service.instance("a").openConnectionCount()).isZero();
    }

    private void request(boolean needsPrimary) {
        group.acquire(request(needsPrimary, Duration.ofMillis(800)));
    }

    private ConnectionRequest request(boolean needsPrimary, Duration timeout) {
        return new ConnectionRequest(
                needsPrimary
                        ? ConnectionRequest.Purpose.PRIMARY
                        : ConnectionRequest.Purpose.ANY_INSTANCE,
                new HashSet<>(),
                Map.of(),
                clock.nanoTime() + timeout.toNanos(),
                granted::add,
                refused::add);
    }

    private void tick() {
        group.tick();
        clock.schedule(this::tick, Duration.ofMillis(50));
    }

    private void run(Duration time) {
        clock.advance(time);
    }
}
