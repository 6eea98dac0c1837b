package org.carobstage.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.carobstage.error.ErrorCode;

/**
 * An error response in the format {@code application/problem+json}.
 *
 * @param type the kind of problem, as a URI reference
 * @param title the name of the error code, in lower case
 * @param status the HTTP status
 * @param code the error code, such as {@code CS-1001}
 * @param outcome {@code not-run} or {@code unknown}
 * @param detail a description of the cause
 * @param retryAfterMillis the delay after which a retry may succeed, in ms, or null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
        String type,
        String title,
        int status,
        String code,
        String outcome,
        String detail,
        Long retryAfterMillis) {
    /** The outcome of a request that did not run. */
    public static final String NOT_RUN = "not-run";

    /**
     * Creates the problem of a request that did not run or whose outcome is unknown.
     *
     * @param code the error code
     * @param outcome {@value #NOT_RUN} or {@code unknown}
     * @param detail a description of the cause
     * @param retryAfter the delay after which a retry may succeed
     * @return the problem
     */
    public static Problem of(
            ErrorCode code, String outcome, String detail, Optional<Duration> retryAfter) {
        return new Problem(
                "about:blank",
                code.name().toLowerCase(Locale.ROOT),
                code.httpStatus(),
                code.code(),
                outcome,
                detail,
                retryAfter.map(Duration::toMillis).orElse(null));
    }
}
