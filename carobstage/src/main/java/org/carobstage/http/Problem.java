package org.carobstage.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.carobstage.error.ErrorCode;

/**
 * An error as {@code application/problem+json}.
 *
 * @param type the kind of problem, as a URI reference
 * @param title the name of the code
 * @param status the HTTP status
 * @param code the code
 * @param outcome {@code not-run} or {@code unknown}
 * @param detail what was seen
 * @param retryAfterMillis when a new try may help, in ms, or null
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
     * Describes a request that was not done.
     *
     * @param code why
     * @param outcome {@value #NOT_RUN} or {@code unknown}
     * @param detail what was seen
     * @param retryAfter when a new try may help
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
