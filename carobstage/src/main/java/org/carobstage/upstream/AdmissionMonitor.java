package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.ServiceName;
import org.carobstage.upstream.LoadShedding.Cause;

/** The counters and log lines of admission by priority. */
final class AdmissionMonitor {
    /** At most one line of a kind per service in this time; the counters count everything. */
    private static final Duration LINE_INTERVAL = Duration.ofSeconds(1);

    private final UpstreamContext context;
    private final EventScope scope;
    private final Map<EventCode, Long> lineNotBefore = new EnumMap<>(EventCode.class);
    private int rejectedSinceLine;

    AdmissionMonitor(UpstreamContext context, ServiceName service) {
        this.context = requireNonNull(context, "context is null");
        this.scope = EventScope.of(GroupId.of(service.value()));
    }

    void recordGranted(WaitingRequest granted, long nowNanos) {
        String label = label(granted.request());
        add("admission_granted_total{" + label + "}", 1);
        add(
                "admission_wait_millis_total{" + label + "}",
                toMillis(nowNanos - granted.queuedNanos()));
    }

    void recordRejected(ConnectionRequest request, Cause cause, Duration retryAfter) {
        String label = label(request);
        add("admission_rejected_total{" + label + ",cause=\"" + cause.label() + "\"}", 1);
        add("admission_retry_after_millis_total{" + label + "}", retryAfter.toMillis());
        rejectedSinceLine++;
        boolean logged =
                log(
                        EventCode.REQUESTS_SHED,
                        label
                                + " cause="
                                + cause.label()
                                + " retry_after_ms="
                                + retryAfter.toMillis()
                                + " rejected="
                                + rejectedSinceLine);
        rejectedSinceLine = logged ? 0 : rejectedSinceLine;
    }

    void recordHeldBack(ConnectionRequest request, InstanceConnectionPool pool, Duration delay) {
        add("admission_held_back_total{" + label(request) + "}", 1);
        log(
                EventCode.DISPATCH_HELD_BACK,
                label(request)
                        + " instance="
                        + pool.entry().id()
                        + " delay_ms="
                        + delay.toMillis());
    }

    void recordReserved(ConnectionRequest request, InstanceConnectionPool pool) {
        add("admission_reserved_total{" + label(request) + "}", 1);
        log(EventCode.CONNECTION_RESERVED, label(request) + " instance=" + pool.entry().id());
    }

    void recordPreempted(PoolEntry connection, Duration idle) {
        add("transactions_preempted_total", 1);
        context.events()
                .record(
                        EventCode.TRANSACTION_PREEMPTED,
                        scope,
                        "instance=" + connection.instance().id() + " idle_ms=" + idle.toMillis());
    }

    private boolean log(EventCode code, String detail) {
        long nowNanos = context.clock().nanoTime();
        boolean due =
                Optional.ofNullable(lineNotBefore.get(code))
                        .filter(t -> nowNanos - t < 0)
                        .isEmpty();
        if (due) {
            lineNotBefore.put(code, nowNanos + LINE_INTERVAL.toNanos());
            context.events().record(code, scope, detail);
        }
        return due;
    }

    private void add(String name, long value) {
        context.metrics().accept(name, value);
    }

    private static String label(ConnectionRequest request) {
        return "priority=\"" + request.origin().priority() + "\"";
    }

    private static long toMillis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
