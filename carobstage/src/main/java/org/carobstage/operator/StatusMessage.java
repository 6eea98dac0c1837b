package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The state of a process in JSON; it never holds a secret.
 *
 * @param vm the VM
 * @param domain the failure domain
 * @param version the version of the program
 * @param ready true if callers may be sent here
 * @param groups the groups that are served here
 * @param members the entry VMs that are known here
 */
public record StatusMessage(
        String vm,
        String domain,
        String version,
        boolean ready,
        List<GroupStatus> groups,
        List<MemberStatus> members) {
    /** Checks the status. */
    public StatusMessage {
        requireNonNull(vm, "vm is null");
        groups = List.copyOf(groups);
        members = List.copyOf(members);
    }

    /**
     * A group.
     *
     * @param group its id
     * @param term the highest term known
     * @param primary the primary's name, empty if none is known
     * @param instances its instances
     */
    public record GroupStatus(
            String group, long term, String primary, List<InstanceStatus> instances) {}

    /**
     * An instance.
     *
     * @param instance its name
     * @param promised the term that it has promised
     * @param offset the offset of its last log entry
     * @param lagMillis its staleness in ms, negative if unknown
     * @param slots this process's share of its slots
     * @param connections this process's share of its connections
     * @param load the statements from here that run or wait
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
     * An entry VM.
     *
     * @param vm its id
     * @param domain its failure domain
     * @param state whether it is taken to be alive
     */
    public record MemberStatus(String vm, String domain, String state) {}
}
