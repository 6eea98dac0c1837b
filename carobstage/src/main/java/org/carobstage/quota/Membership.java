package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.VmId;

/**
 * The processes among which a limit is divided. A process that can't reach the store is no longer
 * registered but may still use its equal share, so it counts for longer than it may do that.
 */
final class Membership {
    /** How long a process uses its share after its registration was last confirmed. */
    static final Duration SHARE_AFTER_REGISTRATION = Duration.ofSeconds(15);

    /** Longer by a second, as the clocks of two processes may run differently. */
    static final Duration RETENTION = SHARE_AFTER_REGISTRATION.plusSeconds(1);

    private final Map<VmId, Long> leftAtNanos = new HashMap<>();
    private Set<VmId> registered = Set.of();
    private Set<VmId> members = Set.of();
    private Optional<ClockReading> confirmed = Optional.empty();

    private Membership() {}

    static Membership empty() {
        return new Membership();
    }

    void onMembers(Set<VmId> now, ClockReading at) {
        requireNonNull(now, "now is null");
        registered.stream()
                .filter(vm -> !now.contains(vm))
                .forEach(vm -> leftAtNanos.put(vm, at.monotonicNanos()));
        leftAtNanos.keySet().removeAll(now);
        registered = Set.copyOf(now);
        update();
    }

    void onRegistered(ClockReading requestedAt) {
        confirmed = Optional.of(requestedAt);
    }

    void onReplaced() {
        confirmed = Optional.empty();
    }

    boolean isConfirmed(ClockReading now) {
        return confirmed
                .filter(at -> at.age(now).compareTo(SHARE_AFTER_REGISTRATION) < 0)
                .isPresent();
    }

    /** Returns the registered members and those that have left within the retention period. */
    Set<VmId> members(ClockReading now) {
        if (leftAtNanos.values().removeIf(at -> now.monotonicNanos() - at >= RETENTION.toNanos())) {
            update();
        }
        return members;
    }

    private void update() {
        Set<VmId> all = new HashSet<>(registered);
        all.addAll(leftAtNanos.keySet());
        members = all.stream().collect(Collectors.toUnmodifiableSet());
    }
}
