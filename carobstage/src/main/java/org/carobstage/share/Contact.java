package org.carobstage.share;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;

/** Whether this process is with the larger part of the fleet, and who is dead for long. */
final class Contact {
    private static final long REVOKE_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long LOST_NANOS = Duration.ofSeconds(7).toNanos();

    private final Map<VmId, Long> deadSince = new HashMap<>();
    private final Set<VmId> left = new HashSet<>();
    private boolean majority;
    private boolean half;
    private long majorityAt;

    Contact(long now) {
        majorityAt = now - LOST_NANOS;
    }

    /** Takes the members in; returns true if the parts have to be read again before their use. */
    boolean update(List<Member> members, long now) {
        Set<VmId> known = new HashSet<>();
        long live = 0;
        for (Member member : members) {
            known.add(member.vm());
            note(member, now);
            live += member.state().isLive() ? 1 : 0;
        }
        deadSince.keySet().retainAll(known);
        left.retainAll(known);
        long lost = deadSince.keySet().stream().filter(vm -> !left.contains(vm)).count();
        majority = live > lost;
        half = live >= lost;
        boolean again = majority && now - majorityAt >= LOST_NANOS;
        if (majority) {
            majorityAt = now;
        }
        return again;
    }

    /** Tells whether the larger part of the fleet answered at the last update, not long ago. */
    boolean holds(long now) {
        return majority && now - majorityAt < LOST_NANOS;
    }

    /** Tells whether at least half of the fleet answered at the last update. */
    boolean half() {
        return half;
    }

    /**
     * Returns the processes whose parts may be revoked. Half of the fleet suffices: the other half
     * then has no majority and uses only what it reads from the record.
     */
    Set<VmId> gone(long now) {
        Set<VmId> gone = new HashSet<>();
        if (half) {
            deadSince.forEach(
                    (vm, since) -> {
                        if (now - since >= REVOKE_NANOS) {
                            gone.add(vm);
                        }
                    });
        }
        return gone;
    }

    private void note(Member member, long now) {
        if (member.state() == MemberState.LEAVING) {
            left.add(member.vm());
        } else if (member.state() == MemberState.ALIVE) {
            left.remove(member.vm());
        }
        if (member.state().isLive()) {
            deadSince.remove(member.vm());
        } else {
            deadSince.putIfAbsent(member.vm(), now);
        }
    }
}
