package org.carobstage.testbed.local;

import java.util.HashSet;
import java.util.Set;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;

/** The faults of a group in this process. */
public final class LocalFaultInjector {
    private final Set<InstanceId> frozen = new HashSet<>();
    private final Set<InstanceId> setIsolatedFromGroup = new HashSet<>();
    private final Set<Link> severed = new HashSet<>();
    private int connectionEpoch;
    private int answersToLose;

    private LocalFaultInjector() {}

    /**
     * Creates faults of which none is set.
     *
     * @return the faults
     */
    public static LocalFaultInjector create() {
        return new LocalFaultInjector();
    }

    /**
     * Freezes an instance or lets it go on: it answers nobody and replicates nothing.
     *
     * @param instance the instance
     * @param on true to freeze
     */
    public void setFrozen(InstanceId instance, boolean on) {
        set(frozen, instance, on);
    }

    /**
     * Cuts an instance off from its group, while entry VMs still reach it.
     *
     * @param instance the instance
     * @param on true to cut
     */
    public void setIsolatedFromGroup(InstanceId instance, boolean on) {
        set(setIsolatedFromGroup, instance, on);
    }

    /**
     * Severs an entry VM from an instance.
     *
     * @param vm the entry VM
     * @param instance the instance
     * @param on true to sever
     */
    public void setPartitioned(VmId vm, InstanceId instance, boolean on) {
        set(severed, new Link(vm, instance), on);
    }

    /** Makes all connections open now go silent; connections opened later work. */
    public void stallOpenConnections() {
        connectionEpoch++;
    }

    /**
     * Loses the next answers to statements and commits after these took effect.
     *
     * @param count how many answers
     */
    public void dropNextResponses(int count) {
        answersToLose = count;
    }

    boolean tryConsumeResponseDrop() {
        if (answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    int connectionEpoch() {
        return connectionEpoch;
    }

    boolean isReachable(VmId vm, InstanceId instance) {
        return !frozen.contains(instance) && !severed.contains(new Link(vm, instance));
    }

    Set<InstanceId> nonReplicatingInstances() {
        Set<InstanceId> all = new HashSet<>(frozen);
        all.addAll(setIsolatedFromGroup);
        return all;
    }

    private static <T> void set(Set<T> faults, T item, boolean on) {
        if (on) {
            faults.add(item);
        } else {
            faults.remove(item);
        }
    }

    private record Link(VmId vm, InstanceId instance) {}
}
