package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.Moment;
import org.carobstage.freshness.PrimaryPositions;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;

/**
 * Which instance leads a service, how far its log has come, and whether it acknowledges commits.
 */
final class LeaderTracker {
    private final ServiceName service;
    private final UpstreamContext context;
    private final Runnable whenChanged;
    private final PrimaryPositions positions = PrimaryPositions.empty();
    private final Map<InstanceId, InstanceStatus> statuses = new TreeMap<>();
    private final PrimaryOutlook outlook;
    private Leadership leadership = Leadership.empty();
    private CommitBreaker commits = CommitBreaker.empty();

    LeaderTracker(ServiceName service, UpstreamContext context, Runnable whenChanged) {
        this.service = requireNonNull(service, "service is null");
        this.context = requireNonNull(context, "context is null");
        this.whenChanged = requireNonNull(whenChanged, "whenChanged is null");
        this.outlook = PrimaryOutlook.atStart(context.clock().nanoTime());
    }

    Leadership leadership() {
        return leadership;
    }

    PrimaryPositions positions() {
        return positions;
    }

    CommitBreaker commits() {
        return commits;
    }

    PrimaryOutlook outlook() {
        return outlook;
    }

    Optional<InstanceStatus> status(InstanceId id) {
        return Optional.ofNullable(statuses.get(id));
    }

    /** Takes over that an instance ran a statement that only a primary runs. */
    void provedLead(InstanceId id, LogPosition position, Moment asked) {
        set(leadership.leads(id, position.term()), "it ran a statement as primary");
        addPosition(id, position, asked);
    }

    /** Takes over that an instance refused a statement as a replica. */
    void refused(InstanceId id) {
        set(leadership.refused(id), "it refused a statement as replica");
    }

    /** Takes over what an instance said of itself. */
    void status(InstanceId id, InstanceStatus status, Moment asked) {
        statuses.put(id, status);
        if (status.primary()) {
            set(leadership.leads(id, status.term()), "its status says so");
            addPosition(id, status.received(), asked);
        } else {
            set(leadership.follows(id, status.term()), "its status says replica");
        }
    }

    /** Takes over that an instance does not answer. */
    void suspected(InstanceId id) {
        if (leadership.isLeader(id)) {
            outlook.primaryLost(context.clock().nanoTime());
        }
    }

    void remove(InstanceId id) {
        statuses.remove(id);
        set(leadership.refused(id), "the instance is gone");
    }

    private void addPosition(InstanceId id, LogPosition position, Moment asked) {
        if (leadership.isLeader(id)) {
            positions.add(position, asked, Moment.of(context.clock()));
        }
    }

    private void set(Leadership next, String reason) {
        boolean changed = !next.leader().equals(leadership.leader());
        leadership = next;
        if (!changed) {
            return;
        }
        commits = CommitBreaker.empty();
        if (next.leader().isEmpty()) {
            outlook.primaryReplaced(context.clock().nanoTime());
        }
        String leader = next.leader().map(InstanceId::value).orElse("none");
        context.events()
                .record(
                        EventCode.PRIMARY_KNOWN,
                        EventScope.of(GroupId.of(service.value())),
                        "primary=" + leader + " term=" + next.term() + " reason=" + reason);
        whenChanged.run();
    }
}
