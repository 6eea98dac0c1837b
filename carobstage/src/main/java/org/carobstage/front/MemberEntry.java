package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.FailureDomain;

/**
 * The value of the store key by which a process registers as a member. Earlier versions wrote the
 * run only.
 *
 * @param run the run of the process, which differs from that of earlier processes on its VM
 * @param domain the failure domain of the VM, if known
 */
record MemberEntry(String run, Optional<FailureDomain> domain) {
    private static final String DOMAIN_PREFIX = " domain=";

    MemberEntry {
        requireNonNull(run, "run is null");
        requireNonNull(domain, "domain is null");
    }

    static MemberEntry parse(String value) {
        int end = value.indexOf(DOMAIN_PREFIX);
        if (end < 0) {
            return new MemberEntry(value, Optional.empty());
        }
        String domain = value.substring(end + DOMAIN_PREFIX.length());
        return new MemberEntry(
                value.substring(0, end),
                Optional.of(domain).filter(d -> !d.isBlank()).map(FailureDomain::of));
    }

    String format() {
        return run + domain.map(d -> DOMAIN_PREFIX + d).orElse("");
    }
}
