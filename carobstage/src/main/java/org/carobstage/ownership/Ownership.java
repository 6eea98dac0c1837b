package org.carobstage.ownership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;

/**
 * Which live members serve a group, worked out alike by all processes with the same view.
 *
 * @param members the members that may take work, ordered by VM
 * @param owners how many members own a group in a large fleet
 */
public record Ownership(List<Member> members, int owners) {
    /** Up to this many members all own all groups. */
    public static final int ALL_OWN = 5;

    /** Checks the ownership. */
    public Ownership {
        members = List.copyOf(members);
        if (owners < 1) {
            throw new IllegalArgumentException("owners is not positive: " + owners);
        }
    }

    /**
     * Creates the ownership of a view; members that leave or are dead own nothing.
     *
     * @param view the members as membership knows them
     * @param owners how many members own a group in a large fleet
     * @return the ownership
     */
    public static Ownership of(Collection<Member> view, int owners) {
        List<Member> members =
                view.stream()
                        .filter(m -> takesWork(m.state()))
                        .sorted(Comparator.comparing(Member::vm))
                        .toList();
        return new Ownership(members, owners);
    }

    /**
     * Ranks all members for a group: for owners and for proposals of a new primary.
     *
     * @param group the group
     * @return the members, the first ones in different failure domains as far as there are any
     */
    public List<VmId> rank(GroupId group) {
        return spread(byWeight(group), members.size()).stream().map(Member::vm).toList();
    }

    /**
     * Returns the owners of a group.
     *
     * @param group the group
     * @param slots how many slots an instance of the group has; there are no more owners than that
     * @return the owners, the first in rank first
     */
    public List<Member> owners(GroupId group, int slots) {
        requireNonNull(group, "group is null");
        int base = members.size() <= ALL_OWN ? members.size() : owners;
        int count = Math.min(Math.max(1, slots), Math.min(base, members.size()));
        return spread(byWeight(group), count);
    }

    /**
     * Tells whether a member owns a group.
     *
     * @param vm the member
     * @param group the group
     * @param slots how many slots an instance of the group has
     * @return true if it is an owner
     */
    public boolean owns(VmId vm, GroupId group, int slots) {
        return owners(group, slots).stream().anyMatch(m -> m.vm().equals(vm));
    }

    private List<Member> byWeight(GroupId group) {
        long subject = Rendezvous.hash(group.value());
        return members.stream()
                .map(m -> new Weighed(m, Rendezvous.weight(subject, m.vm())))
                .sorted(Comparator.comparingLong(Weighed::weight))
                .map(Weighed::member)
                .toList();
    }

    /** Takes members by weight, each time from the failure domains least taken so far. */
    private static List<Member> spread(List<Member> byWeight, int count) {
        Map<FailureDomain, Integer> taken = new HashMap<>();
        List<Ranked> ranked = new ArrayList<>();
        for (Member member : byWeight) {
            int round = taken.merge(member.domain(), 1, Integer::sum);
            ranked.add(new Ranked(member, round));
        }
        return ranked.stream()
                .sorted(Comparator.comparingInt(Ranked::round))
                .limit(count)
                .map(Ranked::member)
                .toList();
    }

    private static boolean takesWork(MemberState state) {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    private record Weighed(Member member, long weight) {}

    private record Ranked(Member member, int round) {}
}
