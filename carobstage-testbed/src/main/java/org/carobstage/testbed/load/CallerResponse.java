package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.testbed.history.Operation.Outcome;

/**
 * The response of an entry VM to a statement request.
 *
 * @param outcome the outcome of the statement
 * @param errorDetail the code and detail of an error, or an empty string
 * @param result the result of a statement that ran
 * @param sessionToken the new session token, if any
 */
public record CallerResponse(
        Outcome outcome,
        String errorDetail,
        Optional<StatementResultMessage> result,
        Optional<String> sessionToken) {
    /** Rejects null components. */
    public CallerResponse {
        requireNonNull(outcome, "outcome is null");
        requireNonNull(errorDetail, "errorDetail is null");
        requireNonNull(result, "result is null");
        requireNonNull(sessionToken, "sessionToken is null");
    }

    static CallerResponse error(Outcome outcome, String errorDetail) {
        return new CallerResponse(outcome, errorDetail, Optional.empty(), Optional.empty());
    }
}
