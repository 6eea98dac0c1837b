package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * Logs what the confirmed positions of a group rest on: changes of the basis, and positions below
 * earlier ones. Counts the confirmed positions by basis.
 */
public final class ReadEvidenceLog {
    /** The shortest time between lines of one kind about a group. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(250);

    private final EventLog events;
    private final EventScope scope;
    private final ObjLongConsumer<String> metrics;
    private final PositionQuorum quorum;
    private final RemovedInstances removed = RemovedInstances.empty();
    private final LineLimit changes = LineLimit.of(MIN_INTERVAL);
    private final LineLimit decreases = LineLimit.of(MIN_INTERVAL);
    private final LineLimit contradictions = LineLimit.of(MIN_INTERVAL);
    private ReadEvidence current = ReadEvidence.empty();
    private Optional<ObservedPosition> lastConfirmed = Optional.empty();
    private Foundation logged = Foundation.of(current);
    private final AcknowledgedFloor floor;

    private ReadEvidenceLog(
            EventLog events,
            EventScope scope,
            ObjLongConsumer<String> metrics,
            PositionQuorum quorum,
            ClockReading now) {
        this.events = requireNonNull(events, "events is null");
        this.scope = requireNonNull(scope, "scope is null");
        this.metrics = requireNonNull(metrics, "metrics is null");
        this.quorum = requireNonNull(quorum, "quorum is null");
        this.floor = AcknowledgedFloor.atStart(now);
    }

    /**
     * Creates the log of a group without instances.
     *
     * @param events the event log
     * @param scope the group
     * @param metrics adds a number to the counter of a name
     * @param quorum the reports of the group's instances
     * @param now the current clock reading
     * @return the log
     */
    public static ReadEvidenceLog of(
            EventLog events,
            EventScope scope,
            ObjLongConsumer<String> metrics,
            PositionQuorum quorum,
            ClockReading now) {
        return new ReadEvidenceLog(events, scope, metrics, quorum, now);
    }

    /**
     * Records that an instance is about to be removed from the quorum.
     *
     * @param id the instance
     * @param now the current clock reading
     */
    public void onRemoving(InstanceId id, ClockReading now) {
        quorum.reports().stream()
                .filter(r -> r.instance().equals(id))
                .forEach(r -> removed.add(r, now));
    }

    /**
     * Records that an instance was added to the quorum.
     *
     * @param id the instance
     */
    public void onAdded(InstanceId id) {
        removed.remove(id);
    }

    /**
     * Records that a report or a change of the instances may have changed the confirmed position.
     *
     * @param primary the primary, if it is known
     * @param acknowledged the newest position that this process has acknowledged
     * @param now the current clock reading
     */
    public void update(Optional<InstanceId> primary, LogPosition acknowledged, ClockReading now) {
        floor.raise(acknowledged, now);
        if (current.isOf(quorum)) {
            return;
        }
        current = ReadEvidence.of(quorum);
        current.position().ifPresent(p -> onConfirmed(p, primary, acknowledged, now));
        recordChange(primary, acknowledged, now);
        lastConfirmed = current.position().or(() -> lastConfirmed);
    }

    private void recordChange(
            Optional<InstanceId> primary, LogPosition acknowledged, ClockReading now) {
        Foundation foundation = Foundation.of(current);
        if (foundation.isSameAs(logged) || !changes.tryAcquire(now)) {
            return;
        }
        record(
                EventCode.READ_EVIDENCE_CHANGED,
                "before=" + logged.basis().label(),
                changes,
                primary,
                acknowledged,
                now);
        logged = foundation;
    }

    private void onConfirmed(
            ObservedPosition newest,
            Optional<InstanceId> primary,
            LogPosition acknowledged,
            ClockReading now) {
        metrics.accept("read_evidence_total{basis=\"" + newest.basis().label() + "\"}", 1);
        Optional<LogPosition> contradicted = floor.contradictedBy(newest);
        if (contradicted.isPresent()) {
            if (contradictions.tryAcquire(now)) {
                record(
                        EventCode.READ_EVIDENCE_CONTRADICTED,
                        "below=" + contradicted.get() + " " + describeLast(now),
                        contradictions,
                        primary,
                        acknowledged,
                        now);
            }
        } else if (isDecrease(newest) && decreases.tryAcquire(now)) {
            record(
                    EventCode.READ_EVIDENCE_DECREASED,
                    describeLast(now),
                    decreases,
                    primary,
                    acknowledged,
                    now);
        }
        floor.onChecked(newest);
        current.receivedByTwo().ifPresent(p -> floor.raise(p, now));
    }

    private boolean isDecrease(ObservedPosition newest) {
        return lastConfirmed
                .filter(p -> newest.requestedAt().isSince(p.requestedAt()))
                .filter(p -> !newest.position().isAtLeast(p.position()))
                .isPresent();
    }

    private String describeLast(ClockReading now) {
        return lastConfirmed
                .map(
                        p ->
                                "before="
                                        + p.position()
                                        + " before_basis="
                                        + p.basis().label()
                                        + " before_age_ms="
                                        + p.requestedAt().age(now).toMillis())
                .orElse("before=none");
    }

    private void record(
            EventCode code,
            String change,
            LineLimit limit,
            Optional<InstanceId> primary,
            LogPosition acknowledged,
            ClockReading now) {
        events.record(
                code,
                scope,
                change
                        + " "
                        + describe(now)
                        + " primary="
                        + primary.map(InstanceId::value).orElse("none")
                        + " acknowledged="
                        + acknowledged
                        + " skipped="
                        + limit.takeSkipped());
    }

    private String describe(ClockReading now) {
        return "basis="
                + current.basis().label()
                + current.position()
                        .map(
                                p ->
                                        " position="
                                                + p.position()
                                                + " age_ms="
                                                + p.requestedAt().age(now).toMillis())
                        .orElse("")
                + " required="
                + current.required()
                + " confirming="
                + describe(current.confirming(), now)
                + " others="
                + describe(current.others(), now)
                + " absent="
                + current.absent()
                + " removed="
                + removed.describe(now);
    }

    private static List<String> describe(List<InstanceReport> reports, ClockReading now) {
        return reports.stream().map(r -> r.describe(now)).toList();
    }

    /**
     * What is logged when it changes. While the primary confirms positions, it does not matter
     * whether replicas do so with it, and which.
     */
    private record Foundation(EvidenceBasis basis, int required, Set<InstanceId> replicas) {
        private static Foundation of(ReadEvidence evidence) {
            return switch (evidence.basis()) {
                case NONE -> new Foundation(EvidenceBasis.NONE, 0, Set.of());
                case REPLICAS ->
                        new Foundation(
                                EvidenceBasis.REPLICAS,
                                evidence.required(),
                                evidence.confirmingInstances());
                case PRIMARY, QUORUM ->
                        new Foundation(evidence.basis(), evidence.required(), Set.of());
            };
        }

        private boolean isSameAs(Foundation other) {
            return basis.isWithPrimary() == other.basis.isWithPrimary()
                    && (basis.isWithPrimary() || basis == other.basis)
                    && required == other.required
                    && replicas.equals(other.replicas);
        }
    }
}
