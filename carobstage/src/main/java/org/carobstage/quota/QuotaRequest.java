package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import org.carobstage.model.AccountName;

/**
 * The message of a process to the owner of a shard. Without accounts it is a keep-alive message.
 *
 * @param shard the shard
 * @param sequence increases with each request of a process, also over its runs
 * @param acknowledged the sequence of the last response that the process has received from this
 *     owner, or 0 if there is none; it proves to the owner that the request is not older than that
 *     response
 * @param standalone whether the process uses or is about to use its equal share
 * @param counts the number of tokens requested for each account
 */
public record QuotaRequest(
        QuotaShard shard,
        long sequence,
        long acknowledged,
        boolean standalone,
        Map<AccountName, Integer> counts) {
    /** Copies the map. */
    public QuotaRequest {
        requireNonNull(shard, "shard is null");
        counts = Map.copyOf(counts);
    }
}
