package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;

/** Decides operations with the tokens that the owners of the shards grant to this process. */
public final class QuotaLimiter implements OperationLimiter {
    /** The interval at which {@link #onTick} has to be called while an operation waits. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private static final int LONGEST_NAME_IN_LOG = 64;

    private final Clock clock;
    private final Membership membership = Membership.empty();
    private final Map<QuotaShard, QuotaShardClient> clients;

    private QuotaLimiter(
            VmId self,
            QuotaPolicy policy,
            Function<AccountName, Optional<RateLimit>> limits,
            QuotaRequestSender sender,
            Clock clock) {
        this.clock = requireNonNull(clock, "clock is null");
        ClockReading now = ClockReading.now(clock);
        this.clients =
                QuotaShard.all().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Function.identity(),
                                        shard ->
                                                QuotaShardClient.of(
                                                        shard,
                                                        self,
                                                        policy,
                                                        membership,
                                                        limits,
                                                        sender,
                                                        now)));
    }

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
        return new QuotaLimiter(self, policy, limits, sender, clock);
    }

    @Override
    public void acquire(AccountName account, Consumer<Decision> callback) {
        requireNonNull(callback, "callback is null");
        clients.get(QuotaShard.of(account)).acquire(account, callback, ClockReading.now(clock));
    }

    /** Rejects operations that have waited for too long and sends the messages that are due. */
    public void onTick() {
        ClockReading now = ClockReading.now(clock);
        clients.values().forEach(client -> client.onTick(now));
    }

    /**
     * Returns the time after which {@link #onTick} has to be called. Every other event may shorten
     * it.
     *
     * @return at most the interval of keep-alive messages
     */
    public Duration untilTick() {
        ClockReading now = ClockReading.now(clock);
        return clients.values().stream()
                .map(client -> client.untilTick(now))
                .min(Comparator.naturalOrder())
                .orElseThrow();
    }

    /**
     * Accepts a response; one that is late, repeated or not from the owner has no effect.
     *
     * @param from the VM that has sent the response
     * @param response the response
     */
    public void onResponse(VmId from, QuotaResponse response) {
        clients.get(response.shard()).onResponse(from, response, ClockReading.now(clock));
    }

    /**
     * Sets the owner of a shard. To be called for every new ownership, also if the same VM owns the
     * shard again.
     *
     * @param shard the shard
     * @param owner the VM that owns it, or empty if no owner is known
     */
    public void onOwnerChanged(QuotaShard shard, Optional<VmId> owner) {
        clients.get(shard).onOwnerChanged(owner, ClockReading.now(clock));
    }

    /**
     * Sets the processes that are registered in the store.
     *
     * @param members the members, including this process
     */
    public void onMembers(Set<VmId> members) {
        onTick();
        membership.onMembers(members, ClockReading.now(clock));
    }

    /**
     * Confirms that this process is registered in the store for an equal share. The equal share is
     * used only for 15 s after the last confirmation, because the others divide it among themselves
     * once the registration of this process is gone for longer.
     *
     * @param requestedAt the reading before the successful call to the store (registration or
     *     renewal of its lease) was sent
     */
    public void onRegistered(ClockReading requestedAt) {
        onTick();
        membership.onRegistered(requestedAt);
    }

    /** Ends the use of the equal share, which a later process on this VM has. */
    public void onReplaced() {
        onTick();
        membership.onReplaced();
    }

    /**
     * Returns the counters by shard.
     *
     * @return the counters of every shard
     */
    public Map<QuotaShard, QuotaCounters> counters() {
        return clients.entrySet().stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> entry.getValue().counters()));
    }

    /**
     * Describes the state of an account for a log line about a rejection.
     *
     * @param account the account
     * @return a text of bounded length: the account, its tokens, whether an owner is known and the
     *     age of its last response
     */
    public String describe(AccountName account) {
        String name = account.value();
        String shown =
                name.length() <= LONGEST_NAME_IN_LOG
                        ? name
                        : name.substring(0, LONGEST_NAME_IN_LOG) + "...";
        QuotaShardClient client = clients.get(QuotaShard.of(account));
        return "account " + shown + ", " + client.describe(account, ClockReading.now(clock));
    }

    /** Returns the number of accounts in memory. */
    int accountCount() {
        return clients.values().stream().mapToInt(QuotaShardClient::accountCount).sum();
    }
}
