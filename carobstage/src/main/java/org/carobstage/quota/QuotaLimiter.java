package org.carobstage.quota;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;

/** Decides operations with the tokens that the owners of the shards grant to this process. */
public final class QuotaLimiter implements OperationLimiter {
    /** The interval at which {@link #onTick} has to be called. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private QuotaLimiter() {}

    /**
     * Creates a limiter that knows no owner.
     *
     * @param self the VM of this process
     * @param policy the bound
     * @param limits returns the current limit of an account, or empty if it has none
     * @param sender sends a request to an owner
     * @param clock the runtime's clock
     * @return the limiter
     */
    public static QuotaLimiter of(
            VmId self,
            QuotaPolicy policy,
            Function<AccountName, Optional<RateLimit>> limits,
            QuotaRequestSender sender,
            Clock clock) {
        return new QuotaLimiter();
    }

    @Override
    public void acquire(AccountName account, Consumer<Decision> callback) {
        callback.accept(new Decision.Permitted());
    }

    /** Rejects operations that have waited for too long and sends the messages that are due. */
    public void onTick() {}

    /**
     * Accepts a response; one that is late, repeated or not from the owner has no effect.
     *
     * @param from the VM that has sent the response
     * @param response the response
     */
    public void onResponse(VmId from, QuotaResponse response) {}

    /**
     * Sets the owner of a shard.
     *
     * @param shard the shard
     * @param owner the VM that owns it, or empty if no owner is known
     */
    public void onOwnerChanged(QuotaShard shard, Optional<VmId> owner) {}

    /**
     * Sets the processes that are registered in the store.
     *
     * @param members the members, including this process
     */
    public void onMembers(Set<VmId> members) {}

    /**
     * Confirms that this process is registered in the store. The equal share is used only for 15 s
     * after the last confirmation, because the others divide it among themselves once the
     * registration of this process is gone for longer.
     *
     * @param requestedAt the reading before the successful call to the store (registration or
     *     renewal of its lease) was sent
     */
    public void onRegistered(ClockReading requestedAt) {}

    /**
     * Returns the counters by shard.
     *
     * @return the counters of every shard
     */
    public Map<QuotaShard, QuotaCounters> counters() {
        return Map.of();
    }

    /**
     * Describes the state of an account for a log line about a rejection.
     *
     * @param account the account
     * @return a text of bounded length: the account, its tokens, whether an owner is known and the
     *     age of its last response
     */
    public String describe(AccountName account) {
        return "";
    }
}
