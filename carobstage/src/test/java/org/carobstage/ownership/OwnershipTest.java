package org.carobstage.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OwnershipTest {
    private static final int GROUPS = 3_100;
    private static final int MEMBERS = 1_300;
    private static final int OWNERS = 4;
    private static final int SLOTS = 8;

    @Nested
    class Owners {
        @Test
        void shouldBeAllWhenTheFleetIsSmall() {
            Ownership ownership = Ownership.of(members(5), OWNERS);

            assertThat(ownership.owners(GroupId.of("g"), SLOTS)).hasSize(5);
        }

        @Test
        void shouldBeNoMoreThanSlotsWhenSlotsAreScarce() {
            Ownership ownership = Ownership.of(members(5), OWNERS);

            assertThat(ownership.owners(GroupId.of("g"), 3)).hasSize(3);
        }

        @Test
        void shouldBeInDifferentFailureDomainsWhenThereAreEnough() {
            Ownership ownership = Ownership.of(members(MEMBERS), OWNERS);

            for (int i = 0; i < 100; i++) {
                assertThat(ownership.owners(group(i), SLOTS))
                        .extracting(Member::domain)
                        .doesNotHaveDuplicates()
                        .hasSize(OWNERS);
            }
        }

        @Test
        void shouldLoadMembersAlikeWhenTheFleetIsLarge() {
            Map<VmId, Integer> load = new HashMap<>();
            Ownership ownership = Ownership.of(members(MEMBERS), OWNERS);
            for (int i = 0; i < GROUPS; i++) {
                ownership.owners(group(i), SLOTS).forEach(m -> load.merge(m.vm(), 1, Integer::sum));
            }

            double mean = (double) GROUPS * OWNERS / MEMBERS;
            assertThat(load.values()).allMatch(l -> l < 3 * mean);
        }

        @Test
        void shouldMoveOnlyItsOwnGroupsWhenMemberDies() {
            List<Member> all = members(MEMBERS);
            List<Member> left = new ArrayList<>(all);
            Member dead = left.remove(17);
            Ownership before = Ownership.of(all, OWNERS);
            Ownership after = Ownership.of(left, OWNERS);
            for (int i = 0; i < GROUPS; i++) {
                Set<VmId> was = owners(before, i);
                Set<VmId> is = owners(after, i);
                boolean owned = was.remove(dead.vm());
                assertThat(is).containsAll(was);
                assertThat(is.size() - was.size()).isEqualTo(owned ? 1 : 0);
            }
        }

        @Test
        void shouldLeaveOutMembersThatStopWhenTheyLeave() {
            List<Member> all = new ArrayList<>(members(5));
            all.set(0, all.get(0).as(MemberState.LEAVING));

            Ownership ownership = Ownership.of(all, OWNERS);

            assertThat(ownership.owners(GroupId.of("g"), SLOTS)).hasSize(4);
        }
    }

    private static Set<VmId> owners(Ownership ownership, int group) {
        return ownership.owners(group(group), SLOTS).stream()
                .map(Member::vm)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static GroupId group(int number) {
        return GroupId.of("group-" + number);
    }

    private static List<Member> members(int count) {
        return IntStream.range(0, count).mapToObj(OwnershipTest::member).toList();
    }

    private static Member member(int i) {
        Address address = Address.of("10.0.0.1", i);
        return new Member(
                VmId.of("vm-" + i),
                1,
                address,
                address,
                FailureDomain.of("domain-" + i % 8),
                "region-" + i % 8 % 3,
                MemberState.ALIVE);
    }
}
