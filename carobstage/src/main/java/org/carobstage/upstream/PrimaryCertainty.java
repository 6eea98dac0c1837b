package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Supplier;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.InstanceId;

/**
 * Determines whether the known primary of a service is certain not to have been replaced. It is not
 * while the store holds votes or promotions, while its entry is missing or draining, while another
 * instance has registered as primary, or while it does not respond.
 */
public final class PrimaryCertainty {
    private final LeaderTracker leader;
    private final InstancePools pools;
    private final Supplier<Optional<InstanceConnectionPool>> primaryPool;
    private boolean indicatedByStore;

    PrimaryCertainty(
            LeaderTracker leader,
            InstancePools pools,
            Supplier<Optional<InstanceConnectionPool>> primaryPool) {
        this.leader = requireNonNull(leader, "leader is null");
        this.pools = requireNonNull(pools, "pools is null");
        this.primaryPool = requireNonNull(primaryPool, "primaryPool is null");
    }

    /**
     * Sets until when the changes of the store are known.
     *
     * @param observedAt the time
     */
    public void setStoreObservedAt(ClockReading observedAt) {
        leader.leadershipProof().setStoreObservedAt(observedAt);
    }

    /**
     * Sets whether the store holds votes to replace the primary, or the promotion of another
     * instance.
     *
     * @param indicated true as long as it does
     */
    public void setReplacementIndicated(boolean indicated) {
        indicatedByStore = indicated;
        update();
    }

    /**
     * Returns whether an instance that acts as primary is certain to be the current one.
     *
     * @return true if its reports need no confirmation
     */
    public boolean isCertain() {
        return primaryPool.get().isPresent() && leader.quorum().isPrimarySufficient();
    }

    /**
     * Returns whether a read of a primary route runs on the connection on which the primary
     * confirms that it leads. Where connections are opened on demand, a status query and the read
     * that waits for it would open one each.
     *
     * @return false if such a read waits for a read index
     */
    public boolean confirmsOnConnection() {
        return pools.quota().belowOne() && isCertain();
    }

    /** Applies a change of the leader, of an entry or of a suspicion. */
    void update() {
        boolean indicated =
                leader.leadership()
                        .leader()
                        .filter(id -> !isServing(id) || isAnotherRegistered(id))
                        .isPresent();
        leader.leadershipProof().setReplacementIndicated(indicatedByStore || indicated);
    }

    private boolean isServing(InstanceId primary) {
        return pools.find(primary)
                .filter(pool -> !pool.entry().draining() && !pool.isSuspected())
                .isPresent();
    }

    private boolean isAnotherRegistered(InstanceId primary) {
        return pools.entries().stream()
                .filter(InstanceEntry::primary)
                .anyMatch(entry -> !entry.id().equals(primary));
    }
}
