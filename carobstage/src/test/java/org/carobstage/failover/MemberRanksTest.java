package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Test;

class MemberRanksTest {
    private static final ServiceName SERVICE = ServiceName.of("varas-1");

    // Two processes of the same rank would compete for the lease, and without a first one nobody
    // would query paused replicas.
    @Test
    void shouldGiveEachOf34MembersItsOwnRank() {
        Set<VmId> members = members(34);

        Set<Integer> ranks =
                members.stream()
                        .map(vm -> ranks(vm, members).rank(SERVICE))
                        .collect(Collectors.toSet());

        assertThat(ranks).hasSize(34).contains(0, 33);
    }

    // During an upgrade, processes of earlier builds sort the members by this hash.
    @Test
    void shouldRankAsEarlierBuildsDo() {
        Set<VmId> members = members(34);
        List<VmId> sorted = new ArrayList<>(members);
        sorted.sort(
                (a, b) ->
                        Integer.compare(
                                (SERVICE + "/" + a).hashCode(), (SERVICE + "/" + b).hashCode()));

        assertThat(members)
                .allSatisfy(
                        vm ->
                                assertThat(ranks(vm, members).rank(SERVICE))
                                        .isEqualTo(sorted.indexOf(vm)));
    }

    // A rank that is kept after a member has left lets nobody be the first.
    @Test
    void shouldRankAgainWhenMemberLeaves() {
        Set<VmId> members = members(3);
        VmId last =
                members.stream()
                        .filter(vm -> ranks(vm, members).rank(SERVICE) == 2)
                        .findFirst()
                        .orElseThrow();
        MemberRanks ranks = ranks(last, members);
        assertThat(ranks.rank(SERVICE)).isEqualTo(2);

        boolean left = ranks.setMembers(Set.of(last));

        assertThat(left).isTrue();
        assertThat(ranks.isFirst(SERVICE)).isTrue();
    }

    @Test
    void shouldHaveNoRankWhenNotMember() {
        assertThat(ranks(VmId.of("other"), members(3)).rank(SERVICE)).isEqualTo(-1);
    }

    private static MemberRanks ranks(VmId vm, Set<VmId> members) {
        MemberRanks ranks = MemberRanks.of(vm);
        ranks.setMembers(members);
        return ranks;
    }

    private static Set<VmId> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> VmId.of("vm-" + i))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
