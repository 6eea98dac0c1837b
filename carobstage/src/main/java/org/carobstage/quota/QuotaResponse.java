package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import org.carobstage.model.AccountName;

/**
 * The response to a {@link QuotaRequest}.
 *
 * @param shard the shard of the request
 * @param sequence the sequence of the request
 * @param owner whether the responding process owns the shard and grants tokens
 * @param grants the grants by account; an account without one gets no tokens, as when its limit is
 *     not known to the owner yet
 */
public record QuotaResponse(
        QuotaShard shard, long sequence, boolean owner, Map<AccountName, Grant> grants) {
    /** Copies the map. */
    public QuotaResponse {
        requireNonNull(shard, "shard is null");
        grants = Map.copyOf(grants);
    }
}
