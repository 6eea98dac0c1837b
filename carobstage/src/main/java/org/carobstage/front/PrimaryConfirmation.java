package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.upstream.ServiceGroup;

/**
 * Confirms that the instance at which a transaction begins has every commit that the transaction
 * must see. An instance that was replaced as primary and does not know it begins transactions too,
 * but a quorum reports a position of a later term.
 */
final class PrimaryConfirmation {
    private final Route route;
    private final ServiceGroup group;
    private final ClientSession session;
    private Optional<LogPosition> confirmedPosition = Optional.empty();
    private Optional<LogPosition> begunPosition = Optional.empty();
    private Runnable readIndexRequest = () -> {};
    private boolean restsOnCertainty;

    PrimaryConfirmation(Route route, ServiceGroup group, ClientSession session) {
        this.route = requireNonNull(route, "route is null");
        this.group = requireNonNull(group, "group is null");
        this.session = requireNonNull(session, "session is null");
    }

    /** Returns a confirmed position that is recent enough for the route, if one is known. */
    Optional<LogPosition> recentPosition(ClockReading receivedAt) {
        return route.consistency() == Consistency.PRIMARY
                ? Optional.empty()
                : group.primaryPositions()
                        .oldestWithin(route.maxStaleness(), receivedAt)
                        .map(ObservedPosition::position)
                        .map(p -> p.max(session.lastWritePosition()));
    }

    /**
     * Requests the position that the primary must have, unless a recent one is known.
     *
     * @param recentPosition a position that is recent enough, if one is known
     * @param receivedAt when the first statement arrived
     * @param onConfirmed runs when the position arrives
     * @param onRejected receives the reason if the position cannot be confirmed
     */
    void request(
            Optional<LogPosition> recentPosition,
            ClockReading receivedAt,
            Runnable onConfirmed,
            Consumer<String> onRejected) {
        begunPosition = Optional.empty();
        confirmedPosition = confirmedPosition.or(() -> recentPosition);
        readIndexRequest = () -> requestReadIndex(receivedAt, onConfirmed, onRejected);
        restsOnCertainty = confirmedPosition.isEmpty() && group.primaryCertainty().isCertain();
        if (confirmedPosition.isEmpty() && !restsOnCertainty) {
            readIndexRequest.run();
        }
    }

    /** Records the log position at which the transaction began; empty if it was not reported. */
    void onBegun(Optional<LogPosition> position) {
        begunPosition = Optional.of(position.orElse(LogPosition.empty()));
    }

    /** Returns the outcome; once it is known, the next call returns {@link Outcome#PENDING}. */
    Outcome poll() {
        if (begunPosition.isEmpty()) {
            return Outcome.PENDING;
        }
        if (confirmedPosition.isEmpty()) {
            return pollCertainty();
        }
        boolean replaced = confirmedPosition.get().term().isAfter(begunPosition.get().term());
        begunPosition = Optional.empty();
        return replaced ? Outcome.REPLACED : Outcome.CONFIRMED;
    }

    /** Requests a position if the primary is no longer certain when the transaction has begun. */
    private Outcome pollCertainty() {
        if (restsOnCertainty && group.primaryCertainty().isCertain()) {
            begunPosition = Optional.empty();
            return Outcome.CONFIRMED;
        }
        if (restsOnCertainty) {
            restsOnCertainty = false;
            readIndexRequest.run();
        }
        return Outcome.PENDING;
    }

    private void requestReadIndex(
            ClockReading receivedAt, Runnable onConfirmed, Consumer<String> onRejected) {
        group.requestReadIndex(
                receivedAt,
                receivedAt.monotonicNanos() + route.timeout().toNanos(),
                true,
                evidence -> {
                    confirmedPosition = Optional.of(evidence.position());
                    onConfirmed.run();
                },
                reason -> {
                    if (confirmedPosition.isEmpty()) {
                        onRejected.accept(reason);
                    }
                });
    }

    /** What is known about the instance at which the transaction began. */
    enum Outcome {
        /** The position or the begin of the transaction has not arrived yet. */
        PENDING,
        /** The instance has every commit that the transaction must see. */
        CONFIRMED,
        /** The instance was replaced as primary. */
        REPLACED
    }
}
