package org.carobstage.failover;

import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/** The store keys of votes, failover leases, recorded promotions and replica sets. */
final class FailoverKeys {
    static final String VOTE_PREFIX = "carobstage/votes/";
    static final String LEASE_PREFIX = "carobstage/failover/";

    static final String PROMOTION_PREFIX = "carobstage/promotions/";
    static final String REPLICAS_PREFIX = "carobstage/replicas/";

    private FailoverKeys() {}

    static String vote(ServiceName service, VmId vm) {
        return VOTE_PREFIX + service + "/" + vm;
    }

    static String promotion(ServiceName service) {
        return PROMOTION_PREFIX + service;
    }

    static String replicas(ServiceName service) {
        return REPLICAS_PREFIX + service;
    }

    static String lease(ServiceName service) {
        return LEASE_PREFIX + service;
    }
}
