package org.carobstage.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** One instance of a database group. */
public interface Backend extends AutoCloseable {
    /**
     * Returns the description of the instance.
     *
     * @return the description
     */
    InstanceSpec spec();

    /**
     * Opens a connection, which is slow and counts against the instance's connection limit.
     *
     * @param timeout how long to wait
     * @return the connection; the stage fails if it could not be opened
     */
    CompletionStage<BackendConnection> openConnection(Duration timeout);

    /**
     * Requests the replication status of the instance, which needs no slot.
     *
     * @param minLogPosition the instance may delay the response until its log covers this position
     * @param wait the maximum delay of the response at the instance
     * @param timeout how long to wait for the response
     * @return the status, or empty if no response arrived
     */
    CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition minLogPosition, Duration wait, Duration timeout);

    /**
     * Requests the instance to promise a term and reject every lower one.
     *
     * @param term the term
     * @param timeout how long to wait for the response
     * @return the status after the request, or empty if no response arrived
     */
    CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout);

    /**
     * Makes the instance the primary of a term that it has promised.
     *
     * @param term the term
     * @param timeout how long to wait for the response
     * @return the status after the request, or empty if no response arrived
     */
    CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout);

    /**
     * Makes the instance replicate from the primary of a term.
     *
     * @param term the term
     * @param primary the primary
     * @param timeout how long to wait for the response
     * @return the status after the request, or empty if no response arrived
     */
    CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout);

    /** Closes all connections to the instance. */
    @Override
    void close();
}
