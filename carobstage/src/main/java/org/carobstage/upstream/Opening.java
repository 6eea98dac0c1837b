package org.carobstage.upstream;

import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;

/** A connection that is being opened; compared by identity. */
final class Opening {
    private final InstanceEntry target;
    private final Optional<AccountName> account;
    private final long startedNanos;

    private Opening(InstanceEntry target, Optional<AccountName> account, long startedNanos) {
        this.target = target;
        this.account = account;
        this.startedNanos = startedNanos;
    }

    static Opening of(InstanceEntry target, Optional<AccountName> account, long startedNanos) {
        return new Opening(target, account, startedNanos);
    }

    InstanceEntry target() {
        return target;
    }

    Optional<AccountName> account() {
        return account;
    }

    long startedNanos() {
        return startedNanos;
    }
}
