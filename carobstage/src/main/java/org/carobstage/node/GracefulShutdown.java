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
 * A graceful shutdown: first the balancer has time to turn away, then no new work is taken, then
 * what is in progress comes to its end, all within a limit.
 */
final class GracefulShutdown {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final ShutdownSettings settings;
    private final Clock clock;
    private final EventLog events;
    private final CallerServer caller;
    private final Proxy proxy;

    private GracefulShutdown(
            ShutdownSettings settings,
            Clock clock,
            EventLog events,
            CallerServer caller,
            Proxy proxy) {
        this.settings = settings;
        this.clock = clock;
        this.events = events;
        this.caller = caller;
        this.proxy = proxy;
    }

    static GracefulShutdown of(
            ShutdownSettings settings,
            Clock clock,
            EventLog events,
            CallerServer caller,
            Proxy proxy) {
        requireNonNull(settings, "settings is null");
        return new GracefulShutdown(settings, clock, events, caller, proxy);
    }

    /** Returns once callers have no more work here or the limit has passed. */
    void run() {
        String detail = "notice " + settings.deregistrationDelay().toMillis() + " ms";
        EventId started = events.record(EventCode.SHUTDOWN_STARTED, EventScope.empty(), detail);
        caller.startDraining();
        pause(settings.deregistrationDelay());
        caller.refuseNewWork();
        long end = clock.nanoTime() + settings.drainTimeout().toNanos();
        boolean ended = untilIdle(end);
        String left = caller.activeRequestCount() + " requests in progress";
        events.record(
                ended ? EventCode.SHUTDOWN_ENDED : EventCode.SHUTDOWN_CUT,
                EventScope.empty(),
                left,
                Optional.of(started));
        caller.close(Duration.ofNanos(Math.max(0, end - clock.nanoTime())));
    }

    private void pause(Duration duration) {
        CompletableFuture<Void> passed = new CompletableFuture<>();
        clock.schedule(() -> passed.complete(null), duration);
        passed.join();
    }

    private boolean untilIdle(long endNanos) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        poll(result, endNanos);
        return result.join();
    }

    private void poll(CompletableFuture<Boolean> result, long endNanos) {
        idle().thenAccept(
                        idle -> {
                            if (idle || clock.nanoTime() - endNanos >= 0) {
                                result.complete(idle);
                            } else {
                                clock.schedule(() -> poll(result, endNanos), POLL_INTERVAL);
                            }
                        });
    }

    private CompletionStage<Boolean> idle() {
        return proxy.openTransactionCount()
                .thenApply(n -> n == 0 && caller.activeRequestCount() == 0);
    }
}
