package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.ServiceGroup;

/** Tells services whether the store indicates that their primary is being replaced. */
final class StoredReplacement {
    private final Clock clock;
    private final FailoverVotes votes;
    private Optional<Long> restoredNanos = Optional.empty();

    StoredReplacement(Clock clock, FailoverVotes votes) {
        this.clock = requireNonNull(clock, "clock is null");
        this.votes = requireNonNull(votes, "votes is null");
    }

    /** Notes that votes and promotions which this process has not seen may have been lost. */
    void onStoreRestored() {
        restoredNanos = Optional.of(clock.nanoTime());
    }

    /** Passes to a service whether its primary may be replaced. */
    void indicate(ServiceGroup group, PromotionRecord promotion) {
        group.primaryCertainty()
                .setReplacementIndicated(
                        isRestoredRecently()
                                || group.leadership()
                                        .leader()
                                        .filter(leader -> isReplaced(group, leader, promotion))
                                        .isPresent());
    }

    private boolean isReplaced(ServiceGroup group, InstanceId leader, PromotionRecord promotion) {
        return votes.contains(group.name(), leader)
                || promotion.pending().filter(p -> !p.target().equals(leader)).isPresent();
    }

    private boolean isRestoredRecently() {
        restoredNanos =
                restoredNanos.filter(
                        at -> clock.nanoTime() - at < PendingPromotion.TIMEOUT.toNanos());
        return restoredNanos.isPresent();
    }
}
