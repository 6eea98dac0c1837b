package org.carobstage.failover;

import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;

/** The keys of the store that coordinate a failover. */
final class FailoverKeys {
    static final String VOTES = "carobstage/votes/";
    static final String LEASES = "carobstage/failover/";

    private FailoverKeys() {}

    static String vote(ServiceName service, VmId vm) {
        return VOTES + service + "/" + vm;
    }

    static String lease(ServiceName service) {
        return LEASES + service;
    }
}
