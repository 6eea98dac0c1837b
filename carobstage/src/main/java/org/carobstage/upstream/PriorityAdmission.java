package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import org.carobstage.upstream.ConnectionAdmission.Capacity;
import org.carobstage.upstream.LoadShedding.Rejection;

/**
 * Queues requests in the order of priority. Under overload, the requests that rank last are
 * rejected at once with the time after which to retry, whether they are new or already waiting.
 */
final class PriorityAdmission implements AdmissionController {
    /** Queued requests per statement in flight, as with the order by deadline. */
    private static final int WAITERS_PER_STATEMENT = 8;

    private static final int MIN_WAITERS = 32;

    /** Retry times are extended by up to this fraction, so that clients do not return together. */
    private static final double RETRY_SPREAD = 0.25;

    private final PrimaryRecoveryEstimate recoveryEstimate;
    private final ServedRequests served;
    private final DoubleSupplier jitter;
    private final AdmissionMonitor monitor;
    private final Map<Long, WaitingRequest> waiting = new TreeMap<>();
    private final AccountTurns turns = AccountTurns.empty();
    private final DrainRates rates = DrainRates.empty();
    private final RequestOrder order;
    private Duration serviceTime = Duration.ZERO;
    private long nextSequence;
    private boolean assigning;
    private boolean assignAgain;

    PriorityAdmission(
            PrimaryRecoveryEstimate recoveryEstimate,
            ServedRequests served,
            DoubleSupplier jitter,
            AdmissionMonitor monitor) {
        this.recoveryEstimate = requireNonNull(recoveryEstimate, "recoveryEstimate is null");
        this.served = requireNonNull(served, "served is null");
        this.jitter = requireNonNull(jitter, "jitter is null");
        this.monitor = requireNonNull(monitor, "monitor is null");
        this.order = new RequestOrder(served::count, turns);
    }

    Collection<WaitingRequest> waiting() {
        return waiting.values();
    }

    Optional<WaitingRequest> find(ConnectionRequest request) {
        return waiting.values().stream().filter(w -> w.request() == request).findFirst();
    }

    @Override
    public int waitingCount() {
        return waiting.size();
    }

    @Override
    public boolean cancel(ConnectionRequest request) {
        return waiting.values().removeIf(w -> w.request() == request);
    }

    @Override
    public Optional<String> admit(ConnectionRequest request, Capacity capacity, long nowNanos) {
        long sequence = nextSequence++;
        waiting.put(sequence, new WaitingRequest(request, nowNanos, sequence));
        List<Rejection> rejected = removeRejected(capacity, nowNanos);
        rejected.stream()
                .filter(r -> r.waiting().sequence() != sequence)
                .forEach(r -> reject(r, capacity, nowNanos));
        return rejected.stream()
                .filter(r -> r.waiting().sequence() == sequence)
                .map(r -> reasonOf(r, capacity, nowNanos))
                .findFirst();
    }

    @Override
    public void rejectUnservable(Capacity capacity, long nowNanos) {
        removeRejected(capacity, nowNanos).forEach(r -> reject(r, capacity, nowNanos));
    }

    @Override
    public void assignConnections(long nowNanos, ConnectionSource connections) {
        requireNonNull(connections, "connections is null");
        assignAgain = true;
        if (assigning) {
            return;
        }
        assigning = true;
        try {
            while (assignAgain) {
                // Each grant changes the order between accounts.
                assignAgain =
                        order.rank(waiting.values(), nowNanos, serviceTime).stream()
                                .anyMatch(w -> tryAssign(w, nowNanos, connections));
            }
        } finally {
            assigning = false;
        }
    }

    private boolean tryAssign(
            WaitingRequest candidate, long nowNanos, ConnectionSource connections) {
        if (!waiting.containsKey(candidate.sequence())) {
            return false;
        }
        Optional<PooledConnection> connection = connections.tryGrant(candidate.request());
        connection.ifPresent(
                c -> {
                    waiting.remove(candidate.sequence());
                    served.record(c, candidate.request());
                    turns.recordGrant(candidate.account());
                    rates.recordGrant(candidate.request(), waiting.values(), nowNanos);
                    monitor.recordGranted(candidate, nowNanos);
                    candidate.request().onGranted().accept(c);
                });
        return connection.isPresent();
    }

    private List<Rejection> removeRejected(Capacity capacity, long nowNanos) {
        serviceTime = capacity.serviceTime();
        List<WaitingRequest> ranked = order.rank(waiting.values(), nowNanos, serviceTime);
        List<Rejection> rejected =
                LoadShedding.select(ranked, limits(capacity, nowNanos), rates, nowNanos);
        rejected.forEach(r -> waiting.remove(r.waiting().sequence()));
        return rejected;
    }

    private LoadShedding.Limits limits(Capacity capacity, long nowNanos) {
        return new LoadShedding.Limits(
                Math.max(MIN_WAITERS, WAITERS_PER_STATEMENT * capacity.statementLimit()),
                capacity.serviceTime(),
                capacity.hasPrimary() ? Duration.ZERO : recoveryEstimate.remaining(nowNanos),
                deadline ->
                        !capacity.hasPrimary()
                                && recoveryEstimate.isUnavailableUntil(deadline, nowNanos));
    }

    private void reject(Rejection rejection, Capacity capacity, long nowNanos) {
        rejection.waiting().request().onRejected().accept(reasonOf(rejection, capacity, nowNanos));
    }

    private String reasonOf(Rejection rejection, Capacity capacity, long nowNanos) {
        Duration wait =
                rejection.expectedWait().compareTo(capacity.serviceTime()) > 0
                        ? rejection.expectedWait()
                        : capacity.serviceTime();
        Duration retryAfter =
                Duration.ofNanos(
                        (long) (wait.toNanos() * (1 + RETRY_SPREAD * jitter.getAsDouble())));
        monitor.recordRejected(rejection.waiting().request(), rejection.cause(), retryAfter);
        return rejection.cause().label()
                + " waiting="
                + waiting.size()
                + ", retry after "
                + retryAfter.toMillis()
                + " ms";
    }
}
