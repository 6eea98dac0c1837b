package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.testbed.history.Operation.Outcome;

/**
 * What a caller is told of a call.
 *
 * @param outcome the outcome
 * @param detail the code and detail of an error, or empty text
 * @param done the answer of a statement that ran
 * @param token the new session token
 */
public record CallerResponse(
        Outcome outcome,
        String errorDetail,
        Optional<StatementResultMessage> result,
        Optional<String> sessionToken) {
    /** Checks the reply. */
    public CallerResponse {
        requireNonNull(outcome, "outcome is null");
        requireNonNull(errorDetail, "detail is null");
        requireNonNull(result, "done is null");
        requireNonNull(sessionToken, "token is null");
    }

    static CallerResponse error(Outcome outcome, String detail) {
        return new CallerResponse(outcome, detail, Optional.empty(), Optional.empty());
    }
}
