package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/**
 * A request to promote an instance.
 *
 * @param service the service
 * @param target the instance to promote
 * @param holder the VM that holds the failover lease
 * @param fencingToken the fencing token, which increases with each holder
 * @param permit the time in which the request may be sent
 */
public record PromotionRequest(
        ServiceName service,
        InstanceId target,
        VmId holder,
        long fencingToken,
        PromotionPermit permit) {
    /** Rejects null components. */
    public PromotionRequest {
        requireNonNull(service, "service is null");
        requireNonNull(target, "target is null");
        requireNonNull(holder, "holder is null");
        requireNonNull(permit, "permit is null");
    }
}
