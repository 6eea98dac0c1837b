package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * A statement as a caller sends it.
 *
 * @param service the service
 * @param requestClass the request class
 * @param group the database group
 * @param sql the text
 * @param parameters the values of the placeholders
 * @param token the session token, if there is one yet
 * @param key the idempotency key, if it has one
 */
public record CallerRequest(
        String service,
        String requestClass,
        String group,
        String sql,
        List<Object> parameters,
        Optional<String> sessionToken,
        Optional<String> idempotencyKey) {
    /** Checks the call. */
    public CallerRequest {
        requireNonNull(service, "service is null");
        requireNonNull(requestClass, "requestClass is null");
        requireNonNull(group, "group is null");
        requireNonNull(sql, "sql is null");
        parameters = List.copyOf(parameters);
        requireNonNull(sessionToken, "token is null");
        requireNonNull(idempotencyKey, "key is null");
    }
}
