package org.carobstage.testbed.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.config.Configuration;
import org.carobstage.document.DocumentReader;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.TeamDocument;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.ManualClock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.LimitSample;
import org.carobstage.testbed.local.LocalFaultInjector;
import org.carobstage.testbed.local.LocalGroup;

/** One database group and its entry VMs, driven by a manual clock. */
final class SimulatedCluster {
    static final GroupId GROUP_ID = GroupId.of("group-1");
    private static final Instant NOON_IN_RECIFE = Instant.parse("2026-03-02T15:00:00Z");
    private static final Duration STARTUP_TIME = Duration.ofMillis(100);
    private static final Duration CLOCK_STEP = Duration.ofMillis(1);
    private static final int EVENT_LOG_CAPACITY = 1_000;

    private final ManualClock clock = ManualClock.of(NOON_IN_RECIFE);
    private final History history = History.empty();
    private final Map<String, Proxy> proxies = new HashMap<>();
    private final TeamDocument document;
    private final LocalGroup group;

    SimulatedCluster(Layout layout, long lagMillis, List<String> vms, Path examples) {
        document = readDocument(examples.resolve(layout.documentPath()));
        group = LocalGroup.of(clock, GROUP_ID, layout.instanceSettings(lagMillis));
        group.startTermOne();
        Quota quota =
                new Quota(
                        Math.max(1, group.spec().slots() / vms.size()),
                        Math.max(1, group.spec().connections() / vms.size()));
        vms.forEach(vm -> proxies.put(vm, newProxy(vm, quota)));
        createTable();
        advance(STARTUP_TIME);
    }

    ManualClock clock() {
        return clock;
    }

    History history() {
        return history;
    }

    LocalFaultInjector faults() {
        return group.faultInjector();
    }

    ServiceName serviceName() {
        return document.service();
    }

    Proxy proxy(String vm) {
        return Optional.ofNullable(proxies.get(vm))
                .orElseThrow(() -> new IllegalArgumentException("unknown entry VM: " + vm));
    }

    RequestPolicy requestPolicy(String requestClass) {
        return document.policy(RequestClass.of(requestClass), clock.instant())
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown request class: " + requestClass));
    }

    InstanceId instanceId(String name) {
        InstanceId id = InstanceId.of(name);
        if (group.instance(id) == null) {
            throw new IllegalArgumentException("unknown instance: " + name);
        }
        return id;
    }

    /** Advances the clock step by step and samples the load of each instance after each step. */
    void advance(Duration duration) {
        for (Duration remaining = duration;
                !remaining.isZero();
                remaining = remaining.minus(CLOCK_STEP)) {
            clock.advance(CLOCK_STEP);
            instances().forEach(this::sample);
        }
    }

    /**
     * Performs the steps of a promotion directly on instances that are neither cut off nor frozen.
     */
    void promote(InstanceId primary, long termNumber, List<InstanceId> replicas) {
        Term term = Term.of(termNumber);
        group.instance(primary).promise(term);
        replicas.forEach(id -> group.instance(id).promise(term));
        group.instance(primary).promote(term);
        group.startReplication(primary, replicas);
    }

    List<Entry> entriesAtPrimary() {
        DatabaseInstance primary =
                instances()
                        .filter(instance -> instance.status().isPrimary())
                        .max(Comparator.comparing(instance -> instance.status().promisedTerm()))
                        .orElseThrow(() -> new IllegalStateException("no primary"));
        return execute(primary, Entry.SELECT_ALL, true).stream().map(Entry::of).toList();
    }

    private Proxy newProxy(String name, Quota quota) {
        VmId vm = VmId.of(name);
        Proxy proxy =
                Proxy.of(
                        clock,
                        BoundedExecutor.inline(),
                        EventLog.of(vm, clock, EVENT_LOG_CAPACITY),
                        instance -> group.backend(vm, instance),
                        spec -> quota);
        proxy.apply(
                new Configuration(
                        Map.of(document.service(), document), Map.of(GROUP_ID, group.spec())));
        return proxy;
    }

    private void createTable() {
        DatabaseInstance primary =
                instances()
                        .filter(instance -> instance.status().isPrimary())
                        .findFirst()
                        .orElseThrow();
        execute(primary, Entry.CREATE_TABLE, false);
    }

    private Stream<DatabaseInstance> instances() {
        return group.spec().instances().stream().map(spec -> group.instance(spec.id()));
    }

    private void sample(DatabaseInstance instance) {
        history.add(
                new LimitSample(
                        instance.settings().id().value(),
                        instance.busySlotCount(),
                        instance.settings().slotCount(),
                        instance.openSessionCount(),
                        instance.settings().maxConnections(),
                        instance.refusalCount()));
    }

    private static List<List<Object>> execute(
            DatabaseInstance instance, String sql, boolean isRead) {
        long term = instance.status().promisedTerm().number();
        ExecuteRequest request = new ExecuteRequest(term, sql, List.of(), isRead, 0, 0, null);
        try (DatabaseSession session = instance.openSession().orElseThrow()) {
            return ((BackendResult.Done) session.execute(request)).rows();
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    private static TeamDocument readDocument(Path file) {
        try {
            return DocumentReader.read(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
