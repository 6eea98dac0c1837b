package org.carobstage.failover;

import java.util.function.Consumer;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/** Orders the platform to promote an instance. */
@FunctionalInterface
public interface PromotionClient {
    /**
     * Sends an order.
     *
     * @param service the service
     * @param target the instance that is to lead
     * @param holder the VM that holds the lease
     * @param fence the fencing token, which grows with each holder
     * @param then takes the outcome
     */
    void promote(
            ServiceName service,
            InstanceId target,
            VmId holder,
            long fence,
            Consumer<Outcome> then);

    /** What became of an order. */
    enum Outcome {
        /** The platform has accepted it. */
        ACCEPTED,
        /** A newer holder has ordered, or the instance does not run; nothing was done. */
        REJECTED,
        /** The platform was busy; nothing was done. */
        REFUSED,
        /** No answer came; it may be carried out, also later. */
        UNKNOWN
    }
}
