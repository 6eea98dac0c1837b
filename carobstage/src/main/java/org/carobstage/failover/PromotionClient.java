package org.carobstage.failover;

import java.util.function.Consumer;

/** Requests promotions of instances from the platform. */
@FunctionalInterface
public interface PromotionClient {
    /**
     * Requests the promotion of an instance. Nothing of the request leaves the process once its
     * permit has ended.
     *
     * @param request the request
     * @param callback receives the outcome
     */
    void promote(PromotionRequest request, Consumer<Outcome> callback);

    /** The outcome of a promotion request. */
    enum Outcome {
        /** The platform accepted the request. */
        ACCEPTED,
        /** A newer holder has requested a promotion, or the instance is not running; no effect. */
        REJECTED,
        /** The platform was busy; no effect. */
        REFUSED,
        /** The permit ended, or no connection could be opened, before the request was sent. */
        NOT_SENT,
        /** No response arrived; the platform may still execute the request. */
        UNKNOWN
    }
}
