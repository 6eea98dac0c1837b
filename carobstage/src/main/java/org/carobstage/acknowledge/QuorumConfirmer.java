package org.carobstage.acknowledge;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.ObjLongConsumer;
import org.carobstage.backend.Backend;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.Clock;

/**
 * Asks the replicas of a group whether they hold positions under their term. At most one exchange
 * is under way with each replica; it serves every request that was made before it started.
 */
public final class QuorumConfirmer {
    /** How long a replica may hold an answer back. */
    public static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(100);

    /** How long after the wait an answer still proves something, by this process's clock. */
    public static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(200);

    private static final Duration RETRY = Duration.ofMillis(20);

    private final List<Lane> lanes;
    private final int needed;
    private final Clock clock;
    private final Executor duty;
    private final ObjLongConsumer<ReplicationStatus> observer;
    private final Set<Request> requests = new LinkedHashSet<>();

    private QuorumConfirmer(
            Collection<Backend> backends,
            Clock clock,
            Executor duty,
            ObjLongConsumer<ReplicationStatus> observer) {
        this.lanes = backends.stream().map(Lane::new).toList();
        this.needed = backends.size() / 2;
        this.clock = clock;
        this.duty = duty;
        this.observer = observer;
    }

    /**
     * Creates the confirmation for a group; all its methods run on the group's duty.
     *
     * @param backends the instances of the group
     * @param clock the runtime's clock
     * @param duty the group's duty
     * @param observer takes each standing together with when it was asked for
     * @return the confirmation
     */
    public static QuorumConfirmer of(
            Collection<Backend> backends,
            Clock clock,
            Executor duty,
            ObjLongConsumer<ReplicationStatus> observer) {
        requireNonNull(backends, "backends is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(duty, "duty is null");
        requireNonNull(observer, "observer is null");
        return new QuorumConfirmer(backends, clock, duty, observer);
    }

    /**
     * Asks, after now, whether a majority stands at the position's term and holds the position.
     *
     * @param primary the instance that reported the position and counts as one holder
     * @param position the position
     * @param patience the longest wait
     * @return true once proved; false once it cannot be proved any more or the wait is over, which
     *     does not mean that the position is lost
     */
    public CompletionStage<Boolean> confirm(
            InstanceId primary, LogPosition position, Duration patience) {
        requireNonNull(primary, "primary is null");
        requireNonNull(position, "position is null");
        if (needed == 0) {
            return CompletableFuture.completedFuture(true);
        }
        Request request = new Request(primary, position);
        requests.add(request);
        Clock.Timer timer =
                clock.schedule(() -> duty.execute(() -> finish(request, false)), patience);
        request.result.thenRun(timer::cancel);
        lanes.forEach(Lane::startIfWanted);
        return request.result;
    }

    private void finish(Request request, boolean proved) {
        requests.remove(request);
        request.result.complete(proved);
    }

    private void take(ReplicationStatus standing, Set<Request> asked) {
        asked.stream()
                .filter(request -> !request.result.isDone())
                .filter(request -> !request.primary.equals(standing.instance()))
                .forEach(request -> take(standing, request));
    }

    private void take(ReplicationStatus standing, Request request) {
        if (standing.confirms(request.position)) {
            request.holders.add(standing.instance());
        } else if (standing.promisedTerm().isAfter(request.position.term())) {
            request.refusers.add(standing.instance());
        }
        int possible = lanes.size() - 1 - request.refusers.size();
        if (request.holders.size() >= needed || possible < needed) {
            finish(request, request.holders.size() >= needed);
        }
    }

    /** One position to confirm. */
    private static final class Request {
        private final InstanceId primary;
        private final LogPosition position;
        private final CompletableFuture<Boolean> result = new CompletableFuture<>();
        private final Set<InstanceId> holders = new HashSet<>();
        private final Set<InstanceId> refusers = new HashSet<>();

        private Request(InstanceId primary, LogPosition position) {
            this.primary = primary;
            this.position = position;
        }

        private boolean wants(InstanceId replica) {
            return !primary.equals(replica)
                    && !holders.contains(replica)
                    && !refusers.contains(replica);
        }
    }

    /** The exchanges with one replica. */
    private final class Lane {
        private final Backend replica;
        private boolean busy;

        private Lane(Backend replica) {
            this.replica = replica;
        }

        private void startIfWanted() {
            InstanceId id = replica.spec().id();
            Optional<LogPosition> lowest =
                    requests.stream()
                            .filter(request -> request.wants(id))
                            .map(request -> request.position)
                            .min(Comparator.naturalOrder());
            if (!busy && lowest.isPresent()) {
                busy = true;
                ask(lowest.get());
            }
        }

        private void ask(LogPosition position) {
            long asked = clock.nanoTime();
            Set<Request> served = new LinkedHashSet<>(requests);
            replica.fetchStatus(
                            position, LONG_POLL_TIMEOUT, LONG_POLL_TIMEOUT.plus(RESPONSE_TIMEOUT))
                    .thenAcceptAsync(standing -> answered(standing, asked, served), duty);
        }

        /** An answer that was read late, because this process was paused, proves nothing. */
        private void answered(
                Optional<ReplicationStatus> standing, long asked, Set<Request> served) {
            busy = false;
            long age = clock.nanoTime() - asked;
            boolean current = age <= LONG_POLL_TIMEOUT.plus(RESPONSE_TIMEOUT).toNanos();
            if (standing.isPresent() && current) {
                observer.accept(standing.get(), asked);
                take(standing.get(), served);
                startIfWanted();
            } else if (current) {
                busy = true;
                clock.schedule(() -> duty.execute(this::retry), RETRY);
            } else {
                startIfWanted();
            }
        }

        private void retry() {
            busy = false;
            startIfWanted();
        }
    }
}
