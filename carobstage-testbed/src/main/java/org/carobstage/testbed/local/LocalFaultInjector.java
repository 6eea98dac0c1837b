package org.carobstage.testbed.local;

import java.util.HashSet;
import java.util.Set;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;

/** Injects faults into an in-process group. */
public final class LocalFaultInjector {
    private final Set<InstanceId> frozenInstances = new HashSet<>();
    private final Set<InstanceId> isolatedInstances = new HashSet<>();
    private final Set<Link> partitionedLinks = new HashSet<>();
    private int connectionEpoch;
    private int responsesToDrop;

    private LocalFaultInjector() {}

    /**
     * Creates an injector without active faults.
     *
     * @return the injector
     */
    public static LocalFaultInjector create() {
        return new LocalFaultInjector();
    }

    /**
     * Freezes or unfreezes an instance. A frozen instance sends no response and replicates nothing.
     *
     * @param instance the instance
     * @param enabled true to freeze the instance, false to unfreeze it
     */
    public void setFrozen(InstanceId instance, boolean enabled) {
        set(frozenInstances, instance, enabled);
    }

    /**
     * Isolates an instance from its group or reconnects it. Entry VMs still reach an isolated
     * instance.
     *
     * @param instance the instance
     * @param enabled true to isolate the instance, false to reconnect it
     */
    public void setIsolatedFromGroup(InstanceId instance, boolean enabled) {
        set(isolatedInstances, instance, enabled);
    }

    /**
     * Interrupts or restores the network between an entry VM and an instance.
     *
     * @param vm the entry VM
     * @param instance the instance
     * @param enabled true to interrupt the network, false to restore it
     */
    public void setPartitioned(VmId vm, InstanceId instance, boolean enabled) {
        set(partitionedLinks, new Link(vm, instance), enabled);
    }

    /** Stops all responses on the connections open now; connections opened later work. */
    public void stallOpenConnections() {
        connectionEpoch++;
    }

    /**
     * Drops the responses to the next statements and commits, which are still executed.
     *
     * @param count the number of responses to drop
     */
    public void dropNextResponses(int count) {
        responsesToDrop = count;
    }

    boolean tryConsumeResponseDrop() {
        if (responsesToDrop == 0) {
            return false;
        }
        responsesToDrop--;
        return true;
    }

    int connectionEpoch() {
        return connectionEpoch;
    }

    boolean isReachable(VmId vm, InstanceId instance) {
        return !frozenInstances.contains(instance)
                && !partitionedLinks.contains(new Link(vm, instance));
    }

    Set<InstanceId> nonReplicatingInstances() {
        Set<InstanceId> instances = new HashSet<>(frozenInstances);
        instances.addAll(isolatedInstances);
        return instances;
    }

    private static <T> void set(Set<T> items, T item, boolean enabled) {
        if (enabled) {
            items.add(item);
        } else {
            items.remove(item);
        }
    }

    private record Link(VmId vm, InstanceId instance) {}
}
