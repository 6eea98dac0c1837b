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
public record Progress(
        int tries, Optional<Term> sentAt, boolean primaryOnly, ErrorCode refusal, String detail) {
    private static final Progress EMPTY =
            new Progress(0, Optional.empty(), false, ErrorCode.NO_INSTANCE, "no primary is known");

    /** Checks the progress. */
    public Progress {
        requireNonNull(sentAt, "sentAt is null");
        requireNonNull(refusal, "refusal is null");
        requireNonNull(detail, "detail is null");
    }

    /**
     * Returns the progress of a statement that has not been tried.
     *
     * @return the progress
     */
    public static Progress empty() {
        return EMPTY;
    }

    /**
     * Adds a try that did not run.
     *
     * @param code why
     * @param seen what was seen
     * @return the new progress
     */
    public Progress refused(ErrorCode code, String seen) {
        return new Progress(tries + 1, sentAt, primaryOnly, code, seen);
    }

    /**
     * Adds a try that may have run.
     *
     * @param term the term under which it was sent
     * @param seen what was seen
     * @return the new progress
     */
    public Progress mayHaveRun(Term term, String seen) {
        Term highest = sentAt.filter(t -> t.isAfter(term)).orElse(term);
        return new Progress(tries + 1, Optional.of(highest), primaryOnly, refusal, seen);
    }

    /**
     * Notes the proof that no earlier try took or will take effect.
     *
     * @return the new progress
     */
    public Progress provedNotRun() {
        return new Progress(tries, Optional.empty(), primaryOnly, refusal, detail);
    }

    /**
     * Demands the primary from now on.
     *
     * @return the new progress
     */
    public Progress atPrimary() {
        return new Progress(tries, sentAt, true, refusal, detail);
    }
}
