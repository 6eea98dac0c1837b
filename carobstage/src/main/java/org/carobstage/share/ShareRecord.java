package org.carobstage.share;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.carobstage.model.VmId;
import org.carobstage.pool.Share;

/**
 * The parts of a group's limits that processes hold, as the key-value service keeps them. Each
 * process changes only its own part, and removes those of the dead.
 *
 * @param parts the parts
 * @param revoked parts of dead processes that nobody may use yet: their holder, should it live,
 *     first has to learn of it
 */
public record ShareRecord(Map<VmId, Share> parts, Map<VmId, Share> revoked) {
    /** The part of a process that holds nothing. */
    public static final Share NONE = new Share(0, 0);

    private static final ShareRecord EMPTY = new ShareRecord(Map.of(), Map.of());

    /** Checks the record. */
    public ShareRecord {
        parts = Map.copyOf(requireNonNull(parts, "parts is null"));
        revoked = Map.copyOf(requireNonNull(revoked, "revoked is null"));
    }

    /**
     * Returns a record without parts.
     *
     * @return the record
     */
    public static ShareRecord empty() {
        return EMPTY;
    }

    /**
     * Returns the part of a process.
     *
     * @param vm its VM
     * @return the part
     */
    public Share part(VmId vm) {
        return parts.getOrDefault(vm, NONE);
    }

    /**
     * Returns the sum of all parts.
     *
     * @return the sum
     */
    public Share sum() {
        return Stream.concat(parts.values().stream(), revoked.values().stream())
                .reduce(NONE, ShareRecord::plus);
    }

    /**
     * Decides what a process should store: a part it no longer uses is given up, a larger one is
     * taken only from what nobody holds, so that the sum stays within the limit.
     *
     * @param self the process
     * @param limit the limit of an instance
     * @param target the part that the process should hold
     * @param used what the process uses now
     * @param gone the processes whose parts are revoked because they are dead for long
     * @param expired the processes whose parts have been revoked for so long that they are free
     * @return the new record, or empty if nothing is to change
     */
    public Optional<ShareRecord> next(
            VmId self,
            Share limit,
            Share target,
            Share used,
            Collection<VmId> gone,
            Collection<VmId> expired) {
        Map<VmId, Share> next = new TreeMap<>(parts);
        Map<VmId, Share> nextRevoked = new TreeMap<>(revoked);
        nextRevoked.keySet().removeAll(Set.copyOf(expired));
        gone.stream()
                .filter(vm -> next.containsKey(vm) && !nextRevoked.containsKey(vm))
                .forEach(vm -> nextRevoked.put(vm, next.remove(vm)));
        Share own = part(self);
        next.remove(self);
        Share others = new ShareRecord(next, nextRevoked).sum();
        int slots =
                moved(own.slots(), target.slots(), used.slots(), limit.slots() - others.slots());
        int connections =
                moved(
                        own.connections(),
                        target.connections(),
                        used.connections(),
                        limit.connections() - others.connections());
        if (slots > 0 || connections > 0) {
            next.put(self, new Share(slots, connections));
        }
        ShareRecord record = new ShareRecord(next, nextRevoked);
        return record.equals(this) ? Optional.empty() : Optional.of(record);
    }

    private static Share plus(Share one, Share other) {
        return new Share(one.slots() + other.slots(), one.connections() + other.connections());
    }

    private static int moved(int own, int target, int used, int room) {
        if (own > target) {
            return Math.max(target, Math.min(own, used));
        }
        return Math.max(own, Math.min(target, room));
    }
}
