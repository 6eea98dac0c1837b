package org.carobstage.failover;

import java.util.function.Consumer;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/** Requests promotions of instances from the platform. */
@FunctionalInterface
public interface PromotionClient {
    /**
     * Requests the promotion of an instance.
     *
     * @param service the service
     * @param target the instance to promote
     * @param holder the VM that holds the failover lease
     * @param fencingToken the fencing token, which increases with each holder
     * @param callback receives the outcome
     */
    void promote(
            ServiceName service,
            InstanceId target,
            VmId holder,
            long fencingToken,
            Consumer<Outcome> callback);

    /** The outcome of a promotion request. */
    enum Outcome {
        /** The platform accepted the request. */
        ACCEPTED,
        /** A newer holder has requested a promotion, or the instance is not running; no effect. */
        REJECTED,
        /** The platform was busy; no effect. */
        REFUSED,
        /** No response arrived; the platform may still execute the request. */
        UNKNOWN
    }
}
