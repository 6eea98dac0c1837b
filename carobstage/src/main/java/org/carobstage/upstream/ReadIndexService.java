package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PositionQuorum;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.runtime.Clock;

/**
 * Finds positions that cover every acknowledged commit by querying the status of a quorum of
 * instances. One round of queries is in flight at a time and serves all reads that waited when it
 * started. If an instance does not respond, the round also queries the remaining ones.
 */
final class ReadIndexService {
    /** Covers a round trip between failure domains and the wait for a slot of a busy instance. */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(80);

    /** The time after which a round ends without a quorum. */
    private static final Duration ROUND_TIMEOUT = Duration.ofMillis(300);

    /** The delay before the next round if the instances were too busy to respond. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final Clock clock;
    private final PositionQuorum quorum;
    private final Instances instances;
    private final ReadIndexQueue reads = ReadIndexQueue.empty();
    private Optional<Round> currentRound = Optional.empty();
    private boolean needsPrimaryQuery;

    ReadIndexService(Clock clock, PositionQuorum quorum, Instances instances) {
        this.clock = requireNonNull(clock, "clock is null");
        this.quorum = requireNonNull(quorum, "quorum is null");
        this.instances = requireNonNull(instances, "instances is null");
    }

    /**
     * Requests a position that covers all commits acknowledged before a time.
     *
     * @param since the time
     * @param deadlineNanos the monotonic time in ns after which the call may end without a callback
     * @param primaryQueried whether the caller queries the primary itself
     * @param onPosition receives the position
     * @param onRejected receives the reason if too few instances are reachable
     */
    void request(
            ClockReading since,
            long deadlineNanos,
            boolean primaryQueried,
            Consumer<ObservedPosition> onPosition,
            Consumer<String> onRejected) {
        reads.add(since, deadlineNanos, onPosition, onRejected);
        if (!primaryQueried) {
            needsPrimaryQuery = true;
            currentRound.ifPresent(r -> instances.primary().ifPresent(r::query));
        }
        completeReads();
    }

    /** Starts a round, unless one is in flight, to keep the known positions recent. */
    void refresh() {
        if (currentRound.isEmpty() && findObstacle(instances.byPreference().size()).isEmpty()) {
            needsPrimaryQuery = true;
            startRound();
        }
    }

    /** Completes the reads that the reported positions cover, and continues with the others. */
    void completeReads() {
        Optional<ObservedPosition> newest = quorum.newest();
        reads.completeReady(newest, clock.nanoTime());
        currentRound.filter(r -> r.isCoveredBy(newest)).ifPresent(this::endRound);
        if (currentRound.isEmpty() && reads.hasWaiting()) {
            startRound();
        }
    }

    private void startRound() {
        List<InstanceId> targets = instances.byPreference();
        Optional<String> obstacle = findObstacle(targets.size());
        if (obstacle.isPresent()) {
            rejectAll(obstacle.get());
            return;
        }
        Round round = new Round(targets);
        currentRound = Optional.of(round);
        clock.schedule(() -> queryRemaining(round), HEDGE_DELAY);
        clock.schedule(() -> restart(round), ROUND_TIMEOUT);
        Optional<InstanceId> skipped = instances.primary().filter(id -> !needsPrimaryQuery);
        needsPrimaryQuery = false;
        targets.stream()
                .limit(requiredReports())
                .filter(id -> !skipped.equals(Optional.of(id)))
                .forEach(round::query);
    }

    /** Returns what prevents that a position is confirmed by the instances that respond. */
    private Optional<String> findObstacle(int respondingCount) {
        if (instances.primary().isEmpty() && !quorum.isRegistryCurrent()) {
            return Optional.of("no primary responds, and an instance may have joined unseen");
        }
        return Optional.of(requiredReports())
                .filter(required -> respondingCount < required)
                .map(
                        required ->
                                "only "
                                        + respondingCount
                                        + " instances respond, "
                                        + required
                                        + " have to confirm the position");
    }

    private void rejectAll(String reason) {
        reads.failAll(
                reason
                        + ", retry after "
                        + PrimaryRecoveryEstimate.PROMOTION_TIME.toMillis()
                        + " ms");
    }

    private int requiredReports() {
        if (instances.primary().isEmpty()) {
            return quorum.sizeWithoutPrimary();
        }
        return quorum.isPrimarySufficient() ? 1 : quorum.sizeWithPrimary();
    }

    private void queryRemaining(Round round) {
        if (isCurrent(round)) {
            round.queryRemaining();
        }
    }

    private void restart(Round round) {
        if (isCurrent(round)) {
            endRound(round);
            needsPrimaryQuery = true;
            completeReads();
        }
    }

    private void endRound(Round round) {
        currentRound = Optional.empty();
        round.cancelQueries();
    }

    private boolean isCurrent(Round round) {
        return currentRound.filter(r -> r == round).isPresent();
    }

    /** The instances of the group. */
    interface Instances {
        /**
         * Returns the primary.
         *
         * @return the primary, if it is known and responds
         */
        Optional<InstanceId> primary();

        /**
         * Returns the instances that respond.
         *
         * @return the instances, the primary first
         */
        List<InstanceId> byPreference();

        /**
         * Queries the status of an instance; its report goes to the quorum before the callback.
         *
         * @param instance the instance
         * @param deadlineNanos the monotonic time in ns at which the query is no longer needed
         * @param onEnded called once when the instance has responded or was not queried
         * @return cancels the query if it was not sent yet
         */
        Runnable queryStatus(InstanceId instance, long deadlineNanos, Runnable onEnded);
    }

    /** Queries to a quorum of instances, which started at the same time. */
    private final class Round {
        private final long startNanos = clock.nanoTime();
        private final List<InstanceId> targets;
        private final Set<InstanceId> queried = new HashSet<>();
        private final List<Runnable> cancellations = new ArrayList<>();
        private int pending;

        private Round(List<InstanceId> targets) {
            this.targets = targets;
        }

        private boolean isCoveredBy(Optional<ObservedPosition> newest) {
            return newest.filter(p -> p.requestedAt().monotonicNanos() - startNanos >= 0)
                    .isPresent();
        }

        private void query(InstanceId instance) {
            if (!queried.add(instance)) {
                return;
            }
            pending++;
            cancellations.add(
                    instances.queryStatus(
                            instance,
                            startNanos + ROUND_TIMEOUT.toNanos(),
                            () -> onEnded(instance)));
        }

        private void queryRemaining() {
            targets.forEach(this::query);
        }

        /** Queries another instance in place of one that did not report its position. */
        private void onEnded(InstanceId instance) {
            pending--;
            completeReads();
            if (isCurrent(this) && !hasReported(instance)) {
                queryRemaining();
            }
            if (isCurrent(this) && pending == 0 && queried.size() == targets.size()) {
                onAllEnded();
            }
        }

        /** Replicas catch up with a primary, so without one, further reports confirm no more. */
        private void onAllEnded() {
            if (instances.primary().isEmpty() && targets.stream().allMatch(this::hasReported)) {
                endRound(this);
                rejectAll("the reports of " + targets.size() + " replicas confirm no position");
            } else {
                clock.schedule(() -> restart(this), RETRY_DELAY);
            }
        }

        private boolean hasReported(InstanceId instance) {
            return quorum.requestedAt(instance)
                    .filter(r -> r.monotonicNanos() - startNanos >= 0)
                    .isPresent();
        }

        private void cancelQueries() {
            cancellations.forEach(Runnable::run);
        }
    }
}
