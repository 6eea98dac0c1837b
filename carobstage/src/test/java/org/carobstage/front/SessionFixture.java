package org.carobstage.front;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ApiKey;
import org.carobstage.account.ClientAccount;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeService;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.quota.OperationLimiter;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.UpstreamContext;

/** Client sessions on three in-memory instances, driven by a manual clock. */
final class SessionFixture {
    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final ProxyMetrics metrics = ProxyMetrics.empty();
    final EventLog events = EventLog.of(VmId.of("vm"), clock, 1_000);
    final ServiceGroup group;
    OperationLimiter limiter = OperationLimiter.unlimited();
    RouteTable routeTable =
            new RouteTable(
                    1,
                    Map.of(
                            "primary", route("primary", Consistency.PRIMARY),
                            "bounded", route("bounded", Consistency.BOUNDED_STALENESS),
                            "own", route("own", Consistency.READ_YOUR_WRITES),
                            "public", publicRoute()),
                    Map.of(FakeService.NAME, 20),
                    Duration.ofSeconds(3));
    private final SessionContext context;
    private final Map<RecordingChannel, ClientSession> sessions = new LinkedHashMap<>();
    private int requestCount;

    SessionFixture() {
        this(false);
    }

    SessionFixture(boolean fencingEnforced) {
        group =
                ServiceGroup.of(
                        FakeService.NAME,
                        new UpstreamContext(
                                clock,
                                service.connector(),
                                FailureDomain.of("domain-b"),
                                events,
                                fencingEnforced));
        context =
                new SessionContext(
                        clock,
                        () -> routeTable,
                        name -> Optional.of(group),
                        (account, callback) -> limiter.acquire(account, callback),
                        StatementGate.open(clock),
                        RequestEventLog.of(events, clock),
                        metrics);
        group.setConnectionLimit(4, 5);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        tick();
        advanceMillis(1_000);
    }

    ClientSession openSession(String database, RecordingChannel channel) {
        return openSession(database, "", channel);
    }

    ClientSession openSession(String database, String key, RecordingChannel channel) {
        ClientSession session =
                new ClientSession(
                        context, channel, database, ApiKey.of(key), () -> sessions.remove(channel));
        sessions.put(channel, session);
        session.open();
        return session;
    }

    /** Applies a configuration with other keys; each account is given as {@code name=key}. */
    Optional<String> applyAccounts(String... accounts) {
        List<ClientAccount> all =
                Arrays.stream(accounts)
                        .map(a -> a.split("="))
                        .map(
                                a ->
                                        new ClientAccount(
                                                AccountName.of(a[0]),
                                                Set.of(ApiKey.of(a[1])),
                                                0,
                                                Optional.empty()))
                        .toList();
        routeTable =
                new RouteTable(
                        routeTable.version() + 1,
                        routeTable.routes(),
                        routeTable.connectionLimits(),
                        routeTable.idleTransactionTimeout(),
                        Optional.of(AccountTable.of(all)));
        return SessionRevocation.apply(sessions.values(), routeTable);
    }

    /** Sends a statement and returns its request id. */
    String send(ClientSession session, Statement statement) {
        String id = "r" + requestCount++;
        session.receive(id, statement);
        return id;
    }

    void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    long executionCount(String requestId) {
        return service.instances().stream()
                .flatMap(i -> i.executedStatements().stream())
                .filter(line -> line.startsWith(requestId + " "))
                .count();
    }

    boolean executedAt(String instance, String requestId) {
        return service.instance(instance).executedStatements().stream()
                .anyMatch(line -> line.startsWith(requestId + " "));
    }

    private static Route route(String database, Consistency consistency) {
        return new Route(
                database,
                FakeService.NAME,
                consistency,
                Duration.ofMillis(1_500),
                Duration.ofMillis(800),
                Duration.ofMillis(250),
                1);
    }

    private static Route publicRoute() {
        Route route = route("public", Consistency.BOUNDED_STALENESS);
        return new Route(
                route.database(),
                route.service(),
                route.consistency(),
                route.maxStaleness(),
                route.timeout(),
                route.targetLatency(),
                route.priority(),
                true);
    }

    private void tick() {
        group.primaryCertainty().setStoreObservedAt(ClockReading.now(clock));
        group.tick();
        clock.schedule(this::tick, Duration.ofMillis(50));
    }
}
