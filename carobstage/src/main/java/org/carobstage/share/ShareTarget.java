package org.carobstage.share;

import java.util.List;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.Member;
import org.carobstage.model.VmId;
import org.carobstage.ownership.Ownership;
import org.carobstage.pool.Share;

/** The part that each owner of a group should hold. */
public final class ShareTarget {
    private ShareTarget() {}

    /**
     * Divides the limits of an instance over the owners of its group.
     *
     * @param ownership who owns what
     * @param spec the group
     * @param vm the process
     * @return its part, without slots if it owns nothing
     */
    public static Share of(Ownership ownership, GroupSpec spec, VmId vm) {
        List<VmId> owners =
                ownership.owners(spec.id(), spec.slots()).stream().map(Member::vm).toList();
        int place = owners.indexOf(vm);
        if (place < 0) {
            return ShareRecord.NONE;
        }
        int count = owners.size();
        return new Share(
                divide(spec.slots(), count, place), divide(spec.connections(), count, place));
    }

    private static int divide(int whole, int count, int place) {
        return whole / count + (place < whole % count ? 1 : 0);
    }
}
