package org.carobstage.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobstage.model.Member;
import org.carobstage.model.VmId;

/** Reports of members that are still to be sent on, the least often sent ones first. */
final class News {
    private final Map<VmId, Item> items = new HashMap<>();

    void add(Member member) {
        items.put(member.vm(), new Item(member, 0));
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    List<Member> take(int members) {
        List<Item> chosen =
                items.values().stream()
                        .sorted(
                                Comparator.comparingInt(Item::sent)
                                        .thenComparing(i -> i.member().vm()))
                        .limit(MembershipTimes.MAX_UPDATES)
                        .toList();
        int limit = MembershipTimes.transmissions(members);
        List<Member> taken = new ArrayList<>();
        for (Item item : chosen) {
            taken.add(item.member());
            VmId vm = item.member().vm();
            if (item.sent() + 1 >= limit) {
                items.remove(vm);
            } else {
                items.put(vm, new Item(item.member(), item.sent() + 1));
            }
        }
        return taken;
    }

    private record Item(Member member, int sent) {}
}
