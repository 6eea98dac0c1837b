package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.carobstage.account.ApiKey;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.SlottedConnector;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.quota.OperationLimiter;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.upstream.ConnectionQuota;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.UpstreamContext;
import org.junit.jupiter.api.Test;

/** 118 processes share a service whose instances allow 73 connections each. */
class ManyProcessesTest {
    private static final int PROCESSES = 118;
    private static final int CONNECTION_LIMIT = 73;
    private static final int SLOTS = 4;
    private static final int QUEUE_LENGTH = 32;

    /** The load of a burst, 1.8 times the usual one; its work takes 8 of the 12 slots. */
    private static final double OPERATIONS_PER_SECOND = 396;

    private static final Duration PERIOD = Duration.ofSeconds(10);
    private static final Duration REPLICATION_DELAY = Duration.ofMillis(50);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeService service = FakeService.of(clock);
    private final SlottedConnector connector = new SlottedConnector(service, SLOTS, QUEUE_LENGTH);
    private final Random random = new Random(1);
    private final Map<Kind, List<Operation>> operations = new EnumMap<>(Kind.class);
    private final List<Process> processes = new ArrayList<>();
    private int requestCount;

    // Guards against processes that each open connections to each instance for their status queries
    // and reads, so that openings use the slots and fill the queues of the instances.
    @Test
    void shouldServePrimaryRoutesInTimeWhenMoreProcessesThanConnectionsShareInstances() {
        service.instances().forEach(i -> i.setConnectionLimit(CONNECTION_LIMIT));
        service.instance("b").setReplicationDelay(REPLICATION_DELAY);
        service.instance("c").setReplicationDelay(REPLICATION_DELAY);
        IntStream.range(0, PROCESSES)
                .forEach(i -> processes.add(new Process("domain-" + "abc".charAt(i % 3))));
        clock.advance(Duration.ofSeconds(4));
        sendOperations();
        clock.advance(PERIOD.plusSeconds(3));

        assertThat(shareInTime(Kind.PATH_BID)).isGreaterThan(0.9);
    }

    private double shareInTime(Kind kind) {
        List<Operation> all = operations.get(kind);
        return (double) all.stream().filter(Operation::isInTime).count() / all.size();
    }

    private void sendOperations() {
        double nanos = 0;
        while (nanos < PERIOD.toNanos()) {
            nanos += -Math.log(1 - random.nextDouble()) / OPERATIONS_PER_SECOND * 1e9;
            Process process = processes.get(random.nextInt(PROCESSES));
            double draw = random.nextDouble();
            Kind kind = draw < 0.15 ? Kind.PATH_BID : draw < 0.3 ? Kind.PLAN_READ : Kind.AMEND;
            boolean write = random.nextDouble() < kind.writes;
            boolean transaction = random.nextDouble() < kind.transactions;
            clock.schedule(
                    () -> new Operation(kind, process, write, transaction).start(),
                    Duration.ofNanos((long) nanos));
        }
    }

    private enum Kind {
        PATH_BID(Consistency.PRIMARY, 5, 200, 800, 0.2, 0.4),
        PLAN_READ(Consistency.BOUNDED_STALENESS, 26, 500, 2_000, 0, 0.1),
        AMEND(Consistency.READ_YOUR_WRITES, 15, 400, 800, 0.12, 0.12);

        private final Consistency consistency;
        private final int workMillis;
        private final Duration target;
        private final Duration timeout;
        private final double writes;
        private final double transactions;

        Kind(
                Consistency consistency,
                int workMillis,
                int targetMillis,
                int timeoutMillis,
                double writes,
                double transactions) {
            this.consistency = consistency;
            this.workMillis = workMillis;
            this.target = Duration.ofMillis(targetMillis);
            this.timeout = Duration.ofMillis(timeoutMillis);
            this.writes = writes;
            this.transactions = transactions;
        }

        private Route route() {
            return new Route(
                    name(),
                    FakeService.NAME,
                    consistency,
                    Duration.ofMillis(consistency == Consistency.READ_YOUR_WRITES ? 2_500 : 1_500),
                    timeout,
                    target,
                    1);
        }
    }

    private final class Process {
        private final ServiceGroup group;
        private final SessionContext context;

        private Process(String domain) {
            EventLog events = EventLog.of(VmId.of("vm"), clock, 1);
            group =
                    ServiceGroup.of(
                            FakeService.NAME,
                            new UpstreamContext(
                                    clock,
                                    connector,
                                    FailureDomain.of(domain),
                                    events,
                                    true,
                                    random::nextDouble));
            RouteTable routes =
                    new RouteTable(
                            1,
                            Map.of(
                                    Kind.PATH_BID.name(), Kind.PATH_BID.route(),
                                    Kind.PLAN_READ.name(), Kind.PLAN_READ.route(),
                                    Kind.AMEND.name(), Kind.AMEND.route()),
                            Map.of(FakeService.NAME, CONNECTION_LIMIT),
                            Duration.ofSeconds(3));
            context =
                    new SessionContext(
                            clock,
                            () -> routes,
                            name -> Optional.of(group),
                            OperationLimiter.unlimited(),
                            StatementGate.open(clock),
                            RequestEventLog.of(events, clock),
                            ProxyMetrics.empty());
            group.setConnectionQuota(
                    new ConnectionQuota(1, PROCESSES, CONNECTION_LIMIT - 2, true, false)
                            .withStandbyRank(processes.size() / 3));
            service.instances().forEach(i -> group.put(i.instanceEntry()));
            clock.schedule(this::tick, Duration.ofMillis(random.nextInt(50)));
        }

        private void tick() {
            group.primaryCertainty().setStoreObservedAt(ClockReading.now(clock));
            group.tick();
            clock.schedule(this::tick, Duration.ofMillis(50));
        }
    }

    private final class Operation implements ClientChannel {
        private final Kind kind;
        private final List<Statement> statements = new ArrayList<>();
        private final long startNanos = clock.nanoTime();
        private final ClientSession session;
        private boolean served;
        private long latencyNanos;

        private Operation(Kind kind, Process process, boolean write, boolean transaction) {
            this.kind = kind;
            String work = String.valueOf(kind.workMillis);
            Statement last = write ? new Statement.Write(work, "x") : new Statement.Read(work);
            statements.addAll(
                    transaction
                            ? List.of(
                                    new Statement.Begin(!write),
                                    new Statement.Read(work),
                                    last,
                                    new Statement.Commit())
                            : List.of(last));
            operations.computeIfAbsent(kind, k -> new ArrayList<>()).add(this);
            session =
                    new ClientSession(process.context, this, kind.name(), ApiKey.of(""), () -> {});
        }

        private void start() {
            session.open();
            sendNext();
        }

        private void sendNext() {
            session.receive("r" + requestCount++, statements.remove(0));
        }

        @Override
        public void sendResult(StatementResult result) {
            if (!result.isSuccessful() || statements.isEmpty()) {
                served = result.isSuccessful();
                latencyNanos = clock.nanoTime() - startNanos;
            } else {
                sendNext();
            }
        }

        @Override
        public void sendReady() {
            // The session sends its statements without waiting.
        }

        @Override
        public void reject(Failure failure) {
            served = false;
        }

        @Override
        public void close() {
            session.onDisconnect();
        }

        private boolean isInTime() {
            return served && latencyNanos <= kind.target.toNanos();
        }
    }
}
