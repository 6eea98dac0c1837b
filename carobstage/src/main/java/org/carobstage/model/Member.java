package org.carobstage.model;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * A process of the fleet as one of its peers knows it.
 *
 * @param vm its VM
 * @param incarnation the start time of the process in ms, raised by it to refute a suspicion
 * @param peer where peers reach it
 * @param operator where operators reach it
 * @param domain its failure domain
 * @param region the region of the failure domain
 * @param state what is known of it
 */
public record Member(
        VmId vm,
        long incarnation,
        Address peer,
        Address operator,
        FailureDomain domain,
        String region,
        MemberState state) {
    private static final Comparator<Member> ORDER =
            Comparator.comparingLong(Member::incarnation).thenComparing(Member::state);

    /** Checks the member. */
    public Member {
        requireNonNull(vm, "vm is null");
        requireNonNull(peer, "peer is null");
        requireNonNull(operator, "operator is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(region, "region is null");
        requireNonNull(state, "state is null");
    }

    /**
     * Returns this member in another state.
     *
     * @param next the state
     * @return the member with the same incarnation
     */
    public Member as(MemberState next) {
        return new Member(vm, incarnation, peer, operator, domain, region, next);
    }

    /**
     * Returns this member with another incarnation.
     *
     * @param next the incarnation
     * @return the member in the same state
     */
    public Member at(long next) {
        return new Member(vm, next, peer, operator, domain, region, state);
    }

    /**
     * Tells whether this report of a member replaces another one.
     *
     * @param other another report of the same member
     * @return true if this one is newer
     */
    public boolean replaces(Member other) {
        return ORDER.compare(this, other) > 0;
    }
}
