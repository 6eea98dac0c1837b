package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/** The votes of all processes, as the store holds them. */
final class FailoverVotes {
    private final Map<ServiceName, Map<VmId, Vote>> votes = new HashMap<>();

    private FailoverVotes() {}

    static FailoverVotes empty() {
        return new FailoverVotes();
    }

    /**
     * Records the vote of a process.
     *
     * @param service the service
     * @param vm the VM of the process
     * @param vote the vote, or empty if the process has none
     */
    void record(ServiceName service, VmId vm, Optional<Vote> vote) {
        requireNonNull(vm, "vm is null");
        Map<VmId, Vote> serviceVotes = votes.computeIfAbsent(service, n -> new TreeMap<>());
        vote.ifPresentOrElse(v -> serviceVotes.put(vm, v), () -> serviceVotes.remove(vm));
    }

    /** Returns whether no process has a vote. */
    boolean isEmpty() {
        return votes.values().stream().allMatch(Map::isEmpty);
    }

    /** Returns how many members voted to replace a primary. */
    long count(ServiceName service, InstanceId primary, Set<VmId> members) {
        return of(service).entrySet().stream()
                .filter(e -> members.contains(e.getKey()))
                .filter(e -> e.getValue().primary().equals(primary))
                .count();
    }

    /**
     * Returns the newest commit that a member has acknowledged.
     *
     * @return the position, or empty if a member has not voted to replace the primary, or if a vote
     *     names no position
     */
    Optional<LogPosition> acknowledgedPosition(
            ServiceName service, InstanceId primary, Set<VmId> members) {
        Map<VmId, Vote> serviceVotes = of(service);
        boolean allPositionsKnown =
                serviceVotes.values().stream().allMatch(v -> v.acknowledgedPosition().isPresent());
        return haveAllVoted(service, primary, members) && allPositionsKnown
                ? serviceVotes.values().stream()
                        .map(v -> v.acknowledgedPosition().get())
                        .reduce(LogPosition::max)
                : Optional.empty();
    }

    /** Returns whether any process voted to replace a primary. */
    boolean contains(ServiceName service, InstanceId primary) {
        return of(service).values().stream().anyMatch(v -> v.primary().equals(primary));
    }

    /** Returns whether every member voted to replace a primary. */
    boolean haveAllVoted(ServiceName service, InstanceId primary, Set<VmId> members) {
        Map<VmId, Vote> serviceVotes = of(service);
        return members.stream()
                .map(serviceVotes::get)
                .allMatch(v -> v != null && v.primary().equals(primary));
    }

    /** Returns whether every member voted and awaits no response of the primary to a write. */
    boolean haveAllEndedWrites(ServiceName service, InstanceId primary, Set<VmId> members) {
        Map<VmId, Vote> serviceVotes = of(service);
        return haveAllVoted(service, primary, members)
                && members.stream().map(serviceVotes::get).allMatch(Vote::writesEnded);
    }

    /** Returns the votes as text. */
    String describe(ServiceName service) {
        return of(service).entrySet().stream()
                .map(e -> e.getKey() + ":" + e.getValue().format())
                .toList()
                .toString();
    }

    private Map<VmId, Vote> of(ServiceName service) {
        return votes.getOrDefault(service, Map.of());
    }
}
