package org.carobstage.failover;

import java.util.Optional;
import org.carobstage.model.LogPosition;

/** What the votes tell about the commits that a failover must keep. */
interface FailoverEvidence {
    /**
     * Returns whether every process has voted, so that none sends writes to the old primary.
     *
     * @return false while the vote of a process is missing
     */
    boolean areAllWritersFenced();

    /**
     * Returns the newest commit that any process may have acknowledged.
     *
     * @param otherReplicasStopped whether the replicas that were not paused hold no commit that the
     *     paused ones lack
     * @return the position, or empty if it is not known
     */
    Optional<LogPosition> acknowledgedPosition(boolean otherReplicasStopped);

    /**
     * Describes the votes, the members and the registered instances for the log.
     *
     * @return the description
     */
    String describe();
}
