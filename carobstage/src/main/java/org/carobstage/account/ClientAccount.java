package org.carobstage.account;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.carobstage.model.AccountName;

/**
 * A client account.
 *
 * @param name the name that instances are told
 * @param keys the keys that are valid for it, possibly none
 * @param priority the priority of the account; 0 is the highest
 * @param limit the limit of its operations, or empty if it is not limited
 */
public record ClientAccount(
        AccountName name, Set<ApiKey> keys, int priority, Optional<RateLimit> limit) {
    /** Rejects null components and copies the keys. */
    public ClientAccount {
        requireNonNull(name, "name is null");
        keys = Set.copyOf(keys);
        requireNonNull(limit, "limit is null");
    }
}
