package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.LongPredicate;

/** Selects the waiting requests to reject under overload. */
final class LoadShedding {
    private LoadShedding() {}

    /**
     * Selects the requests that exceed the queue, the last ranked ones, and those that would miss
     * their deadlines behind the remaining ones.
     *
     * @param ranked the waiting requests in their order
     * @param limits the limits of the queue
     * @param rates the recent drain rates
     * @param nowNanos the current monotonic time in ns
     * @return the requests to reject, with the wait behind the remaining ones
     */
    static List<Rejection> select(
            List<WaitingRequest> ranked, Limits limits, DrainRates rates, long nowNanos) {
        requireNonNull(rates, "rates is null");
        List<WaitingRequest> kept = new ArrayList<>();
        List<Rejection> rejected = new ArrayList<>();
        for (WaitingRequest waiting : ranked) {
            ConnectionRequest request = waiting.request();
            Duration delay = request.needsPrimary() ? limits.primaryDelay() : Duration.ZERO;
            Duration wait = delay.plus(rates.expectedWait(request, kept));
            boolean isNext = kept.stream().noneMatch(w -> DrainRates.sharesRoom(w, request));
            if (request.needsPrimary()
                    && limits.primaryUnavailableUntil().test(request.deadlineNanos())) {
                rejected.add(new Rejection(waiting, Cause.NO_PRIMARY, wait));
            } else if (kept.size() >= limits.maxWaiting()) {
                rejected.add(new Rejection(waiting, Cause.QUEUE_FULL, wait));
            } else if (!isNext && waiting.missesDeadline(nowNanos, wait, limits.serviceTime())) {
                rejected.add(new Rejection(waiting, Cause.DEADLINE, wait));
            } else {
                kept.add(waiting);
            }
        }
        return rejected;
    }

    /**
     * The limits of a queue.
     *
     * @param maxWaiting how many requests may wait
     * @param serviceTime how long a statement takes once it has a connection
     * @param primaryDelay the time until a primary is expected, zero if there is one
     * @param primaryUnavailableUntil returns whether no primary is expected before a deadline
     */
    record Limits(
            int maxWaiting,
            Duration serviceTime,
            Duration primaryDelay,
            LongPredicate primaryUnavailableUntil) {}

    /**
     * A request to reject.
     *
     * @param waiting the request
     * @param cause why it is rejected
     * @param expectedWait how long the backlog ahead of it takes
     */
    record Rejection(WaitingRequest waiting, Cause cause, Duration expectedWait) {}

    /** Why a request is rejected. */
    enum Cause {
        /** The queue is full. */
        QUEUE_FULL,
        /** It would miss its deadline. */
        DEADLINE,
        /** No primary is expected before its deadline. */
        NO_PRIMARY;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
