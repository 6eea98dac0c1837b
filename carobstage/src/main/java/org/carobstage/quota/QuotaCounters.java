package org.carobstage.quota;

/**
 * The decisions of one shard since the start of the process.
 *
 * @param permitted operations permitted, including those of the share
 * @param rejected operations rejected
 * @param standalonePermitted operations permitted by the equal share of this process
 * @param requests messages sent to owners
 */
public record QuotaCounters(
        long permitted, long rejected, long standalonePermitted, long requests) {
    QuotaCounters withPermitted() {
        return new QuotaCounters(permitted + 1, rejected, standalonePermitted, requests);
    }

    QuotaCounters withRejected() {
        return new QuotaCounters(permitted, rejected + 1, standalonePermitted, requests);
    }

    QuotaCounters withStandalonePermitted() {
        return new QuotaCounters(permitted, rejected, standalonePermitted + 1, requests);
    }

    QuotaCounters withRequest() {
        return new QuotaCounters(permitted, rejected, standalonePermitted, requests + 1);
    }
}
