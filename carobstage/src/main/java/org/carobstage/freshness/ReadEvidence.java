package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * The newest confirmed position of a group and the reports that confirm it.
 *
 * @param position the position, empty if none is confirmed
 * @param required how many instances have to report if the report of a primary does not suffice
 * @param absent the instances without an entry that may hold commits
 * @param confirming the reports that confirm the position
 * @param others the last reports of the other registered instances
 */
record ReadEvidence(
        Optional<ObservedPosition> position,
        int required,
        List<InstanceId> absent,
        List<InstanceReport> confirming,
        List<InstanceReport> others) {
    private static final ReadEvidence EMPTY =
            new ReadEvidence(Optional.empty(), 0, List.of(), List.of(), List.of());

    ReadEvidence {
        requireNonNull(position, "position is null");
        absent = List.copyOf(absent);
        confirming = List.copyOf(confirming);
        others = List.copyOf(others);
    }

    /** Returns the evidence of a group without instances. */
    static ReadEvidence empty() {
        return EMPTY;
    }

    /** Returns the evidence of a quorum. */
    static ReadEvidence of(PositionQuorum quorum) {
        Optional<ObservedPosition> newest = quorum.newest();
        List<InstanceReport> reports = quorum.reports();
        List<InstanceReport> confirming =
                reports.stream()
                        .filter(r -> newest.filter(n -> isConfirming(r, n)).isPresent())
                        .toList();
        return new ReadEvidence(
                newest,
                required(quorum, newest),
                quorum.absent(),
                confirming,
                reports.stream().filter(r -> !confirming.contains(r)).toList());
    }

    EvidenceBasis basis() {
        return basisOf(position);
    }

    /** Returns whether the newest position of a quorum rests on the same kind of reports. */
    boolean isOf(PositionQuorum quorum) {
        Optional<ObservedPosition> newest = quorum.newest();
        return position.equals(newest)
                && basis() == basisOf(newest)
                && required == required(quorum, newest);
    }

    Set<InstanceId> confirmingInstances() {
        return confirming.stream().map(InstanceReport::instance).collect(Collectors.toSet());
    }

    /** Returns the newest position that two instances have received, so it may be acknowledged. */
    Optional<LogPosition> receivedByTwo() {
        return Stream.concat(confirming.stream(), others.stream())
                .filter(InstanceReport::caughtUp)
                .flatMap(r -> r.received().stream())
                .sorted(Comparator.reverseOrder())
                .skip(1)
                .findFirst();
    }

    private static EvidenceBasis basisOf(Optional<ObservedPosition> newest) {
        return newest.map(ObservedPosition::basis).orElse(EvidenceBasis.NONE);
    }

    private static int required(PositionQuorum quorum, Optional<ObservedPosition> newest) {
        return basisOf(newest).isWithPrimary()
                ? quorum.sizeWithPrimary()
                : quorum.sizeWithoutPrimary();
    }

    private static boolean isConfirming(InstanceReport report, ObservedPosition newest) {
        return newest.basis() == EvidenceBasis.PRIMARY
                ? report.primary()
                        && report.requestedAt()
                                .filter(r -> r.isSince(newest.requestedAt()))
                                .isPresent()
                : report.used();
    }
}
