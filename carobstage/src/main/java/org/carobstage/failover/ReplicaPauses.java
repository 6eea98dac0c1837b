package org.carobstage.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.InstanceConnection.StatusResponse;
import org.carobstage.upstream.ServiceGroup;

/**
 * The replicas that one failover pauses, with the log positions that they report. An instance
 * ignores a term that it has already seen, so that a pause counts only if its answer confirms it. A
 * primary does not pause.
 */
final class ReplicaPauses {
    /** The delay before a pause that had no effect is requested again, with a higher term. */
    private static final Duration HIGHER_TERM_DELAY = Duration.ofMillis(5);

    private final FailoverContext context;
    private final ServiceGroup group;
    private final Map<InstanceId, InstanceStatus> paused = new HashMap<>();
    private final Set<InstanceId> pending = new HashSet<>();
    private Term term;
    private boolean ended;

    ReplicaPauses(FailoverContext context, ServiceGroup group) {
        this.context = context;
        this.group = group;
        this.term =
                group.instances().stream()
                        .map(e -> group.status(e.id()))
                        .flatMap(Optional::stream)
                        .map(s -> s.term().isAfter(s.pausedTerm()) ? s.term() : s.pausedTerm())
                        .reduce(group.leadership().term(), (a, b) -> a.isAfter(b) ? a : b)
                        .next();
    }

    static boolean isPaused(InstanceStatus status) {
        return !status.isPrimary() && status.pausedTerm().isAfter(Term.ZERO);
    }

    /** Returns the term of the next pause. */
    Term term() {
        return term;
    }

    boolean isPaused(InstanceId id) {
        return paused.containsKey(id);
    }

    boolean areAllPaused(Collection<InstanceId> ids) {
        return paused.keySet().containsAll(ids);
    }

    /** Returns the end of the log that a paused replica has received. */
    LogPosition receivedPosition(InstanceId id) {
        return paused.get(id).receivedPosition();
    }

    /** Requests a pause of the replicas that are not paused yet. */
    void request(Collection<InstanceId> ids) {
        ids.stream().filter(id -> !pending.contains(id) && !isPaused(id)).forEach(this::request);
    }

    /** Requests a pause of all replicas again, since one that has restarted is not paused. */
    void renew(Collection<InstanceId> ids) {
        ids.stream().filter(id -> !pending.contains(id)).forEach(this::request);
    }

    /** Sends no further pauses; the replicas stay paused. */
    void end() {
        ended = true;
    }

    /** Resumes replicas, whether or not they have confirmed their pause. */
    void resume(Collection<InstanceId> ids) {
        ids.forEach(this::resume);
    }

    private void request(InstanceId id) {
        if (ended) {
            return;
        }
        long sentNanos = context.clock().nanoTime();
        Term requested = term;
        boolean sent =
                group.trySendControlCommand(
                        id,
                        new Statement.PauseReplication(requested),
                        response -> onAnswer(id, requested, sentNanos, response));
        if (sent) {
            pending.add(id);
        }
    }

    private void onAnswer(InstanceId id, Term requested, long sentNanos, StatusResponse response) {
        pending.remove(id);
        boolean confirmed = response.status().filter(ReplicaPauses::isPaused).isPresent();
        if (!confirmed || !isPaused(id)) {
            Duration took = Duration.ofNanos(context.clock().nanoTime() - sentNanos);
            record(
                    EventCode.REPLICA_PAUSED,
                    id,
                    "term="
                            + requested
                            + " took_ms="
                            + took.toMillis()
                            + " status="
                            + response.status());
        }
        response.status().filter(s -> !s.isPrimary()).ifPresent(s -> onReplicaStatus(id, s));
    }

    private void onReplicaStatus(InstanceId id, InstanceStatus status) {
        if (isPaused(status)) {
            paused.put(id, status);
        } else {
            term = term.next();
            context.clock().schedule(() -> request(Set.of(id)), HIGHER_TERM_DELAY);
        }
    }

    private void resume(InstanceId id) {
        boolean sent =
                group.trySendControlCommand(
                        id,
                        new Statement.ResumeReplication(),
                        response ->
                                record(
                                        EventCode.REPLICA_RESUMED,
                                        id,
                                        "status=" + response.status()));
        if (!sent) {
            record(EventCode.REPLICA_RESUMED, id, "not sent, no connection is idle");
        }
    }

    private void record(EventCode code, InstanceId id, String detail) {
        context.record(code, group.name(), "instance=" + id + " " + detail);
    }
}
