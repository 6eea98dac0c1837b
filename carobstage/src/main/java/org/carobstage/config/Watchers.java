package org.carobstage.config;

import java.util.Collection;
import java.util.Comparator;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.carobstage.ownership.Rendezvous;

/** Which members watch the platform on behalf of their region. */
final class Watchers {
    private static final int PER_REGION = 2;
    private static final long SUBJECT = Rendezvous.hash("configuration-watch");

    private Watchers() {}

    static boolean isWatcher(Member self, Collection<Member> members) {
        return members.stream()
                .filter(m -> m.region().equals(self.region()))
                .filter(m -> m.state() == MemberState.ALIVE)
                .map(Member::vm)
                .sorted(Comparator.comparingLong((VmId vm) -> Rendezvous.weight(SUBJECT, vm)))
                .limit(PER_REGION)
                .anyMatch(self.vm()::equals);
    }
}
