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
 * Confirms that a majority of a group acknowledges a log position in the term of that position. At
 * most one status request is in flight to each replica; its response serves every confirmation that
 * was requested before it was sent.
 */
public final class QuorumConfirmer {
    /** How long a replica may delay a response until its log covers the position. */
    public static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(100);

    /** How long after the end of a long poll its response may arrive, by this process's clock. */
    public static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(200);

    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final List<ReplicaChannel> channels;
    private final int requiredReplicaCount;
    private final Clock clock;
    private final Executor workerThread;
    private final ObjLongConsumer<ReplicationStatus> observer;
    private final Set<Request> requests = new LinkedHashSet<>();

    private QuorumConfirmer(
            Collection<Backend> backends,
            Clock clock,
            Executor workerThread,
            ObjLongConsumer<ReplicationStatus> observer) {
        this.channels = backends.stream().map(ReplicaChannel::new).toList();
        this.requiredReplicaCount = backends.size() / 2;
        this.clock = clock;
        this.workerThread = workerThread;
        this.observer = observer;
    }

    /**
     * Creates the confirmer of a group. All its methods run on the group's worker thread.
     *
     * @param backends the instances of the group
     * @param clock the runtime's clock
     * @param workerThread the executor of the group's worker thread
     * @param observer receives each replication status and when it was requested
     * @return the confirmer
     */
    public static QuorumConfirmer of(
            Collection<Backend> backends,
            Clock clock,
            Executor workerThread,
            ObjLongConsumer<ReplicationStatus> observer) {
        requireNonNull(backends, "backends is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(workerThread, "workerThread is null");
        requireNonNull(observer, "observer is null");
        return new QuorumConfirmer(backends, clock, workerThread, observer);
    }

    /**
     * Returns whether a majority acknowledges the position in its term. Responses to status
     * requests that were sent before this call do not count.
     *
     * @param primary the instance that reported the position, which counts as one acknowledgement
     * @param position the position
     * @param patience the maximum wait
     * @return true once confirmed; false once confirmation is impossible or the wait is over, which
     *     does not mean that the position is lost
     */
    public CompletionStage<Boolean> confirm(
            InstanceId primary, LogPosition position, Duration patience) {
        requireNonNull(primary, "primary is null");
        requireNonNull(position, "position is null");
        if (requiredReplicaCount == 0) {
            return CompletableFuture.completedFuture(true);
        }
        Request request = new Request(primary, position);
        requests.add(request);
        Clock.Timer timer =
                clock.schedule(() -> workerThread.execute(() -> finish(request, false)), patience);
        request.result.thenRun(timer::cancel);
        channels.forEach(ReplicaChannel::startIfNeeded);
        return request.result;
    }

    private void finish(Request request, boolean isConfirmed) {
        requests.remove(request);
        request.result.complete(isConfirmed);
    }

    private void applyStatus(ReplicationStatus status, Set<Request> served) {
        served.stream()
                .filter(request -> !request.result.isDone())
                .filter(request -> !request.primary.equals(status.instance()))
                .forEach(request -> applyStatus(status, request));
    }

    private void applyStatus(ReplicationStatus status, Request request) {
        if (status.confirms(request.position)) {
            request.holders.add(status.instance());
        } else if (status.promisedTerm().isAfter(request.position.term())) {
            request.higherTermReplicas.add(status.instance());
        }
        int possibleHolderCount = channels.size() - 1 - request.higherTermReplicas.size();
        if (request.holders.size() >= requiredReplicaCount
                || possibleHolderCount < requiredReplicaCount) {
            finish(request, request.holders.size() >= requiredReplicaCount);
        }
    }

    /** One position to confirm. */
    private static final class Request {
        private final InstanceId primary;
        private final LogPosition position;
        private final CompletableFuture<Boolean> result = new CompletableFuture<>();
        private final Set<InstanceId> holders = new HashSet<>();
        private final Set<InstanceId> higherTermReplicas = new HashSet<>();

        private Request(InstanceId primary, LogPosition position) {
            this.primary = primary;
            this.position = position;
        }

        private boolean needs(InstanceId replica) {
            return !primary.equals(replica)
                    && !holders.contains(replica)
                    && !higherTermReplicas.contains(replica);
        }
    }

    /** The status requests to one replica. */
    private final class ReplicaChannel {
        private final Backend replica;
        private boolean isBusy;

        private ReplicaChannel(Backend replica) {
            this.replica = replica;
        }

        private void startIfNeeded() {
            InstanceId id = replica.spec().id();
            Optional<LogPosition> lowestPosition =
                    requests.stream()
                            .filter(request -> request.needs(id))
                            .map(request -> request.position)
                            .min(Comparator.naturalOrder());
            if (!isBusy && lowestPosition.isPresent()) {
                isBusy = true;
                requestStatus(lowestPosition.get());
            }
        }

        private void requestStatus(LogPosition position) {
            long requestedAtNanos = clock.nanoTime();
            Set<Request> served = new LinkedHashSet<>(requests);
            replica.fetchStatus(
                            position, LONG_POLL_TIMEOUT, LONG_POLL_TIMEOUT.plus(RESPONSE_TIMEOUT))
                    .thenAcceptAsync(
                            status -> handleResponse(status, requestedAtNanos, served),
                            workerThread);
        }

        /** Ignores a response that was read late, for example after a pause of this process. */
        private void handleResponse(
                Optional<ReplicationStatus> status, long requestedAtNanos, Set<Request> served) {
            isBusy = false;
            long ageNanos = clock.nanoTime() - requestedAtNanos;
            boolean isCurrent = ageNanos <= LONG_POLL_TIMEOUT.plus(RESPONSE_TIMEOUT).toNanos();
            if (status.isPresent() && isCurrent) {
                observer.accept(status.get(), requestedAtNanos);
                applyStatus(status.get(), served);
                startIfNeeded();
            } else if (isCurrent) {
                isBusy = true;
                clock.schedule(() -> workerThread.execute(this::retry), RETRY_DELAY);
            } else {
                startIfNeeded();
            }
        }

        private void retry() {
            isBusy = false;
            startIfNeeded();
        }
    }
}
