package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.VmId;

/**
 * The value of a failover lease's key. The store gives out lease ids again after it was restored
 * from a copy, so that a key that is written late may be bound to the lease of another process,
 * which never ends. The value tells such a key from one whose holder exists.
 *
 * @param vm the VM of the holder
 * @param run tells the holder from other processes on its VM
 * @param era the era in which the store granted the lease
 */
record LeaseHolder(VmId vm, String run, long era) {
    LeaseHolder {
        requireNonNull(vm, "vm is null");
        requireNonNull(run, "run is null");
    }

    /** Reads a value; empty if it is unreadable or names only the VM, as earlier builds wrote. */
    static Optional<LeaseHolder> parse(String text) {
        String[] parts = text.split(" ");
        try {
            return parts.length == 3
                    ? Optional.of(
                            new LeaseHolder(VmId.of(parts[0]), parts[1], Long.parseLong(parts[2])))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    String format() {
        return vm + " " + run + " " + era;
    }

    /** Returns whether both values name the same run of the same process. */
    boolean isSameRun(LeaseHolder other) {
        return vm.equals(other.vm) && run.equals(other.run);
    }
}
