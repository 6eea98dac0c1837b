package org.carobstage.quota;

import org.carobstage.model.VmId;

/** Sends a request to the owner of a shard, which may be this process. */
@FunctionalInterface
public interface QuotaRequestSender {
    /**
     * Sends a request without waiting. The response is passed to the limiter later, not within this
     * call; a request that can't be sent is dropped.
     *
     * @param owner the VM that owns the shard
     * @param request the request
     */
    void send(VmId owner, QuotaRequest request);
}
