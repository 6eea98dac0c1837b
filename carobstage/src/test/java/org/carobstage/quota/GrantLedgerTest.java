package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class GrantLedgerTest {
    private static final AccountName ACCOUNT = AccountName.of("acme");
    private static final QuotaShard SHARD = QuotaShard.of(ACCOUNT);
    private static final VmId FIRST = VmId.of("vm0");
    private static final VmId SECOND = VmId.of("vm1");

    private final ManualClock clock = ManualClock.of(Instant.ofEpochSecond(1_700_000_000));
    private final Map<AccountName, RateLimit> limits = new HashMap<>();
    private final GrantLedger ledger =
            GrantLedger.of(name -> Optional.ofNullable(limits.get(name)));
    private long sequence;

    // Guards against processes that place an account in different shards.
    @Test
    void shouldPlaceAccountsAlikeInEveryProcess() {
        assertThat(
                        List.of("acme", "a", "b", "müller").stream()
                                .map(name -> QuotaShard.of(AccountName.of(name)).index()))
                .containsExactly(2, 3, 0, 2);
        assertThat(
                        IntStream.range(0, 1_000)
                                .map(i -> QuotaShard.of(AccountName.of("a" + i)).index())
                                .filter(i -> i == 0)
                                .count())
                .isBetween(200L, 300L);
    }

    // Guards against an owner whose lease has ended while its VM was suspended.
    @Test
    void shouldGrantNothingWhenOwnershipHasEndedByTimeOfDay() {
        own();
        run(FIRST, 500, 0);
        assertThat(request(FIRST, 1).owner()).isTrue();
        clock.suspend(Duration.ofSeconds(61));
        assertThat(request(FIRST, 1).owner()).isFalse();
    }

    // Guards against grants beside those of an owner of an earlier era of the store.
    @Test
    void shouldGrantNothingBeforeItMay() {
        limits.put(ACCOUNT, new RateLimit(10, 5));
        ledger.onMembers(Set.of(FIRST), now());
        ledger.startOwning(SHARD, now(), after(3_000));
        ledger.extendOwning(SHARD, after(60_000));
        clock.advance(Duration.ofMillis(2_999));
        assertThat(request(FIRST, 1).owner()).isFalse();
        clock.advance(Duration.ofMillis(1));
        assertThat(request(FIRST, 1).owner()).isTrue();
    }

    // Guards against a rate that grows with the time before a process was counted.
    @Test
    void shouldFillOnlyPartOfCountedProcessesWhenOthersAreSilent() {
        own();
        int alone = run(FIRST, 10_000, 0);
        assertThat(alone).isBetween(48, 50);
    }

    // Guards against a delayed request that counts a process which already uses its share.
    @Test
    void shouldNotCountProcessWhenItsRequestsAreDelayed() {
        own();
        request(FIRST, 0);
        QuotaRequest delayed = new QuotaRequest(SHARD, 2, sequence, false, Map.of());
        clock.advance(Duration.ofMillis(700));
        ledger.onRequest(FIRST, delayed, now());
        clock.advance(Duration.ofMillis(500));
        assertThat(grant(new QuotaRequest(SHARD, 3, 0, true, Map.of(ACCOUNT, 9))).tokens())
                .isZero();
    }

    // Guards against a suspended owner that fills its buckets for the time of the suspension.
    @Test
    void shouldNotFillBucketsWhenOwnerWasSuspended() {
        own();
        run(FIRST, 2_000, 9);
        run(SECOND, 2_000, 9);
        clock.suspend(Duration.ofSeconds(10));
        assertThat(grant(new QuotaRequest(SHARD, ++sequence, 0, true, Map.of(ACCOUNT, 9))).tokens())
                .isZero();
    }

    // Guards against counts, accounts and sequences that no process sends.
    @Test
    void shouldStayWithinLimitWhenRequestIsMalformed() {
        own();
        run(FIRST, 2_000, 0);
        AccountName huge = AccountName.of("x".repeat(1 << 20));
        AccountName elsewhere =
                IntStream.range(0, 99)
                        .mapToObj(i -> AccountName.of("a" + i))
                        .filter(name -> !QuotaShard.of(name).equals(SHARD))
                        .findFirst()
                        .orElseThrow();
        limits.put(elsewhere, new RateLimit(10, 10));
        Map<AccountName, Integer> counts =
                Map.of(ACCOUNT, Integer.MIN_VALUE, huge, 1, elsewhere, 1);
        QuotaResponse response =
                ledger.onRequest(
                        SECOND, new QuotaRequest(SHARD, -1, Long.MIN_VALUE, true, counts), now());
        assertThat(response.grants()).containsOnlyKeys(ACCOUNT);
        assertThat(response.grants().get(ACCOUNT).tokens()).isZero();
        assertThat(ledger.bucketCount()).isOne();
        request(FIRST, 0);
        clock.advance(Duration.ofMillis(500));
        assertThat(grant(new QuotaRequest(SHARD, 1, 0, true, Map.of(ACCOUNT, 1 << 30))).tokens())
                .isBetween(1, 10);
    }

    // Guards against memory that grows with every account ever used.
    @Test
    void shouldDropBucketsWhenTheyAreFull() {
        List<AccountName> many =
                IntStream.range(0, 10_000)
                        .mapToObj(i -> AccountName.of("a" + i))
                        .filter(name -> QuotaShard.of(name).equals(SHARD))
                        .toList();
        many.forEach(name -> limits.put(name, new RateLimit(10, 10)));
        own();
        run(FIRST, 1_000, 0);
        many.forEach(
                name ->
                        ledger.onRequest(
                                FIRST,
                                new QuotaRequest(SHARD, 1, 0, true, Map.of(name, 1)),
                                now()));
        assertThat(ledger.bucketCount()).isEqualTo(many.size() + 1);
        run(FIRST, 30_000, 0);
        assertThat(ledger.bucketCount()).isLessThanOrEqualTo(1);
        QuotaRequest again = new QuotaRequest(SHARD, 1, 0, true, Map.of(many.get(0), 99));
        assertThat(ledger.onRequest(FIRST, again, now()).grants().get(many.get(0)).tokens())
                .isEqualTo(10);
    }

    // Guards against a process that left the store, and its share, while it still runs.
    @Test
    void shouldDivideAmongProcessThatHasLeftForSomeTime() {
        own();
        ledger.onMembers(Set.of(FIRST), now());
        assertThat(run(FIRST, 10_000, 0)).isBetween(48, 50);
        run(FIRST, 8_000, 9);
        assertThat(run(FIRST, 1_000, 0)).isBetween(9, 10);
    }

    private void own() {
        limits.put(ACCOUNT, new RateLimit(10, 50));
        ledger.onMembers(Set.of(FIRST, SECOND), now());
        ledger.startOwning(SHARD, now(), now());
        ledger.extendOwning(SHARD, after(60_000));
    }

    /** Lets a process send requests for a time and returns the tokens granted to the last. */
    private int run(VmId vm, int millis, int count) {
        for (int i = 0; i < millis; i += 100) {
            request(vm, count);
            clock.advance(Duration.ofMillis(100));
        }
        return request(vm, Math.max(count, 99)).grants().get(ACCOUNT).tokens();
    }

    private QuotaResponse request(VmId vm, int count) {
        QuotaRequest request =
                new QuotaRequest(SHARD, ++sequence, sequence - 1, false, Map.of(ACCOUNT, count));
        return ledger.onRequest(vm, request, now());
    }

    private Grant grant(QuotaRequest request) {
        return ledger.onRequest(FIRST, request, now()).grants().get(ACCOUNT);
    }

    private ClockReading now() {
        return ClockReading.now(clock);
    }

    private ClockReading after(long millis) {
        long nanos = millis * 1_000_000;
        return new ClockReading(now().monotonicNanos() + nanos, now().epochNanos() + nanos);
    }
}
