package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
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
import org.carobstage.quota.OperationLimiter.Decision;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class QuotaLimiterTest {
    private static final AccountName ACCOUNT = AccountName.of("acme");
    private static final QuotaShard SHARD = QuotaShard.of(ACCOUNT);
    private static final VmId SELF = VmId.of("vm0");
    private static final VmId OWNER = VmId.of("vm1");
    private static final Duration NEXT = Duration.ofMillis(70);

    private final ManualClock clock = ManualClock.of(Instant.ofEpochSecond(1_700_000_000));
    private final Map<AccountName, RateLimit> limits =
            new HashMap<>(Map.of(ACCOUNT, new RateLimit(10, 10)));
    private final List<QuotaRequest> sent = new ArrayList<>();
    private final List<Decision> decisions = new ArrayList<>();
    private final QuotaLimiter limiter =
            QuotaLimiter.of(
                    SELF,
                    QuotaPolicy.standard(),
                    name -> Optional.ofNullable(limits.get(name)),
                    (owner, request) -> sent.add(request),
                    clock);

    // Guards against a wait of accounts that have no limit.
    @Test
    void shouldPermitAtOnceWhenAccountHasNoLimit() {
        limiter.acquire(AccountName.of("free"), decisions::add);
        assertThat(decisions).containsExactly(new Decision.Permitted());
    }

    // Guards against tokens of a repeated, foreign or earlier response, and of too large grants.
    @Test
    void shouldSpendOnlyTokensOfItsOwnRequest() {
        connect();
        acquire(1);
        QuotaRequest request = last();
        limiter.onResponse(VmId.of("vm2"), response(request, 5));
        limiter.onResponse(OWNER, response(sent.get(0), 5));
        assertThat(decisions).isEmpty();
        limiter.onResponse(OWNER, response(request, 1_000_000));
        limiter.onResponse(OWNER, response(request, 5));
        assertThat(decisions).containsExactly(new Decision.Permitted());
        acquire(1);
        assertThat(decisions).hasSize(1);
    }

    // Guards against a response to a request that was sent to an earlier owner.
    @Test
    void shouldIgnoreResponseOfEarlierOwner() {
        connect();
        acquire(1);
        QuotaRequest request = last();
        limiter.onOwnerChanged(SHARD, Optional.of(VmId.of("vm2")));
        limiter.onResponse(OWNER, response(request, 5));
        limiter.onResponse(VmId.of("vm2"), response(request, 5));
        assertThat(decisions).isEmpty();
        assertThat(last().acknowledged()).isZero();
        assertThat(last().standalone()).isTrue();
        limiter.onResponse(VmId.of("vm2"), response(last(), 1));
        assertThat(decisions).containsExactly(new Decision.Permitted());
    }

    // Guards against a wait beyond 150 ms, and against a retry time that is too early.
    @Test
    void shouldRejectWithTimeOfShareWhenOwnerDoesNotRespond() {
        connect();
        acquire(1);
        advance(150);
        acquire(1);
        assertThat(decisions).hasSize(2);
        Duration retry = ((Decision.Rejected) decisions.get(1)).retryAfter();
        assertThat(retry).isBetween(Duration.ofMillis(490), Duration.ofMillis(650));
        advance((int) retry.toMillis() - 20);
        acquire(1);
        assertThat(decisions.get(2)).isInstanceOf(Decision.Rejected.class);
        advance(20);
        acquire(1);
        assertThat(decisions.get(3)).isEqualTo(new Decision.Permitted());
        assertThat(last().standalone()).isTrue();
    }

    // Guards against initial tokens that a process takes again in the same window.
    @Test
    void shouldNotUseInitialTokenAgainWithinWindow() {
        limits.put(ACCOUNT, new RateLimit(0.01, 10));
        connect();
        advance(1_000);
        acquire(2);
        limiter.onResponse(OWNER, response(last(), 0));
        advance(1_000);
        acquire(1);
        assertThat(decisions.stream().filter(Decision.Permitted.class::isInstance)).hasSize(1);
    }

    // Guards against tokens that are spent after a suspension of the VM.
    @Test
    void shouldSpendNoTokenWhenVmWasSuspended() {
        connect();
        IntStream.range(0, 20).forEach(i -> acquire(1));
        limiter.onResponse(OWNER, response(last(), 1));
        limiter.onResponse(OWNER, response(last(), 30));
        int before = decisions.size();
        acquire(1);
        assertThat(decisions).hasSize(before + 1).last().isEqualTo(new Decision.Permitted());
        clock.suspend(Duration.ofMillis(501));
        acquire(1);
        assertThat(decisions).hasSize(before + 1);
    }

    // Guards against a share that is used although the others no longer leave it to this process.
    @Test
    void shouldNotUseShareWhenRegistrationIsNotConfirmed() {
        connect();
        advance(15_500);
        acquire(1);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0)).isInstanceOf(Decision.Rejected.class);
        limiter.onRegistered(ClockReading.now(clock));
        acquire(1);
        assertThat(decisions.get(1)).isEqualTo(new Decision.Permitted());
    }

    // Guards against a callback that fails or acquires and thereby loses the decisions of others.
    @Test
    void shouldDecideEachOperationOnceWhenCallbackFailsOrAcquires() {
        connect();
        limiter.acquire(
                ACCOUNT,
                decision -> {
                    throw new IllegalStateException("callback fails");
                });
        acquire(2);
        QuotaRequest first = last();
        assertThatThrownBy(() -> limiter.onResponse(OWNER, response(first, 1)))
                .hasMessage("callback fails");
        limiter.acquire(ACCOUNT, decision -> acquire(1));
        advance(200);
        assertThat(decisions).hasSize(3);
    }

    // Guards against messages of unbounded size and accounts that can't be named in a message.
    @Test
    void shouldKeepMessagesSmallWhenNamesAreLongOrMany() {
        connect();
        AccountName huge =
                IntStream.range(0, 99)
                        .mapToObj(i -> AccountName.of("x".repeat(1 << 20) + i))
                        .filter(name -> QuotaShard.of(name).equals(SHARD))
                        .findFirst()
                        .orElseThrow();
        limits.put(huge, new RateLimit(10, 10));
        limiter.acquire(huge, decisions::add);
        assertThat(decisions).containsExactly(new Decision.Permitted());
        assertThat(limiter.describe(huge)).hasSizeLessThan(200);
        IntStream.range(0, 10_000)
                .mapToObj(i -> AccountName.of("a" + i))
                .forEach(
                        name -> {
                            limits.put(name, new RateLimit(10, 10));
                            limiter.acquire(name, decisions::add);
                        });
        limiter.onResponse(OWNER, response(last(), 1));
        assertThat(last().counts()).hasSize(512);
        advance(30_000);
        assertThat(decisions).hasSize(10_001);
        assertThat(limiter.accountCount()).isZero();
    }

    private void connect() {
        limiter.onMembers(Set.of(SELF, OWNER));
        clock.advance(Duration.ofSeconds(6));
        limiter.onRegistered(ClockReading.now(clock));
        limiter.onOwnerChanged(SHARD, Optional.of(OWNER));
        limiter.onResponse(OWNER, response(last(), 0));
        assertThat(last().standalone()).isFalse();
        limiter.onResponse(OWNER, response(last(), 0));
    }

    private void acquire(int count) {
        IntStream.range(0, count).forEach(i -> limiter.acquire(ACCOUNT, decisions::add));
    }

    private void advance(int millis) {
        for (int i = 0; i < millis; i += 10) {
            clock.advance(Duration.ofMillis(10));
            limiter.onTick();
        }
    }

    private QuotaRequest last() {
        return sent.get(sent.size() - 1);
    }

    private static QuotaResponse response(QuotaRequest request, int tokens) {
        return new QuotaResponse(
                SHARD, request.sequence(), true, Map.of(ACCOUNT, new Grant(tokens, NEXT)));
    }
}
