package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Term;

/**
 * What has become of a statement so far, over all its tries.
 *
 * @param tries how many tries have ended
 * @param sentAt the highest term under which it was sent and may still take effect, or empty if it
 *     has not run
 * @param primaryOnly true if a replica has failed it and the primary must serve it
 * @param refusal the last reason why it could not run
 * @param detail what was seen last
 */
public record StatementProgress(
        int attemptCount,
        Optional<Term> highestSentTerm,
        boolean isPrimaryOnly,
        ErrorCode lastErrorCode,
        String detail) {
    private static final StatementProgress EMPTY =
            new StatementProgress(
                    0, Optional.empty(), false, ErrorCode.NO_INSTANCE, "no primary is known");

    /** Checks the progress. */
    public StatementProgress {
        requireNonNull(highestSentTerm, "sentAt is null");
        requireNonNull(lastErrorCode, "refusal is null");
        requireNonNull(detail, "detail is null");
    }

    /**
     * Returns the progress of a statement that has not been tried.
     *
     * @return the progress
     */
    public static StatementProgress empty() {
        return EMPTY;
    }

    /**
     * Adds a try that did not run.
     *
     * @param code why
     * @param seen what was seen
     * @return the new progress
     */
    public StatementProgress withRefusal(ErrorCode code, String seen) {
        return new StatementProgress(attemptCount + 1, highestSentTerm, isPrimaryOnly, code, seen);
    }

    /**
     * Adds a try that may have run.
     *
     * @param term the term under which it was sent
     * @param seen what was seen
     * @return the new progress
     */
    public StatementProgress withUnknownResult(Term term, String seen) {
        Term highest = highestSentTerm.filter(t -> t.isAfter(term)).orElse(term);
        return new StatementProgress(
                attemptCount + 1, Optional.of(highest), isPrimaryOnly, lastErrorCode, seen);
    }

    /**
     * Notes the proof that no earlier try took or will take effect.
     *
     * @return the new progress
     */
    public StatementProgress withProvenNotRun() {
        return new StatementProgress(
                attemptCount, Optional.empty(), isPrimaryOnly, lastErrorCode, detail);
    }

    /**
     * Demands the primary from now on.
     *
     * @return the new progress
     */
    public StatementProgress withPrimaryOnly() {
        return new StatementProgress(attemptCount, highestSentTerm, true, lastErrorCode, detail);
    }
}
