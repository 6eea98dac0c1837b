package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeService;
import org.carobstage.model.AccountName;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.carobstage.upstream.InstanceConnection.StatusResponse;
import org.junit.jupiter.api.Test;

/** Shared connections under the loads that they have to serve, each named by its test. */
class SharedConnectionsTest {
    private static final ConnectionQuota TWO_FOR_ACCOUNTS =
            new ConnectionQuota(2, 31, 2, false, true);
    private static final ConnectionQuota MORE_PROCESSES =
            new ConnectionQuota(1, 118, 71, true, false);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeService service = FakeService.of(clock);
    private final Random random = new Random(7);
    private final List<String> finished = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private final List<Long> latencyMillis = new ArrayList<>();
    private int operationCount;

    // Guards against a statement that runs under another account, an opening for each dispatch of a
    // waiting request, and an account that waits for ever behind idle connections of others.
    @Test
    void shouldServeManyAccountsOverTwoConnections() {
        ServiceGroup group = startGroup(TWO_FOR_ACCOUNTS);
        long openingsBefore = openings();
        for (int i = 0; i < 400; i++) {
            read(group, "account-" + random.nextInt(82), Duration.ofMillis(800));
            clock.advance(Duration.ofMillis(10));
        }
        clock.advance(Duration.ofSeconds(1));

        assertThat(finished).hasSize(400);
        assertThat(rejected).isEmpty();
        service.instances().stream()
                .flatMap(i -> i.executingAccounts().entrySet().stream())
                .forEach(
                        e ->
                                assertThat(e.getKey())
                                        .startsWith(e.getValue().orElseThrow().value() + "/"));
        assertThat(openings() - openingsBefore).isLessThanOrEqualTo(400);
    }

    // Guards against processes that each keep a connection open and retry at once when refused, so
    // that the others get none.
    @Test
    void shouldServeMoreProcessesThanConnections() {
        service.instances().forEach(i -> i.setConnectionLimit(73));
        List<ServiceGroup> groups = startGroups(118, MORE_PROCESSES);
        assertThat(service.instances()).allMatch(i -> i.openConnectionCount() < 20);
        int refusedAtStart = refusals();
        int count = runOperations(groups, Duration.ofSeconds(10), 196);
        assertThat(finished).hasSize(count);
        assertThat(latencyMillis).allMatch(millis -> millis < 100);
        assertThat(refusals() - refusedAtStart).isLessThan(count / 20);
    }

    // Guards against refusals that grow with the number of waiting requests or dispatches.
    @Test
    void shouldBoundRefusalsWhenConnectionsAreScarce() {
        service.instances().forEach(i -> i.setConnectionLimit(3));
        List<ServiceGroup> groups = startGroups(40, new ConnectionQuota(1, 40, 1, true, false));
        int refusedAtStart = refusals();
        int count = runOperations(groups, Duration.ofSeconds(10), 60);
        assertThat(finished).hasSizeGreaterThan(count * 95 / 100);
        assertThat(refusals() - refusedAtStart).isLessThan(2 * count);
    }

    // Guards against a service without any process that notices the failure of its primary, since
    // no process keeps a connection to it. A failover needs the votes of most of them.
    @Test
    void shouldDetectFailedPrimaryWithoutOpenConnections() {
        service.instances().forEach(i -> i.setConnectionLimit(73));
        List<ServiceGroup> groups = startGroups(118, MORE_PROCESSES);
        assertThat(openConnections()).isLessThan(73);
        service.instance("a").crash();
        clock.advance(Duration.ofSeconds(3));

        assertThat(groups.stream().filter(g -> g.isSuspected(InstanceId.of("a"))).count())
                .isGreaterThan(59);
    }

    // Guards against the command of a failover that is never sent because no connection is open.
    @Test
    void shouldOpenConnectionForControlCommandWhenNoneIsOpen() {
        ServiceGroup group = startGroup(MORE_PROCESSES);
        assertThat(service.instance("b").openConnectionCount()).isZero();
        List<StatusResponse> responses = new ArrayList<>();
        Statement pause = new Statement.PauseReplication(Term.of(2));

        assertThat(group.trySendControlCommand(InstanceId.of("b"), pause, responses::add)).isTrue();
        clock.advance(Duration.ofMillis(50));
        assertThat(responses).hasSize(1).allMatch(StatusResponse::hasResponse);
        assertThat(service.instance("b").replicationPauseTerm()).isEqualTo(Term.of(2));
    }

    // Guards against a request that waits until its deadline behind transactions that stay idle,
    // and against one that is rejected although a release is near.
    @Test
    void shouldRejectAtOnceWhenAllConnectionsArePinnedByIdleTransactions() {
        ServiceGroup group = startGroup(TWO_FOR_ACCOUNTS);
        List<PooledConnection> pinned = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            request(group, "x", Purpose.TRANSACTION, Duration.ofSeconds(2), pinned::add);
        }
        clock.advance(Duration.ofMillis(60));
        assertThat(pinned).hasSize(6);
        read(group, "y", Duration.ofMillis(500));
        assertThat(rejected).isEmpty();
        clock.advance(Duration.ofMillis(700));
        assertThat(rejected).hasSize(1);

        read(group, "y", Duration.ofMillis(500));
        assertThat(rejected).hasSize(2).last().asString().contains("retry after 7");
        pinned.forEach(PooledConnection::release);
        read(group, "y", Duration.ofMillis(500));
        clock.advance(Duration.ofMillis(100));
        assertThat(finished).hasSize(1);
    }

    // Guards against a backoff that ends without waking the waiting request, or that does not grow.
    @Test
    void shouldRecoverWhenInstanceRefusesForAWhile() {
        ServiceGroup group = startGroup(TWO_FOR_ACCOUNTS);
        service.instances().forEach(i -> i.setConnectionLimit(0));
        read(group, "x", Duration.ofMillis(1_000));
        clock.advance(Duration.ofMillis(400));
        assertThat(refusals()).isBetween(3, 15);
        service.instances().forEach(i -> i.setConnectionLimit(73));
        clock.advance(Duration.ofMillis(500));

        assertThat(finished).hasSize(1);
        assertThat(group.connectionCounters().refusals()).isEqualTo(refusals());
    }

    private List<ServiceGroup> startGroups(int count, ConnectionQuota quota) {
        List<ServiceGroup> groups = Stream.generate(() -> createGroup(quota)).limit(count).toList();
        clock.advance(Duration.ofSeconds(4));
        return groups;
    }

    /** Runs reads and writes at random processes; returns how many. */
    private int runOperations(List<ServiceGroup> groups, Duration time, int perSecond) {
        int count = (int) (time.toMillis() * perSecond / 1_000);
        Duration interval = time.dividedBy(count);
        for (int i = 0; i < count; i++) {
            run(
                    groups.get(random.nextInt(groups.size())),
                    "",
                    i % 4 == 0 ? Purpose.PRIMARY : Purpose.ANY_INSTANCE,
                    Duration.ofMillis(1_500));
            clock.advance(interval);
        }
        clock.advance(Duration.ofSeconds(3));
        return count;
    }

    private int openConnections() {
        return service.instances().stream().mapToInt(FakeInstance::openConnectionCount).sum();
    }

    private int refusals() {
        return service.instances().stream().mapToInt(FakeInstance::refusalCount).sum();
    }

    private long openings() {
        return service.instances().stream().mapToLong(FakeInstance::openingCount).sum();
    }

    private ServiceGroup startGroup(ConnectionQuota quota) {
        ServiceGroup group = createGroup(quota);
        clock.advance(Duration.ofSeconds(1));
        return group;
    }

    private ServiceGroup createGroup(ConnectionQuota quota) {
        ServiceGroup group =
                ServiceGroup.of(
                        FakeService.NAME,
                        new UpstreamContext(
                                clock,
                                service.connector(),
                                FailureDomain.of("domain-b"),
                                EventLog.of(VmId.of("vm"), clock, 100),
                                false,
                                random::nextDouble));
        group.setConnectionQuota(quota);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        clock.schedule(() -> tick(group), Duration.ofMillis(random.nextInt(50)));
        return group;
    }

    private void read(ServiceGroup group, String account, Duration timeout) {
        run(group, account, Purpose.ANY_INSTANCE, timeout);
    }

    private void run(ServiceGroup group, String account, Purpose purpose, Duration timeout) {
        String id = account + "/" + operationCount++;
        long startNanos = clock.nanoTime();
        request(
                group,
                account,
                purpose,
                timeout,
                c ->
                        c.send(
                                id,
                                Optional.empty(),
                                new Statement.Read("k"),
                                result -> {
                                    finished.add(id);
                                    latencyMillis.add((clock.nanoTime() - startNanos) / 1_000_000);
                                    c.release();
                                }));
    }

    private void request(
            ServiceGroup group,
            String account,
            Purpose purpose,
            Duration timeout,
            Consumer<PooledConnection> onGranted) {
        long deadlineNanos = clock.nanoTime() + timeout.toNanos();
        group.acquire(
                new ConnectionRequest(
                        new RequestOrigin(
                                Optional.of(account).filter(a -> !a.isEmpty()).map(AccountName::of),
                                0,
                                deadlineNanos),
                        purpose,
                        new HashSet<>(),
                        Map.of(),
                        deadlineNanos,
                        onGranted,
                        rejected::add));
    }

    private void tick(ServiceGroup group) {
        group.tick();
        clock.schedule(() -> tick(group), Duration.ofMillis(50));
    }
}
