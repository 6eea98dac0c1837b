package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.carobstage.event.EventLog;

/**
 * Dependencies that the promotions of all groups in this process share.
 *
 * @param proposerRanking ranks the VMs that may propose
 * @param tagSource supplies the bits that make each proposed term unique
 * @param events records the decisions
 * @param announcer publishes completed promotions to the operators
 */
public record PromotionContext(
        ProposerRanking proposerRanking,
        IntSupplier tagSource,
        EventLog events,
        Consumer<PromotionAnnouncement> announcer) {
    /** Rejects null components. */
    public PromotionContext {
        requireNonNull(proposerRanking, "proposerRanking is null");
        requireNonNull(tagSource, "tagSource is null");
        requireNonNull(events, "events is null");
        requireNonNull(announcer, "announcer is null");
    }

    /**
     * Creates the context of a process that is the only proposer and announces nothing.
     *
     * @param events records the decisions
     * @return the context
     */
    public static PromotionContext of(EventLog events) {
        return new PromotionContext(
                ProposerRanking.singleProposer(),
                new SecureRandom()::nextInt,
                events,
                announcement -> {});
    }

    /**
     * Returns a copy with another announcer.
     *
     * @param announcer publishes completed promotions to the operators
     * @return the copy
     */
    public PromotionContext withAnnouncer(Consumer<PromotionAnnouncement> announcer) {
        return new PromotionContext(proposerRanking, tagSource, events, announcer);
    }

    /**
     * Returns a copy with another ranking of proposers.
     *
     * @param proposerRanking ranks the VMs that may propose
     * @return the copy
     */
    public PromotionContext withProposerRanking(ProposerRanking proposerRanking) {
        return new PromotionContext(proposerRanking, tagSource, events, announcer);
    }

    /**
     * Returns a copy with another source of tags.
     *
     * @param tagSource supplies the bits that make each proposed term unique
     * @return the copy
     */
    public PromotionContext withTagSource(IntSupplier tagSource) {
        return new PromotionContext(proposerRanking, tagSource, events, announcer);
    }
}
