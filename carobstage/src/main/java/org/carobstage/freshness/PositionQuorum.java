package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * The log positions that the instances of a group report, and what they prove together. A commit is
 * acknowledged when the primary and one replica have received it, so all instances but one include
 * at least one that has received any given commit. The newest of their positions covers every
 * commit acknowledged before the earliest of their requests, even if one of them is a former
 * primary that does not know that it was replaced.
 *
 * <p>An instance that has left or lost its entry may be the only one left that holds a commit of a
 * lost primary. So without the primary, absent instances count as instances that do not report.
 *
 * <p>A replica counts only once it has reached a position that the primary reported after the
 * replica became known. Until then, it may lack commits that were acknowledged before it joined.
 */
public final class PositionQuorum {
    /** One instance cannot show that no other has been promoted. */
    private static final int MIN_SIZE = 2;

    /** An instance that was removed this long ago acknowledges no commits any more. */
    private static final Duration ABSENCE_TIMEOUT = Duration.ofSeconds(30);

    private final Map<InstanceId, Member> members = new TreeMap<>();
    private final Map<InstanceId, ClockReading> absentSince = new TreeMap<>();

    private final Predicate<Optional<ObservedPosition>> primarySuffices;
    private final PositionFloor floor = PositionFloor.none();
    private Optional<ObservedPosition> primaryPosition = Optional.empty();
    private boolean registryCurrent = true;

    private Optional<List<Member>> latestOfQuorum = Optional.empty();

    private PositionQuorum(Predicate<Optional<ObservedPosition>> primarySuffices) {
        this.primarySuffices = primarySuffices;
    }

    /**
     * Creates the quorum of a group without instances.
     *
     * @param primarySuffices whether the report of a primary needs no confirmation, from the newest
     *     position that a quorum has confirmed
     * @return the quorum
     */
    public static PositionQuorum of(Predicate<Optional<ObservedPosition>> primarySuffices) {
        return new PositionQuorum(requireNonNull(primarySuffices, "primarySuffices is null"));
    }

    /**
     * Adds an instance, or adds it anew after a restart.
     *
     * @param id the instance
     * @param now the current clock reading
     */
    public void add(InstanceId id, ClockReading now) {
        members.put(
                requireNonNull(id, "id is null"), new Member(requireNonNull(now, "now is null")));
        absentSince.remove(id);
        latestOfQuorum = findLatestOfQuorum();
    }

    /**
     * Removes an instance, whose entry may have expired although it runs.
     *
     * @param id the instance
     * @param now the current clock reading
     */
    public void remove(InstanceId id, ClockReading now) {
        if (members.remove(id) != null) {
            absentSince.put(id, requireNonNull(now, "now is null"));
            latestOfQuorum = findLatestOfQuorum();
        }
    }

    /**
     * Sets which instances without an entry may hold commits that the others lack.
     *
     * @param ids the instances, also those that this process has never seen
     * @param now the current clock reading
     */
    public void setAbsent(Collection<InstanceId> ids, ClockReading now) {
        absentSince.keySet().retainAll(ids);
        ids.stream()
                .filter(id -> !members.containsKey(id))
                .forEach(id -> absentSince.putIfAbsent(id, now));
        latestOfQuorum = findLatestOfQuorum();
    }

    /**
     * Sets whether the entries of the instances are current. While they are not, an instance may
     * have joined that alone confirms commits, so nothing is confirmed without the primary.
     *
     * @param current whether the store responds; true initially
     */
    public void setRegistryCurrent(boolean current) {
        registryCurrent = current;
        latestOfQuorum = findLatestOfQuorum();
    }

    /**
     * Returns whether the entries of the instances are current.
     *
     * @return false while a position is confirmed only by the primary and others
     */
    public boolean isRegistryCurrent() {
        return registryCurrent;
    }

    /**
     * Returns how many instances have to report if the primary is one of them.
     *
     * @return all registered ones but one, at least two unless there is only one and none is absent
     */
    public int sizeWithPrimary() {
        boolean single = members.size() <= 1 && absentSince.isEmpty();
        return single ? members.size() : Math.max(MIN_SIZE, members.size() - 1);
    }

    /**
     * Returns how many instances have to report if the primary is not one of them.
     *
     * @return all but one of the registered and the absent ones, at least {@link #sizeWithPrimary}
     */
    public int sizeWithoutPrimary() {
        return Math.max(sizeWithPrimary(), members.size() + absentSince.size() - 1);
    }

    /**
     * Returns whether the report of a primary needs no confirmation.
     *
     * @return true if the primary is certain not to have been replaced
     */
    public boolean isPrimarySufficient() {
        return primarySuffices.test(newestOfQuorum());
    }

    /**
     * Returns the position below which none is confirmed.
     *
     * @return the floor
     */
    public PositionFloor floor() {
        return floor;
    }

    /**
     * Records the position that an instance reported.
     *
     * @param id the instance; reports of unknown instances are ignored
     * @param received the end of the log that it has received
     * @param requestedAt when the report was requested
     * @param primary whether the instance reported that it is primary
     */
    public void report(
            InstanceId id, LogPosition received, ClockReading requestedAt, boolean primary) {
        Member member = members.get(id);
        if (member == null || member.isNewerThan(requestedAt)) {
            return;
        }
        absentSince.values().removeIf(at -> isAbsenceOver(at, requestedAt));
        member.received = Optional.of(received);
        member.requestedAt = Optional.of(requestedAt);
        member.primary = primary;
        if (primary) {
            primaryPosition =
                    Optional.of(new ObservedPosition(received, requestedAt, EvidenceBasis.PRIMARY));
            member.caughtUp = true;
            members.values().forEach(m -> m.onPrimaryPosition(received, requestedAt));
        }
        members.values().forEach(Member::updateCaughtUp);
        latestOfQuorum = findLatestOfQuorum();
    }

    /**
     * Records that an instance accepts no connections.
     *
     * @param id the instance
     * @param now the current clock reading
     */
    public void markStopped(InstanceId id, ClockReading now) {
        Optional.ofNullable(members.get(id))
                .filter(m -> m.stoppedAt.isEmpty())
                .ifPresent(m -> m.stoppedAt = Optional.of(now));
    }

    /**
     * Records that an instance responds. One that accepted no connections before has restarted,
     * possibly without its log.
     *
     * @param id the instance
     * @param now the current clock reading
     */
    public void markRunning(InstanceId id, ClockReading now) {
        Optional.ofNullable(members.get(id))
                .filter(m -> m.stoppedAt.isPresent())
                .ifPresent(m -> add(id, now));
    }

    /**
     * Returns a position that a stopped replica has not passed.
     *
     * @param id the instance
     * @return a position that the primary reported after the replica had stopped; empty if the
     *     replica runs or the primary has not reported since
     */
    public Optional<LogPosition> stoppedBefore(InstanceId id) {
        return Optional.ofNullable(members.get(id)).flatMap(m -> m.stoppedBefore);
    }

    /**
     * Returns when the last report of an instance was requested.
     *
     * @param id the instance
     * @return the time, if the instance has reported
     */
    public Optional<ClockReading> requestedAt(InstanceId id) {
        return Optional.ofNullable(members.get(id)).flatMap(m -> m.requestedAt);
    }

    /**
     * Returns the newest position that enough instances confirm, or that a sufficient primary
     * reported.
     *
     * @return a position that covers every commit acknowledged before the time it was requested at,
     *     or empty if too few instances have reported
     */
    public Optional<ObservedPosition> newest() {
        Optional<ObservedPosition> confirmed = newestOfQuorum();
        Optional<ObservedPosition> ofPrimary =
                primaryPosition.filter(p -> primarySuffices.test(confirmed)).filter(floor::permits);
        return Stream.concat(confirmed.stream(), ofPrimary.stream())
                .max(Comparator.comparingLong(p -> p.requestedAt().monotonicNanos()));
    }

    /**
     * Returns the instances without an entry that may hold commits that the others lack.
     *
     * @return the instances in the order of their ids
     */
    public List<InstanceId> absent() {
        return List.copyOf(absentSince.keySet());
    }

    /**
     * Returns the last report of each instance.
     *
     * @return the reports in the order of the instances' ids
     */
    public List<InstanceReport> reports() {
        List<Member> used = latestOfQuorum.orElse(List.of());
        return members.entrySet().stream()
                .map(e -> e.getValue().toReport(e.getKey(), used.contains(e.getValue())))
                .toList();
    }

    /** Compares monotonic times, since a step of the time of day would end every absence. */
    private static boolean isAbsenceOver(ClockReading since, ClockReading now) {
        return now.monotonicNanos() - since.monotonicNanos() >= ABSENCE_TIMEOUT.toNanos();
    }

    private Optional<ObservedPosition> newestOfQuorum() {
        return latestOfQuorum.map(this::newestOf).filter(floor::permits);
    }

    private Optional<List<Member>> findLatestOfQuorum() {
        List<Member> latest =
                members.values().stream()
                        .filter(m -> m.caughtUp)
                        .sorted(Comparator.comparingLong(Member::requestedNanos).reversed())
                        .toList();
        return IntStream.rangeClosed(Math.max(1, sizeWithPrimary()), latest.size())
                .mapToObj(count -> latest.subList(0, count))
                .filter(this::isQuorum)
                .findFirst();
    }

    private boolean isQuorum(List<Member> reporting) {
        return registryCurrent && reporting.size() >= sizeWithoutPrimary()
                || includesPrimary(reporting);
    }

    private boolean includesPrimary(List<Member> reporting) {
        return reporting.stream().anyMatch(m -> m.primary && isOfNewestTerm(m));
    }

    private boolean isOfNewestTerm(Member member) {
        Term term = member.received.orElseThrow().term();
        return members.values().stream()
                .flatMap(m -> m.received.stream())
                .noneMatch(received -> received.term().isAfter(term));
    }

    private ObservedPosition newestOf(List<Member> reporting) {
        LogPosition position =
                reporting.stream()
                        .map(m -> m.received.orElseThrow())
                        .reduce(LogPosition.empty(), LogPosition::max);
        return reporting.stream()
                .map(m -> m.requestedAt.orElseThrow())
                .reduce(ClockReading::earlier)
                .map(requestedAt -> new ObservedPosition(position, requestedAt, basisOf(reporting)))
                .orElseThrow();
    }

    private EvidenceBasis basisOf(List<Member> reporting) {
        return includesPrimary(reporting) ? EvidenceBasis.QUORUM : EvidenceBasis.REPLICAS;
    }

    private static final class Member {
        private final ClockReading knownSince;
        private Optional<LogPosition> target = Optional.empty();
        private Optional<LogPosition> received = Optional.empty();
        private Optional<ClockReading> requestedAt = Optional.empty();
        private Optional<ClockReading> stoppedAt = Optional.empty();
        private Optional<LogPosition> stoppedBefore = Optional.empty();
        private boolean primary;
        private boolean caughtUp;

        private Member(ClockReading knownSince) {
            this.knownSince = knownSince;
        }

        private InstanceReport toReport(InstanceId id, boolean used) {
            return new InstanceReport(id, received, requestedAt, primary, caughtUp, used);
        }

        private boolean isNewerThan(ClockReading other) {
            return requestedAt
                    .filter(r -> r.monotonicNanos() - other.monotonicNanos() > 0)
                    .isPresent();
        }

        private void onPrimaryPosition(LogPosition position, ClockReading positionRequestedAt) {
            if (target.isEmpty() && positionRequestedAt.isSince(knownSince)) {
                target = Optional.of(position);
            }
            if (stoppedBefore.isEmpty()
                    && stoppedAt.filter(positionRequestedAt::isSince).isPresent()) {
                stoppedBefore = Optional.of(position);
            }
        }

        private void updateCaughtUp() {
            caughtUp |=
                    received.isPresent() && target.filter(received.get()::isAtLeast).isPresent();
        }

        private long requestedNanos() {
            return requestedAt.orElseThrow().monotonicNanos();
        }
    }
}
