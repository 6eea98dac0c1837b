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

/** A group of stand-in instances in this process, with replication on the given clock. */
public final class LocalGroup {
    private static final Duration REPLICATION_INTERVAL = Duration.ofMillis(1);
    private static final List<String> NAMES = List.of("a", "b", "c");

    private final Clock clock;
    private final GroupSpec spec;
    private final LocalFaultInjector faultInjector = LocalFaultInjector.create();
    private final Map<InstanceId, DatabaseInstance> instances = new LinkedHashMap<>();
    private final Map<InstanceId, InstanceId> followed = new HashMap<>();
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
     * @param limits slots, connections, opening time, lag and service time of each instance
     * @return the group
     */
    public static LocalGroup of(Clock clock, GroupId id, InstanceSettings limits) {
        requireNonNull(clock, "clock is null");
        List<InstanceSpec> specs =
                IntStream.range(0, NAMES.size())
                        .mapToObj(i -> spec(NAMES.get(i), "domain-" + i, i + 1))
                        .toList();
        GroupSpec spec = new GroupSpec(id, limits.slotCount(), limits.maxConnections(), specs);
        LocalGroup group = new LocalGroup(clock, spec);
        specs.forEach(s -> group.addInstance(s.id(), limits));
        return group;
    }

    /**
     * Returns the description of the group.
     *
     * @return the description
     */
    public GroupSpec spec() {
        return spec;
    }

    /**
     * Returns the faults, which callers may change at any time.
     *
     * @return the faults
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

    /** Makes instance a the primary of term 1 and lets the others follow it. */
    public void startTermOne() {
        Term one = Term.of(1);
        InstanceId first = InstanceId.of(NAMES.get(0));
        instances.values().forEach(i -> i.promise(one));
        instances.get(first).promote(one);
        instances.keySet().forEach(id -> setReplicationSource(id, first));
    }

    /**
     * Creates the client with which an entry VM reaches an instance.
     *
     * @param vm the entry VM
     * @param instance the instance
     * @return the client
     */
    public Backend backend(VmId vm, InstanceSpec instance) {
        return new LocalBackend(this, clock, vm, instance);
    }

    /**
     * Makes instances read the log of a primary.
     *
     * @param primary the primary
     * @param followers the instances
     */
    public void startReplication(InstanceId primary, List<InstanceId> followers) {
        followers.forEach(id -> setReplicationSource(id, primary));
    }

    /**
     * Returns how often entry VMs have asked instances for their standing.
     *
     * @return the number of calls
     */
    public long statusRequestCount() {
        return statusRequestCount;
    }

    void countStatusRequest() {
        statusRequestCount++;
    }

    void setReplicationSource(InstanceId replica, InstanceId primary) {
        followed.put(replica, primary);
    }

    private void addInstance(InstanceId id, InstanceSettings limits) {
        InstanceSettings own =
                new InstanceSettings(
                        id,
                        limits.slotCount(),
                        limits.maxConnections(),
                        limits.openDelayMillis(),
                        limits.replicationLagMillis(),
                        limits.serviceTimeMillis());
        try {
            instances.put(id, DatabaseInstance.of(own, this::millis));
        } catch (SQLException e) {
            throw new IllegalStateException("instance could not be created", e);
        }
        clock.schedule(() -> replicate(id), REPLICATION_INTERVAL);
    }

    private long millis() {
        return clock.instant().toEpochMilli();
    }

    private void replicate(InstanceId id) {
        InstanceId primary = followed.get(id);
        Set<InstanceId> stopped = faultInjector.nonReplicatingInstances();
        if (primary != null && !stopped.contains(id) && !stopped.contains(primary)) {
            readLog(id, primary);
        }
        clock.schedule(() -> replicate(id), REPLICATION_INTERVAL);
    }

    private void readLog(InstanceId id, InstanceId primary) {
        ReplicationStatus standing = instances.get(id).status();
        LogMessages.Read read =
                new LogMessages.Read(
                        standing.promisedTerm().number(),
                        standing.lastPosition().term().number(),
                        standing.lastPosition().offset(),
                        instances.get(id).settings().replicationLagMillis());
        try {
            instances.get(id).applyBatch(read, instances.get(primary).readLog(read), millis());
        } catch (SQLException e) {
            throw new IllegalStateException("log entry could not be applied", e);
        }
    }

    private static InstanceSpec spec(String name, String domain, int port) {
        return new InstanceSpec(
                InstanceId.of(name), Address.of("127.0.0.1", port), FailureDomain.of(domain));
    }
}
