package org.carobstage.upstream;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The drain rates of a queue that is ordered by priority: in total, and by priority, since a low
 * priority gets only what the higher ones leave.
 */
final class DrainRates {
    /**
     * Low priorities may be held back for some 100 ms between grants, which is no stall of theirs.
     */
    private static final Duration STALL = Duration.ofSeconds(1);

    private final Map<Boolean, DrainRate> totals = new HashMap<>();
    private final Map<Level, DrainRate> levels = new HashMap<>();

    private DrainRates() {}

    static DrainRates empty() {
        return new DrainRates();
    }

    /** Records that a request was granted while others still wait. */
    void recordGrant(ConnectionRequest granted, Collection<WaitingRequest> waiting, long nowNanos) {
        total(granted)
                .recordGrant(nowNanos, waiting.stream().anyMatch(w -> sharesRoom(w, granted)));
        level(granted).recordGrant(nowNanos, waiting.stream().anyMatch(w -> isPeer(w, granted)));
    }

    /** Estimates the wait of a request behind others, by the slower of both rates. */
    Duration expectedWait(ConnectionRequest request, Collection<WaitingRequest> ahead) {
        Duration byTotal =
                total(request)
                        .expectedWait(
                                (int) ahead.stream().filter(w -> sharesRoom(w, request)).count());
        Duration byLevel =
                level(request)
                        .expectedWait((int) ahead.stream().filter(w -> isPeer(w, request)).count());
        return byTotal.compareTo(byLevel) > 0 ? byTotal : byLevel;
    }

    /** Returns whether two requests compete for the same connections. */
    static boolean sharesRoom(WaitingRequest waiting, ConnectionRequest request) {
        return waiting.request().needsPrimary() == request.needsPrimary();
    }

    private static boolean isPeer(WaitingRequest waiting, ConnectionRequest request) {
        return sharesRoom(waiting, request)
                && waiting.request().origin().priority() == request.origin().priority();
    }

    private DrainRate total(ConnectionRequest request) {
        return totals.computeIfAbsent(request.needsPrimary(), p -> DrainRate.empty());
    }

    private DrainRate level(ConnectionRequest request) {
        Level level = new Level(request.needsPrimary(), request.origin().priority());
        return levels.computeIfAbsent(level, l -> DrainRate.withStall(STALL));
    }

    private record Level(boolean needsPrimary, int priority) {}
}
