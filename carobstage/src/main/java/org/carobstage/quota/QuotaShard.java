package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.model.AccountName;

/**
 * Identifies one of the parts into which accounts are divided; each part has at most one owner.
 *
 * @param index the number of the shard, from 0 to {@link #COUNT} - 1
 */
public record QuotaShard(int index) {
    /** The number of shards. */
    public static final int COUNT = 4;

    /**
     * Rejects a number outside the range.
     *
     * @throws IllegalArgumentException if there is no such shard
     */
    public QuotaShard {
        if (index < 0 || index >= COUNT) {
            throw new IllegalArgumentException("no such shard: " + index);
        }
    }

    /**
     * Returns the shard of an account, which is the same in every process.
     *
     * @param account the account
     * @return the shard
     */
    public static QuotaShard of(AccountName account) {
        requireNonNull(account, "account is null");
        long hash = RendezvousOrder.hash(account.value().getBytes(StandardCharsets.UTF_8));
        return new QuotaShard((int) Long.remainderUnsigned(hash, COUNT));
    }

    /**
     * Returns all shards.
     *
     * @return the shards in ascending order
     */
    public static List<QuotaShard> all() {
        return IntStream.range(0, COUNT).mapToObj(QuotaShard::new).toList();
    }
}
