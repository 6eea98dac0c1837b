package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.caller.CallerMessages.DoneMessage;
import org.carobstage.testbed.history.Operation.Outcome;

/**
 * What a caller is told of a call.
 *
 * @param outcome the outcome
 * @param detail the code and detail of an error, or empty text
 * @param done the answer of a statement that ran
 * @param token the new session token
 */
public record CallReply(
        Outcome outcome, String detail, Optional<DoneMessage> done, Optional<String> token) {
    /** Checks the reply. */
    public CallReply {
        requireNonNull(outcome, "outcome is null");
        requireNonNull(detail, "detail is null");
        requireNonNull(done, "done is null");
        requireNonNull(token, "token is null");
    }

    static CallReply error(Outcome outcome, String detail) {
        return new CallReply(outcome, detail, Optional.empty(), Optional.empty());
    }
}
