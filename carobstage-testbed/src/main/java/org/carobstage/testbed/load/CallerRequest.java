package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * A statement request of a caller to an entry VM.
 *
 * @param service the name of the service
 * @param requestClass the request class
 * @param group the database group
 * @param sql the SQL text
 * @param parameters the values of the placeholders
 * @param sessionToken the token of the latest response in the session, if any
 * @param idempotencyKey the idempotency key, if any
 */
public record CallerRequest(
        String service,
        String requestClass,
        String group,
        String sql,
        List<Object> parameters,
        Optional<String> sessionToken,
        Optional<String> idempotencyKey) {
    /** Rejects null components and copies the collections. */
    public CallerRequest {
        requireNonNull(service, "service is null");
        requireNonNull(requestClass, "requestClass is null");
        requireNonNull(group, "group is null");
        requireNonNull(sql, "sql is null");
        parameters = List.copyOf(parameters);
        requireNonNull(sessionToken, "sessionToken is null");
        requireNonNull(idempotencyKey, "idempotencyKey is null");
    }
}
