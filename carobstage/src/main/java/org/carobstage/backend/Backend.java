package org.carobstage.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** One instance of a database group, as the decisions see it. */
public interface Backend extends AutoCloseable {
    /**
     * Returns the description of the instance.
     *
     * @return the description
     */
    InstanceSpec spec();

    /**
     * Opens a connection, which is slow and counts against the instance's limit.
     *
     * @param timeout how long to wait
     * @return the connection; the stage fails if none could be opened
     */
    CompletionStage<BackendConnection> openConnection(Duration timeout);

    /**
     * Asks the instance for its standing, which needs no slot.
     *
     * @param atLeast the instance may hold the answer back until its log covers this position
     * @param wait the longest time the instance may hold the answer back
     * @param timeout how long to wait for the answer
     * @return the standing, or empty if no answer came
     */
    CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition atLeast, Duration wait, Duration timeout);

    /**
     * Asks the instance to promise a term and refuse every lower one.
     *
     * @param term the term
     * @param timeout how long to wait for the answer
     * @return the standing after the request, or empty if no answer came
     */
    CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout);

    /**
     * Makes the instance the primary of a term that it has promised.
     *
     * @param term the term
     * @param timeout how long to wait for the answer
     * @return the standing after the request, or empty if no answer came
     */
    CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout);

    /**
     * Makes the instance replicate from the primary of a term.
     *
     * @param term the term
     * @param primary the primary
     * @param timeout how long to wait for the answer
     * @return the standing after the request, or empty if no answer came
     */
    CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout);

    /** Closes all connections to the instance. */
    @Override
    void close();
}
