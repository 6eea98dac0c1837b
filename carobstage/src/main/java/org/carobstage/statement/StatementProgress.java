package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Term;

/**
 * Progress of a statement over all its attempts.
 *
 * @param attemptCount the number of finished attempts
 * @param highestSentTerm the highest term under which it was sent and may still take effect, or
 *     empty if it has not run
 * @param isPrimaryOnly true if an attempt at a replica failed and the primary must run it
 * @param lastErrorCode the last reason why it could not run
 * @param detail what was observed last
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

    /** Rejects null components. */
    public StatementProgress {
        requireNonNull(highestSentTerm, "highestSentTerm is null");
        requireNonNull(lastErrorCode, "lastErrorCode is null");
        requireNonNull(detail, "detail is null");
    }

    /**
     * Returns the progress of a statement without attempts.
     *
     * @return the progress
     */
    public static StatementProgress empty() {
        return EMPTY;
    }

    /**
     * Adds an attempt that did not run.
     *
     * @param code the reason
     * @param detail what was observed
     * @return the new progress
     */
    public StatementProgress withRefusal(ErrorCode code, String detail) {
        return new StatementProgress(
                attemptCount + 1, highestSentTerm, isPrimaryOnly, code, detail);
    }

    /**
     * Adds an attempt that may have run.
     *
     * @param term the term under which it was sent
     * @param detail what was observed
     * @return the new progress
     */
    public StatementProgress withUnknownResult(Term term, String detail) {
        Term highest = highestSentTerm.filter(t -> t.isAfter(term)).orElse(term);
        return new StatementProgress(
                attemptCount + 1, Optional.of(highest), isPrimaryOnly, lastErrorCode, detail);
    }

    /**
     * Records the proof that no earlier attempt took or will take effect.
     *
     * @return the new progress
     */
    public StatementProgress withProvenNotRun() {
        return new StatementProgress(
                attemptCount, Optional.empty(), isPrimaryOnly, lastErrorCode, detail);
    }

    /**
     * Requires the primary for all further attempts.
     *
     * @return the new progress
     */
    public StatementProgress withPrimaryOnly() {
        return new StatementProgress(attemptCount, highestSentTerm, true, lastErrorCode, detail);
    }
}
