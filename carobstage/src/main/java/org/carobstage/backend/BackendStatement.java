package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * An SQL statement as sent to an instance.
 *
 * @param term the term under which it may run
 * @param sql the SQL text
 * @param parameters the values of its placeholders: strings, numbers, booleans or null
 * @param isReadOnly true if the instance must reject a change of data
 * @param minLogPosition the position that the instance's log must cover before the statement runs
 * @param key the idempotency key recorded in the same transaction as the change
 */
public record BackendStatement(
        Term term,
        String sql,
        List<Object> parameters,
        boolean isReadOnly,
        LogPosition minLogPosition,
        Optional<IdempotencyKey> key) {
    /** Rejects null components. */
    public BackendStatement {
        requireNonNull(term, "term is null");
        requireNonNull(sql, "sql is null");
        requireNonNull(parameters, "parameters is null");
        requireNonNull(minLogPosition, "minLogPosition is null");
        requireNonNull(key, "key is null");
    }
}
