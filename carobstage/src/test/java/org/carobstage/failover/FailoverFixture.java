package org.carobstage.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWatcher;
import org.carobstage.upstream.ConnectionRequest;
import org.carobstage.upstream.PooledConnection;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.TrackedCommit;
import org.carobstage.upstream.UpstreamContext;

/** Three processes that coordinate failovers of an in-memory service, driven by a manual clock. */
final class FailoverFixture {
    private static final int PROCESSES = 3;

    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final FakeMetadataStore store = FakeMetadataStore.of(clock);
    final List<Process> processes = new ArrayList<>();

    private final boolean fencingEnforced;

    FailoverFixture() {
        this(false);
    }

    FailoverFixture(boolean fencingEnforced) {
        this.fencingEnforced = fencingEnforced;
        for (int i = 0; i < PROCESSES; i++) {
            processes.add(new Process("vm-" + i));
        }
        advanceMillis(1_000);
    }

    FakeInstance instance(String id) {
        return service.instance(id);
    }

    void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /** Advances while every process sends statements, so that it notices a silent primary. */
    void advanceSecondsInUse(int seconds) {
        for (int i = 0; i < seconds; i++) {
            processes.forEach(p -> p.acquirePrimaryConnection(new ArrayList<>()));
            advanceMillis(1_000);
        }
    }

    /** An entry VM process with its own connections to the store and to the instances. */
    final class Process {
        final Set<InstanceId> unreachable = new HashSet<>();
        final FakeMetadataStore.Client storeClient = store.client();
        private final VmId vm;
        private boolean left;
        final ServiceGroup group;
        private final FailoverCoordinator coordinator;
        private Optional<LeaseId> lease = Optional.empty();

        private Process(String name) {
            vm = VmId.of(name);
            EventLog events = EventLog.of(vm, clock, 100);
            group =
                    ServiceGroup.of(
                            FakeService.NAME,
                            new UpstreamContext(
                                    clock,
                                    service.connector(id -> !unreachable.contains(id)),
                                    FailureDomain.of("domain-b"),
                                    events,
                                    fencingEnforced));
            group.setConnectionLimit(4, 5);
            service.instances().forEach(i -> group.put(i.instanceEntry()));
            coordinator =
                    FailoverCoordinator.of(
                            new FailoverContext(
                                    vm,
                                    clock,
                                    storeClient,
                                    service.promotionClient(),
                                    events,
                                    fencingEnforced));
            StoreWatcher.of(
                            storeClient,
                            clock,
                            events,
                            StoreWatcher.Listener.of(
                                    coordinator::onStoreChange, () -> {}, () -> {}))
                    .start();
            storeClient.grantLease(
                    Duration.ofHours(1),
                    response ->
                            lease =
                                    Optional.of(
                                            ((StoreResponse.Success<LeaseId>) response).value()));
            clock.schedule(this::tick, Duration.ofMillis(50));
        }

        void leave() {
            left = true;
            unreachable.addAll(Set.of(InstanceId.of("b"), InstanceId.of("c")));
        }

        void acquirePrimaryConnection(List<InstanceId> granted) {
            group.acquire(
                    new ConnectionRequest(
                            ConnectionRequest.Purpose.PRIMARY,
                            Set.of(),
                            Map.of(),
                            clock.nanoTime() + Duration.ofSeconds(1).toNanos(),
                            connection -> {
                                granted.add(connection.instance().id());
                                connection.release();
                            },
                            reason -> {}));
        }

        /** Writes once if the primary is known and may be written to. */
        void write(Runnable onAcknowledged) {
            group.acquire(
                    new ConnectionRequest(
                            ConnectionRequest.Purpose.PRIMARY,
                            Set.of(),
                            Map.of(),
                            clock.nanoTime() + Duration.ofMillis(300).toNanos(),
                            connection -> sendWrite(connection, onAcknowledged),
                            reason -> {}));
        }

        private void sendWrite(PooledConnection connection, Runnable onAcknowledged) {
            if (!group.tryAcquireWritePermission(connection.instance().id())) {
                connection.release();
                return;
            }
            TrackedCommit commit = group.trackCommit();
            connection.send(
                    "w",
                    Optional.empty(),
                    new Statement.Write("k", "data"),
                    result -> {
                        commit.complete(result);
                        connection.release();
                        result.filter(StatementResult::isSuccessful)
                                .ifPresent(acknowledged -> onAcknowledged.run());
                    });
        }

        private void tick() {
            group.tick();
            Set<VmId> members =
                    processes.stream()
                            .filter(p -> !p.left)
                            .map(p -> p.vm)
                            .collect(Collectors.toSet());
            coordinator.tick(List.of(group), members, lease);
            clock.schedule(this::tick, Duration.ofMillis(50));
        }
    }
}
