package org.carobstage.testbed.local;

import static java.util.Objects.requireNonNull;

import java.sql.SQLException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.carobstage.backend.Backend;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.InstanceSettings;
import org.carobstage.testbed.database.LogMessages;

/** In-process group of simulated instances, with replication driven by the given clock. */
public final class LocalGroup {
    private static final Duration REPLICATION_INTERVAL = Duration.ofMillis(1);
    private static final List<String> INSTANCE_NAMES = List.of("a", "b", "c");

    private final Clock clock;
    private final GroupSpec spec;
    private final LocalFaultInjector faultInjector = LocalFaultInjector.create();
    private final Map<InstanceId, DatabaseInstance> instances = new LinkedHashMap<>();
    private final Map<InstanceId, InstanceId> replicationSources = new HashMap<>();
    private long statusRequestCount;

    private LocalGroup(Clock clock, GroupSpec spec) {
        this.clock = clock;
        this.spec = spec;
    }

    /**
     * Creates a group of three instances a, b and c without a primary.
     *
     * @param clock the clock
     * @param id the group
     * @param settings the limits and delays of each instance; its identifier is ignored
     * @return the group
     */
    public static LocalGroup of(Clock clock, GroupId id, InstanceSettings settings) {
        requireNonNull(clock, "clock is null");
        List<InstanceSpec> specs =
                IntStream.range(0, INSTANCE_NAMES.size())
                        .mapToObj(i -> instanceSpec(INSTANCE_NAMES.get(i), "domain-" + i, i + 1))
                        .toList();
        GroupSpec spec = new GroupSpec(id, settings.slotCount(), settings.maxConnections(), specs);
        LocalGroup group = new LocalGroup(clock, spec);
        specs.forEach(s -> group.addInstance(s.id(), settings));
        return group;
    }

    /**
     * Returns the specification of the group.
     *
     * @return the specification
     */
    public GroupSpec spec() {
        return spec;
    }

    /**
     * Returns the fault injector, which may be used at any time.
     *
     * @return the fault injector
     */
    public LocalFaultInjector faultInjector() {
        return faultInjector;
    }

    /**
     * Returns an instance.
     *
     * @param id the instance
     * @return the instance
     */
    public DatabaseInstance instance(InstanceId id) {
        return instances.get(id);
    }

    /** Makes instance a the primary of term 1, from which the others replicate. */
    public void startTermOne() {
        Term term = Term.of(1);
        InstanceId primary = InstanceId.of(INSTANCE_NAMES.get(0));
        instances.values().forEach(i -> i.promise(term));
        instances.get(primary).promote(term);
        instances.keySet().forEach(id -> setReplicationSource(id, primary));
    }

    /**
     * Creates the client of an entry VM for an instance.
     *
     * @param vm the entry VM
     * @param instance the instance
     * @return the client
     */
    public Backend backend(VmId vm, InstanceSpec instance) {
        return new LocalBackend(this, clock, vm, instance);
    }

    /**
     * Starts replication from a primary to other instances.
     *
     * @param primary the primary
     * @param replicas the instances that replicate
     */
    public void startReplication(InstanceId primary, List<InstanceId> replicas) {
        replicas.forEach(id -> setReplicationSource(id, primary));
    }

    /**
     * Returns how many status requests entry VMs have sent to the instances.
     *
     * @return the number of requests
     */
    public long statusRequestCount() {
        return statusRequestCount;
    }

    void countStatusRequest() {
        statusRequestCount++;
    }

    void setReplicationSource(InstanceId replica, InstanceId primary) {
        replicationSources.put(replica, primary);
    }

    private void addInstance(InstanceId id, InstanceSettings settings) {
        InstanceSettings instanceSettings =
                new InstanceSettings(
                        id,
                        settings.slotCount(),
                        settings.maxConnections(),
                        settings.openDelayMillis(),
                        settings.replicationLagMillis(),
                        settings.serviceTimeMillis());
        try {
            instances.put(id, DatabaseInstance.of(instanceSettings, this::nowMillis));
        } catch (SQLException e) {
            throw new IllegalStateException("instance could not be created", e);
        }
        clock.schedule(() -> replicate(id), REPLICATION_INTERVAL);
    }

    private long nowMillis() {
        return clock.instant().toEpochMilli();
    }

    private void replicate(InstanceId id) {
        InstanceId primary = replicationSources.get(id);
        Set<InstanceId> nonReplicating = faultInjector.nonReplicatingInstances();
        if (primary != null && !nonReplicating.contains(id) && !nonReplicating.contains(primary)) {
            fetchLog(id, primary);
        }
        clock.schedule(() -> replicate(id), REPLICATION_INTERVAL);
    }

    private void fetchLog(InstanceId id, InstanceId primary) {
        ReplicationStatus status = instances.get(id).status();
        LogMessages.Read request =
                new LogMessages.Read(
                        status.promisedTerm().number(),
                        status.lastPosition().term().number(),
                        status.lastPosition().offset(),
                        instances.get(id).settings().replicationLagMillis());
        try {
            instances
                    .get(id)
                    .applyBatch(request, instances.get(primary).readLog(request), nowMillis());
        } catch (SQLException e) {
            throw new IllegalStateException("log batch could not be applied", e);
        }
    }

    private static InstanceSpec instanceSpec(String name, String domain, int port) {
        return new InstanceSpec(
                InstanceId.of(name), Address.of("127.0.0.1", port), FailureDomain.of(domain));
    }
}
