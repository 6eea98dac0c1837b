package org.carobstage.failover;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/** What the votes and the store tell about the commits that a failover must keep. */
interface FailoverEvidence {
    /**
     * Returns whether every process has voted and awaits no response to a write, so that the old
     * primary acknowledges nothing more.
     *
     * @return false while the vote of a process is missing or its writes have not ended
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
     * Returns the replicas that are not registered, but may hold acknowledged commits.
     *
     * @return their ids, without the old primary
     */
    List<InstanceId> absentReplicas();

    /**
     * Describes the votes, the members, the registered instances and the absent ones for the log.
     *
     * @return the description
     */
    String describe();
}
