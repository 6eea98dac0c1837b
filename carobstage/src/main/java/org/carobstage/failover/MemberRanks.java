package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/**
 * The rank of this process for each service, in an order of the members that is the same in every
 * process. Ranks are kept until the members change, since the order is asked for at every tick of
 * every service.
 */
final class MemberRanks {
    private static final int NOT_A_MEMBER = -1;

    private final VmId vm;
    private final Map<ServiceName, Integer> ranks = new HashMap<>();
    private Set<VmId> knownMembers = Set.of();
    private List<VmId> members = List.of();

    private MemberRanks(VmId vm) {
        this.vm = vm;
    }

    static MemberRanks of(VmId vm) {
        return new MemberRanks(requireNonNull(vm, "vm is null"));
    }

    /**
     * Sets the members.
     *
     * @param newer the processes of the fleet, iterated in the same order by every process
     * @return whether one of the former members is missing
     */
    boolean setMembers(Set<VmId> newer) {
        if (newer.equals(knownMembers)) {
            return false;
        }
        boolean left = !newer.containsAll(knownMembers);
        knownMembers = Set.copyOf(newer);
        members = List.copyOf(newer);
        ranks.clear();
        return left;
    }

    /** Returns how many members precede this process; -1 if it is not a member. */
    int rank(ServiceName service) {
        return ranks.computeIfAbsent(service, this::count);
    }

    boolean isFirst(ServiceName service) {
        return rank(service) == 0;
    }

    private int count(ServiceName service) {
        int index = members.indexOf(vm);
        if (index < 0) {
            return NOT_A_MEMBER;
        }
        int own = weight(service, vm);
        return (int)
                members.stream()
                        .filter(
                                other -> {
                                    int weight = weight(service, other);
                                    return weight < own
                                            || weight == own && members.indexOf(other) < index;
                                })
                        .count();
    }

    private static int weight(ServiceName service, VmId member) {
        return (service + "/" + member).hashCode();
    }
}
