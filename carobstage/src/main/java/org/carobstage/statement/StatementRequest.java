package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.carobstage.document.RequestPolicy;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;
import org.carobstage.session.SessionPositions;

/**
 * A caller's statement, ready to run.
 *
 * @param service the service it belongs to
 * @param group the group it goes to
 * @param sql the SQL text, empty for a look-up
 * @param parameters the values of the placeholders
 * @param policy the policy that the team's document sets for it
 * @param sessionPositions the log positions that the caller's session has observed, or empty
 *     without a readable token
 * @param key the idempotency key, if the caller gave one
 * @param deadlineNanos when the caller's patience ends, in ns of the monotonic clock
 */
public record StatementRequest(
        ServiceName service,
        GroupId group,
        String sql,
        List<Object> parameters,
        RequestPolicy policy,
        Optional<SessionPositions> sessionPositions,
        Optional<IdempotencyKey> key,
        long deadlineNanos) {
    /** Rejects null components. */
    public StatementRequest {
        requireNonNull(service, "service is null");
        requireNonNull(group, "group is null");
        requireNonNull(sql, "sql is null");
        requireNonNull(parameters, "parameters is null");
        requireNonNull(policy, "policy is null");
        requireNonNull(sessionPositions, "sessionPositions is null");
        requireNonNull(key, "key is null");
    }

    /**
     * Creates a request that only looks up the outcome of a write.
     *
     * @param service the service it belonged to
     * @param group the group it went to
     * @param policy the policy it had
     * @param key the key of the write
     * @param deadlineNanos when the look-up ends, in ns of the monotonic clock
     * @return the request, which no instance ever runs
     */
    public static StatementRequest lookUp(
            ServiceName service,
            GroupId group,
            RequestPolicy policy,
            IdempotencyKey key,
            long deadlineNanos) {
        return new StatementRequest(
                service,
                group,
                "",
                List.of(),
                policy,
                Optional.empty(),
                Optional.of(key),
                deadlineNanos);
    }

    /**
     * Returns whether the request only looks up the outcome of a write.
     *
     * @return true if there is no statement to run
     */
    public boolean isLookUp() {
        return sql.isEmpty();
    }
}
