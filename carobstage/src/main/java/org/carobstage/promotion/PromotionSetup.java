package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.carobstage.event.EventLog;

/**
 * What promotions in this process need besides the group.
 *
 * @param rank orders the VMs that may propose
 * @param tags gives the bits that tell this proposal from every other
 * @param events records what is decided
 * @param announce records a complete promotion for the operators
 */
public record PromotionSetup(
        ProposerRank rank, IntSupplier tags, EventLog events, Consumer<Announcement> announce) {
    /** Checks the setup. */
    public PromotionSetup {
        requireNonNull(rank, "rank is null");
        requireNonNull(tags, "tags is null");
        requireNonNull(events, "events is null");
        requireNonNull(announce, "announce is null");
    }

    /**
     * Creates the setup of a process that knows no other and announces nothing.
     *
     * @param events records what is decided
     * @return the setup
     */
    public static PromotionSetup of(EventLog events) {
        return new PromotionSetup(
                ProposerRank.alone(), new SecureRandom()::nextInt, events, announcement -> {});
    }

    /**
     * Replaces the announcer.
     *
     * @param next records a complete promotion for the operators
     * @return the new setup
     */
    public PromotionSetup withAnnouncer(Consumer<Announcement> next) {
        return new PromotionSetup(rank, tags, events, next);
    }

    /**
     * Replaces the order of proposers.
     *
     * @param next orders the VMs that may propose
     * @return the new setup
     */
    public PromotionSetup withRank(ProposerRank next) {
        return new PromotionSetup(next, tags, events, announce);
    }

    /**
     * Replaces the source of tags.
     *
     * @param next gives the bits that tell this proposal from every other
     * @return the new setup
     */
    public PromotionSetup withTags(IntSupplier next) {
        return new PromotionSetup(rank, next, events, announce);
    }
}
