package org.carobstage.upstream;

import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;

/** A connection that is being opened; compared by identity. */
final class Opening {
    private final InstanceEntry target;
    private final Optional<AccountName> account;
    private final OpeningCause cause;
    private final long startedNanos;

    private Opening(
            InstanceEntry target,
            Optional<AccountName> account,
            OpeningCause cause,
            long startedNanos) {
        this.target = target;
        this.account = account;
        this.cause = cause;
        this.startedNanos = startedNanos;
    }

    static Opening of(
            InstanceEntry target,
            Optional<AccountName> account,
            OpeningCause cause,
            long startedNanos) {
        return new Opening(target, account, cause, startedNanos);
    }

    InstanceEntry target() {
        return target;
    }

    Optional<AccountName> account() {
        return account;
    }

    OpeningCause cause() {
        return cause;
    }

    long startedNanos() {
        return startedNanos;
    }
}
