package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The status of a process as JSON; it never contains a secret.
 *
 * @param vm the id of the entry VM
 * @param domain the failure domain of the entry VM
 * @param version the version of the program
 * @param ready whether the load balancer may send callers to this process
 * @param groups the groups that this process serves
 * @param members the entry VMs in the member list of this process
 */
public record StatusMessage(
        String vm,
        String domain,
        String version,
        boolean ready,
        List<GroupStatus> groups,
        List<MemberStatus> members) {
    /** Rejects a null VM identifier and copies the collections. */
    public StatusMessage {
        requireNonNull(vm, "vm is null");
        groups = List.copyOf(groups);
        members = List.copyOf(members);
    }

    /**
     * The status of a group.
     *
     * @param group the id of the group
     * @param term the highest known term
     * @param primary the name of the primary, empty if unknown
     * @param instances the status of its instances
     */
    public record GroupStatus(
            String group, long term, String primary, List<InstanceStatus> instances) {}

    /**
     * The status of an instance.
     *
     * @param instance the name of the instance
     * @param promised the highest term that the instance has promised, negative if unknown
     * @param offset the offset of its last log entry, negative if unknown
     * @param lagMillis its replication lag in ms, negative if unknown
     * @param slots this process's share of the instance's slots
     * @param connections this process's share of the instance's connections
     * @param load the number of statements of this process that are running or waiting
     */
    public record InstanceStatus(
            String instance,
            long promised,
            long offset,
            long lagMillis,
            int slots,
            int connections,
            long load) {}

    /**
     * The status of an entry VM.
     *
     * @param vm the id of the entry VM
     * @param domain its failure domain
     * @param state its membership state as this process sees it
     */
    public record MemberStatus(String vm, String domain, String state) {}
}
