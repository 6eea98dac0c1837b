package org.carobstage.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeProcess;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.store.LeaseId;
import org.carobstage.store.ObservedStore;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWatcher;
import org.carobstage.upstream.ConnectionRequest;
import org.carobstage.upstream.PooledConnection;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.TrackedCommit;
import org.carobstage.upstream.UpstreamContext;

/** Processes that coordinate failovers of an in-memory service, driven by a manual clock. */
final class FailoverFixture {
    private static final int PROCESSES = 3;
    private static final int WRITE_INTERVAL_MILLIS = 50;

    private static final Duration WRITE_TIMEOUT = Duration.ofMillis(1_500);

    /** A process that ends without notice remains a member for this long. */
    private static final Duration MEMBERSHIP_TTL = Duration.ofSeconds(3);

    private static final Duration REGISTRATION_RETRY_DELAY = Duration.ofMillis(500);

    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final FakeMetadataStore store = FakeMetadataStore.of(clock);
    final List<Process> processes = new ArrayList<>();

    /** What happens to each message; messages begin with the VM of their sender. */
    MessageFilter filter = MessageFilter.NONE;

    private final boolean fencingEnforced;
    private final Set<InstanceId> droppedEntries = new HashSet<>();

    FailoverFixture() {
        this(false);
    }

    FailoverFixture(boolean fencingEnforced) {
        this(fencingEnforced, PROCESSES);
    }

    FailoverFixture(boolean fencingEnforced, int processCount) {
        this.fencingEnforced = fencingEnforced;
        for (int i = 0; i < processCount; i++) {
            processes.add(new Process("vm-" + i));
        }
        advanceMillis(1_000);
    }

    /** Ends a process and starts it again under its VM's id, before its membership has ended. */
    Process restart(int index) {
        Process ended = processes.get(index);
        ended.end();
        processes.set(index, new Process(ended.vm.value()));
        processes.forEach(p -> p.coordinator.onMemberRestarted());
        return processes.get(index);
    }

    /** Drops an instance from what all processes know of the service, while it runs on. */
    void dropEntry(String id) {
        droppedEntries.add(InstanceId.of(id));
        processes.forEach(p -> p.group.remove(InstanceId.of(id)));
    }

    /** Lets all processes know an entry, possibly again. */
    void putEntry(InstanceEntry entry) {
        droppedEntries.remove(entry.id());
        processes.forEach(p -> p.group.put(entry));
    }

    /** Lets the instances report a change of their roles to all processes at once. */
    void reportRoles() {
        service.onRolesChanged(this::putEntries);
    }

    /** Lets all processes know the entries of all instances that have one. */
    void putEntries() {
        List<InstanceEntry> entries =
                service.instances().stream()
                        .map(FakeInstance::instanceEntry)
                        .filter(e -> !droppedEntries.contains(e.id()))
                        .toList();
        processes.forEach(p -> p.process.run(() -> entries.forEach(p.group::put)));
    }

    /** Announces that the primary is about to stop. */
    void drainPrimary() {
        FakeInstance primary = service.primary().orElseThrow();
        primary.drain();
        processes.forEach(p -> p.group.put(primary.instanceEntry()));
    }

    FakeInstance instance(String id) {
        return service.instance(id);
    }

    /** Returns the keys of the votes that are stored and not withdrawn. */
    List<String> storedVotes() {
        return store.keys("carobstage/votes/").stream()
                .filter(key -> store.get(key).flatMap(Vote::parse).isPresent())
                .toList();
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

    /** Advances while every process writes. */
    void advanceWriting(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += WRITE_INTERVAL_MILLIS) {
            processes.forEach(p -> p.write(() -> {}));
            advanceMillis(Math.min(WRITE_INTERVAL_MILLIS, millis - elapsed));
        }
    }

    /** Lets some processes reach no primary {@code a} any more. */
    void cutOffPrimary(int... indexes) {
        Arrays.stream(indexes).forEach(i -> processes.get(i).unreachable.add(InstanceId.of("a")));
    }

    /** An entry VM process with its own connections to the store and to the instances. */
    final class Process {
        final Set<InstanceId> unreachable = new HashSet<>();
        final FakeMetadataStore.Client storeClient = store.client();
        private final VmId vm;
        private boolean left;
        private boolean ended;
        final ServiceGroup group;
        private final FailoverCoordinator coordinator;
        private final StoreWatcher storeWatcher;
        private final FakeProcess process = FakeProcess.of(clock);
        private final ObservedStore reachedStore =
                ObservedStore.of(process.store(storeClient), process);
        private Optional<LeaseId> lease = Optional.empty();

        private Process(String name) {
            vm = VmId.of(name);
            storeClient.setMessageFilter(this::fateOf);
            EventLog events = EventLog.of(vm, process, 100);
            group =
                    ServiceGroup.of(
                            FakeService.NAME,
                            new UpstreamContext(
                                    process,
                                    process.connector(
                                            service.connector(
                                                    id -> !ended && !unreachable.contains(id),
                                                    this::fateOf)),
                                    FailureDomain.of("domain-b"),
                                    events,
                                    fencingEnforced));
            group.setConnectionLimit(4, 5);
            service.instances().stream()
                    .filter(i -> !droppedEntries.contains(i.id()))
                    .forEach(i -> group.put(i.instanceEntry()));
            coordinator =
                    FailoverCoordinator.of(
                            new FailoverContext(
                                    vm,
                                    process,
                                    reachedStore,
                                    process.promotionClient(service.promotionClient(this::fateOf)),
                                    events,
                                    fencingEnforced));
            coordinator.add(group);
            storeWatcher =
                    StoreWatcher.of(
                            reachedStore,
                            process,
                            events,
                            StoreWatcher.Listener.of(
                                    coordinator::onStoreChange, () -> {}, () -> {}),
                            coordinator::isFailoverInProgress);
            storeWatcher.start();
            register();
            storeClient.era().addListener(era -> register());
            process.schedule(this::tick, Duration.ofMillis(50));
        }

        /** Obtains the lease of the membership, also when a restored store has lost it. */
        private void register() {
            reachedStore.grantLease(
                    Duration.ofHours(1),
                    response -> {
                        if (response instanceof StoreResponse.Success<LeaseId> granted) {
                            lease = Optional.of(granted.value());
                        } else if (!ended) {
                            process.schedule(this::register, REGISTRATION_RETRY_DELAY);
                        }
                    });
        }

        VmId vm() {
            return vm;
        }

        private MessageFilter.Fate fateOf(String message) {
            return ended ? MessageFilter.Fate.LOST : filter.fateOf(vm + " " + message);
        }

        private void end() {
            ended = true;
            Optional<LeaseId> endedLease = lease;
            clock.schedule(() -> endedLease.ifPresent(store::expire), MEMBERSHIP_TTL);
            storeClient.setReachable(false);
        }

        /** Ends the membership, although the process runs. */
        void loseMembership() {
            left = true;
            lease.ifPresent(store::expire);
            lease = Optional.empty();
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
                            process.nanoTime() + Duration.ofSeconds(1).toNanos(),
                            connection -> {
                                granted.add(connection.instance().id());
                                connection.release();
                            },
                            reason -> {}));
        }

        /** Renews the lease of the membership, as a process does every second. */
        void renewMembership() {
            process.run(() -> lease.ifPresent(id -> reachedStore.renewLease(id, response -> {})));
        }

        /** Requests a position that covers what is acknowledged by now. */
        void requestReadIndex(Consumer<LogPosition> onPosition) {
            process.run(
                    () ->
                            group.requestReadIndex(
                                    ClockReading.now(process),
                                    process.nanoTime() + WRITE_TIMEOUT.toNanos(),
                                    false,
                                    observed -> onPosition.accept(observed.position()),
                                    reason -> {}));
        }

        /** Suspends the process; its monotonic clock may or may not count that time. */
        void suspend(Duration length, boolean counted) {
            process.suspend(length, counted);
        }

        /** Steps the time of day of the process. */
        void stepTimeOfDay(Duration step) {
            process.stepTimeOfDay(step);
        }

        /** Writes once if the primary is known and may be written to; gives up after a timeout. */
        void write(Runnable onAcknowledged) {
            process.run(() -> acquireAndWrite(onAcknowledged));
        }

        private void acquireAndWrite(Runnable onAcknowledged) {
            group.acquire(
                    new ConnectionRequest(
                            ConnectionRequest.Purpose.PRIMARY,
                            Set.of(),
                            Map.of(),
                            process.nanoTime() + Duration.ofMillis(300).toNanos(),
                            connection -> sendWrite(connection, onAcknowledged),
                            reason -> {}));
        }

        private void sendWrite(PooledConnection connection, Runnable onAcknowledged) {
            if (!group.tryAcquireWritePermission(connection.instance().id())) {
                connection.release();
                return;
            }
            TrackedCommit commit = group.trackCommit();
            Clock.Timer timeout =
                    process.schedule(
                            () -> {
                                commit.abandon();
                                connection.discard();
                            },
                            WRITE_TIMEOUT);
            connection.send(
                    "w",
                    Optional.empty(),
                    new Statement.Write("k", "data"),
                    result -> {
                        timeout.cancel();
                        commit.complete(result);
                        connection.release();
                        result.filter(StatementResult::isSuccessful)
                                .ifPresent(acknowledged -> onAcknowledged.run());
                    });
        }

        private void tick() {
            if (ended) {
                return;
            }
            reachedStore.observedAt().ifPresent(group.primaryCertainty()::setStoreObservedAt);
            group.tick();
            Set<VmId> members =
                    processes.stream()
                            .filter(p -> !p.left)
                            .map(p -> p.vm)
                            .collect(Collectors.toSet());
            coordinator.setStoreReachable(storeWatcher.isReachable());
            coordinator.tick(List.of(group), members, lease);
            process.schedule(this::tick, Duration.ofMillis(50));
        }
    }
}
