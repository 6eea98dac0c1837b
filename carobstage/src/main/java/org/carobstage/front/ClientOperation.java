package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.front.ProxyMetrics.RejectionCause;
import org.carobstage.model.AccountName;
import org.carobstage.quota.OperationLimiter.Decision;
import org.carobstage.route.Route;
import org.carobstage.upstream.RequestOrigin;

/**
 * A single statement or a transaction of an account. Its permission is requested from the limiter
 * at most once, also if it is retried or has several statements.
 */
final class ClientOperation {
    private final SessionContext context;
    private final Route route;
    private final Optional<AccountName> account;
    private Optional<Consumer<Decision>> callback = Optional.empty();
    private boolean requested;
    private boolean permitted;

    ClientOperation(SessionContext context, Route route, Optional<AccountName> account) {
        this.context = requireNonNull(context, "context is null");
        this.route = requireNonNull(route, "route is null");
        this.account = requireNonNull(account, "account is null");
        this.permitted = account.isEmpty();
    }

    /**
     * Requests the permission, unless it was granted before.
     *
     * @param onPermitted runs when the operation may run
     * @param onRejected receives the reason if it must not run
     */
    void requestPermission(Runnable onPermitted, Consumer<String> onRejected) {
        if (permitted) {
            onPermitted.run();
            return;
        }
        callback =
                Optional.of(
                        decision -> {
                            if (decision instanceof Decision.Rejected rejected) {
                                onRejected.accept(recordRejection(rejected));
                            } else {
                                permitted = true;
                                onPermitted.run();
                            }
                        });
        if (!requested) {
            requested = true;
            context.metrics().accounts().recordOperation(account.orElseThrow());
            context.operationLimiter().acquire(account.orElseThrow(), this::onDecision);
        }
    }

    /** Ignores the decision because the operation has ended. */
    void cancel() {
        callback = Optional.empty();
    }

    /** Returns the origin of the connection requests of a statement that arrived at a time. */
    RequestOrigin origin(long receivedNanos) {
        return new RequestOrigin(
                account, route.priority(), receivedNanos + route.targetLatency().toNanos());
    }

    private void onDecision(Decision decision) {
        Optional<Consumer<Decision>> receiver = callback;
        callback = Optional.empty();
        receiver.ifPresent(r -> r.accept(decision));
    }

    private String recordRejection(Decision.Rejected rejected) {
        // Rounded up: a client that retries a fraction of a millisecond early is rejected again.
        long millis = (rejected.retryAfter().toNanos() + 999_999) / 1_000_000;
        context.metrics().recordRejection(RejectionCause.ACCOUNT_LIMIT);
        return "account limit, retry after " + millis + " ms";
    }
}
