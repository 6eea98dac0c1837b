package org.carobstage.quota;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;

/**
 * The owner's side of the distributed rate limit: the token buckets of the shards that this process
 * owns.
 */
public final class GrantLedger {
    private GrantLedger() {}

    /**
     * Creates a ledger that owns no shard.
     *
     * @param limits returns the current limit of an account, or empty if it has none
     * @return the ledger
     */
    public static GrantLedger of(Function<AccountName, Optional<RateLimit>> limits) {
        return new GrantLedger();
    }

    /**
     * Sets the processes that are registered in the store. One that has left is counted for a while
     * longer, because it may still be running.
     *
     * @param members the members, including this process
     * @param now the current reading
     */
    public void onMembers(Set<VmId> members, ClockReading now) {}

    /**
     * Starts owning a shard with empty buckets. Nothing is granted until {@link #extendOwning} is
     * called.
     *
     * @param shard the shard
     * @param now the current reading
     * @param grantFrom the reading from which tokens may be granted; until then, requests are
     *     answered as by a process that is not the owner
     */
    public void startOwning(QuotaShard shard, ClockReading now, ClockReading grantFrom) {}

    /**
     * Extends the validity of an ownership; has no effect on a shard that is not owned.
     *
     * @param shard the shard
     * @param until the reading at which the ownership ends, by whichever clock reaches it first
     */
    public void extendOwning(QuotaShard shard, ClockReading until) {}

    /**
     * Stops owning a shard at once.
     *
     * @param shard the shard
     */
    public void stopOwning(QuotaShard shard) {}

    /**
     * Answers a request of a process, which may be this one.
     *
     * @param peer the VM that has sent the request
     * @param request the request
     * @param now the current reading
     * @return the response to send
     */
    public QuotaResponse onRequest(VmId peer, QuotaRequest request, ClockReading now) {
        return new QuotaResponse(request.shard(), request.sequence(), false, java.util.Map.of());
    }
}
