package org.carobstage.node;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.caller.CallerServer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventId;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;
import org.carobstage.settings.ShutdownSettings;

/**
 * Shuts the process down gracefully: first waits while the load balancer deregisters the process,
 * then rejects new requests and waits for the requests and transactions in progress, up to the
 * drain timeout.
 */
final class GracefulShutdown {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final ShutdownSettings settings;
    private final Clock clock;
    private final EventLog events;
    private final CallerServer callerServer;
    private final Proxy proxy;

    private GracefulShutdown(
            ShutdownSettings settings,
            Clock clock,
            EventLog events,
            CallerServer callerServer,
            Proxy proxy) {
        this.settings = settings;
        this.clock = clock;
        this.events = events;
        this.callerServer = callerServer;
        this.proxy = proxy;
    }

    static GracefulShutdown of(
            ShutdownSettings settings,
            Clock clock,
            EventLog events,
            CallerServer callerServer,
            Proxy proxy) {
        requireNonNull(settings, "settings is null");
        return new GracefulShutdown(settings, clock, events, callerServer, proxy);
    }

    /** Returns once no request or transaction is in progress or the drain timeout has passed. */
    void run() {
        String startDetail = "notice " + settings.deregistrationDelay().toMillis() + " ms";
        EventId started =
                events.record(EventCode.SHUTDOWN_STARTED, EventScope.empty(), startDetail);
        callerServer.startDraining();
        sleep(settings.deregistrationDelay());
        callerServer.rejectNewRequests();
        long deadlineNanos = clock.nanoTime() + settings.drainTimeout().toNanos();
        boolean drained = awaitIdle(deadlineNanos);
        String endDetail = callerServer.activeRequestCount() + " requests in progress";
        events.record(
                drained ? EventCode.SHUTDOWN_ENDED : EventCode.SHUTDOWN_CUT,
                EventScope.empty(),
                endDetail,
                Optional.of(started));
        callerServer.close(Duration.ofNanos(Math.max(0, deadlineNanos - clock.nanoTime())));
    }

    private void sleep(Duration duration) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        clock.schedule(() -> elapsed.complete(null), duration);
        elapsed.join();
    }

    private boolean awaitIdle(long deadlineNanos) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        poll(result, deadlineNanos);
        return result.join();
    }

    private void poll(CompletableFuture<Boolean> result, long deadlineNanos) {
        isIdle().thenAccept(
                        idle -> {
                            if (idle || clock.nanoTime() - deadlineNanos >= 0) {
                                result.complete(idle);
                            } else {
                                clock.schedule(() -> poll(result, deadlineNanos), POLL_INTERVAL);
                            }
                        });
    }

    private CompletionStage<Boolean> isIdle() {
        return proxy.openTransactionCount()
                .thenApply(openCount -> openCount == 0 && callerServer.activeRequestCount() == 0);
    }
}
