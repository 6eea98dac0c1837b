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
public record PromotionContext(
        ProposerRanking proposerRanking,
        IntSupplier tagSource,
        EventLog events,
        Consumer<PromotionAnnouncement> announcer) {
    /** Checks the setup. */
    public PromotionContext {
        requireNonNull(proposerRanking, "rank is null");
        requireNonNull(tagSource, "tags is null");
        requireNonNull(events, "events is null");
        requireNonNull(announcer, "announce is null");
    }

    /**
     * Creates the setup of a process that knows no other and announces nothing.
     *
     * @param events records what is decided
     * @return the setup
     */
    public static PromotionContext of(EventLog events) {
        return new PromotionContext(
                ProposerRanking.singleProposer(),
                new SecureRandom()::nextInt,
                events,
                announcement -> {});
    }

    /**
     * Replaces the announcer.
     *
     * @param next records a complete promotion for the operators
     * @return the new setup
     */
    public PromotionContext withAnnouncer(Consumer<PromotionAnnouncement> next) {
        return new PromotionContext(proposerRanking, tagSource, events, next);
    }

    /**
     * Replaces the order of proposers.
     *
     * @param next orders the VMs that may propose
     * @return the new setup
     */
    public PromotionContext withProposerRanking(ProposerRanking next) {
        return new PromotionContext(next, tagSource, events, announcer);
    }

    /**
     * Replaces the source of tags.
     *
     * @param next gives the bits that tell this proposal from every other
     * @return the new setup
     */
    public PromotionContext withTagSource(IntSupplier next) {
        return new PromotionContext(proposerRanking, next, events, announcer);
    }
}
