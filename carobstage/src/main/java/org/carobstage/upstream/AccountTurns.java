package org.carobstage.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.AccountName;

/**
 * The turns of the accounts in fair queueing: an account whose request was granted has its next
 * turn one round later than an account that has been idle. It decides between accounts of which
 * none is being served, as after each release of the only connection.
 */
final class AccountTurns {
    private final Map<Optional<AccountName>, Long> nextRounds = new HashMap<>();
    private long round;

    private AccountTurns() {}

    static AccountTurns empty() {
        return new AccountTurns();
    }

    /** Returns the round in which an account has its next turn. */
    long nextRound(Optional<AccountName> account) {
        return Math.max(round, nextRounds.getOrDefault(account, round));
    }

    void recordGrant(Optional<AccountName> account) {
        round = nextRound(account);
        nextRounds.put(account, round + 1);
        nextRounds.values().removeIf(r -> r <= round);
    }
}
