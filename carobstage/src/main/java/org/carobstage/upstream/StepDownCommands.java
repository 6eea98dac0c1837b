package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.sql.Statement;

/** Tells a primary that was replaced while it was unreachable that its term has ended. */
final class StepDownCommands {
    /** The interval at which a former primary that still reports to lead is told to step down. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final ServiceGroup group;
    private final UpstreamContext context;
    private long notBeforeNanos;

    private StepDownCommands(ServiceGroup group, UpstreamContext context) {
        this.group = requireNonNull(group, "group is null");
        this.context = requireNonNull(context, "context is null");
        this.notBeforeNanos = context.clock().nanoTime();
    }

    static StepDownCommands of(ServiceGroup group, UpstreamContext context) {
        return new StepDownCommands(group, context);
    }

    /** Sends the command to an instance unless it was sent within the interval. */
    void request(InstanceId id) {
        long nowNanos = context.clock().nanoTime();
        if (nowNanos - notBeforeNanos >= 0) {
            notBeforeNanos = nowNanos + INTERVAL.toNanos();
            // The only connection may still be in use for the report; it is released afterwards.
            context.clock().schedule(() -> send(id), Duration.ZERO);
        }
    }

    private void send(InstanceId id) {
        Statement.StepDown command = new Statement.StepDown(group.leadership().term());
        if (group.trySendControlCommand(id, command, response -> {})) {
            context.events()
                    .record(
                            EventCode.STEP_DOWN_REQUESTED,
                            EventScope.of(GroupId.of(group.name().value())),
                            "instance=" + id + " term=" + command.term());
        }
    }
}
