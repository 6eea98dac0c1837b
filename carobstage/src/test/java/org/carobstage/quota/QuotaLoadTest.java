package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.carobstage.account.RateLimit;
import org.carobstage.model.AccountName;
import org.junit.jupiter.api.Test;

/** Plays named load patterns on paused clocks. */
class QuotaLoadTest {
    private static final AccountName ACCOUNT = AccountName.of("acme");
    private static final AccountName OTHER = AccountName.of("other");

    // Guards against an account that takes the rate of others or gets less than its own.
    @Test
    void shouldPermitItsRateAndSlowNoOtherWhenOneAccountSendsTenTimesItsRate() {
        QuotaPlay play = started(4, ACCOUNT, new RateLimit(20, 10));
        play.limit(OTHER, new RateLimit(20, 10));
        play.advance(2_000, () -> {});
        play.advance(
                20_000,
                () -> {
                    play.processes.stream()
                            .limit(play.now() % 20 == 0 ? 4 : 0)
                            .forEach(p -> p.acquire(ACCOUNT));
                    if (play.now() % 100 == 0) {
                        process(play, 1).acquire(OTHER);
                    }
                });
        assertThat(play.permitted(ACCOUNT)).hasSizeBetween(390, 412);
        assertThat(play.permitted(OTHER)).hasSize(200);
    }

    // Guards against a limit that is divided equally although one process has all the demand.
    @Test
    void shouldPermitWholeRateWhenAllClientsOfAccountUseOneProcess() {
        QuotaPlay play = started(31, ACCOUNT, new RateLimit(50, 10));
        play.advance(
                20_000,
                () -> {
                    if (play.now() % 20 == 0) {
                        play.processes.get(7).acquire(ACCOUNT);
                    }
                });
        assertThat(play.processes.get(7).rejected).isZero();
        assertThat(play.permitted(ACCOUNT)).hasSize(1_000);
    }

    // Guards against rejections of small accounts, and against messages that grow with accounts.
    @Test
    void shouldRejectLessThanOnePercentWhenManyAccountsSendOneOperationPerSecond() {
        QuotaPlay play = started(31, ACCOUNT, new RateLimit(293, 500));
        List<AccountName> small =
                IntStream.range(0, 81).mapToObj(i -> AccountName.of("account" + i)).toList();
        small.forEach(name -> play.limit(name, new RateLimit(9.3, 43)));
        play.advance(6_000, () -> {});
        long requestsBefore = requests(play);
        Random random = new Random(1);
        int[] offered = new int[1];
        play.advance(
                60_000,
                () -> {
                    // 655 operations a second, of which one account has 28 %.
                    for (double n = 6.55; n > random.nextDouble(); n--) {
                        offered[0]++;
                        AccountName name =
                                random.nextInt(100) < 28
                                        ? ACCOUNT
                                        : small.get(random.nextInt(small.size()));
                        process(play, random.nextInt(31)).acquire(name);
                    }
                });
        double perSecond = (requests(play) - requestsBefore) / 60.0 / 31;
        System.out.printf(
                "31 processes, 82 accounts: %.1f messages a second and process, %d of %d"
                        + " operations rejected%n",
                perSecond, rejected(play), offered[0]);
        assertThat((double) rejected(play) / offered[0]).isLessThan(0.01);
        assertThat(perSecond).isLessThan(QuotaShard.COUNT * 5 + 655 / 31.0);
    }

    // Guards against rejections of accounts that are used about once a second, from any process.
    @Test
    void shouldRejectLessThanOnePercentWhenLimitsAreSmall() {
        QuotaPlay play = started(31, ACCOUNT, new RateLimit(1.6, 7.5), 20);
        List<AccountName> small =
                IntStream.range(0, 81).mapToObj(i -> AccountName.of("account" + i)).toList();
        small.forEach(name -> play.limit(name, new RateLimit(1.6, 7.5)));
        play.advance(6_000, () -> {});
        Random random = new Random(2);
        play.advance(
                60_000,
                () ->
                        small.stream()
                                .filter(name -> random.nextInt(50) == 0)
                                .forEach(name -> process(play, random.nextInt(31)).acquire(name)));
        long permitted = small.stream().mapToLong(name -> play.permitted(name).length).sum();
        System.out.printf(
                "81 accounts with 1 operation a second: %d of %d rejected%n",
                rejected(play), rejected(play) + permitted);
        assertThat(rejected(play)).isLessThan(permitted / 100);
    }

    // Guards against tokens of a former limit that are spent after it was lowered.
    @Test
    void shouldHoldLoweredLimitWithinOneWindow() {
        QuotaPlay play = started(8, ACCOUNT, new RateLimit(200, 100));
        Runnable load = () -> play.processes.forEach(p -> p.acquire(ACCOUNT));
        play.advance(5_000, load);
        RateLimit lowered = new RateLimit(5, 5);
        play.limit(ACCOUNT, lowered);
        long loweredAt = play.now();
        play.advance(15_000, load);
        assertThat(play.mostInWindow(ACCOUNT, loweredAt + 510, Long.MAX_VALUE))
                .isBetween(20L, (long) play.bound(lowered));
    }

    // Guards against a lost owner that stops an account for longer than the time of exclusion.
    @Test
    void shouldUseSharesSoonWhenOwnerIsLost() {
        QuotaPlay play = started(31, ACCOUNT, new RateLimit(293, 500));
        Runnable load = () -> play.processes.forEach(p -> p.acquire(ACCOUNT));
        play.advance(10_000, load);
        long lostAt = play.now();
        play.owner(ACCOUNT).kill();
        play.advance(2_000, load);
        long resumedAt =
                Arrays.stream(play.permitted(ACCOUNT))
                        .filter(t -> t > lostAt + 500)
                        .min()
                        .getAsLong();
        long byShares =
                Arrays.stream(play.permitted(ACCOUNT)).filter(t -> t >= lostAt + 1_000).count();
        System.out.printf(
                "owner lost: operations rejected until %d ms, then %d in the next second of 293%n",
                resumedAt - lostAt, byShares);
        assertThat(resumedAt - lostAt).isLessThanOrEqualTo(870);
        assertThat(byShares).isGreaterThan((long) (293 * 0.9));
    }

    private static QuotaPlay started(int count, AccountName account, RateLimit limit) {
        return started(count, account, limit, 10);
    }

    private static QuotaPlay started(
            int count, AccountName account, RateLimit limit, int stepMillis) {
        QuotaPlay play = new QuotaPlay(QuotaPolicy.standard(), count, stepMillis);
        play.limit(account, limit);
        play.advance(6_000, () -> {});
        return play;
    }

    private static QuotaPlay.Process process(QuotaPlay play, int index) {
        return play.processes.get(index);
    }

    private static long rejected(QuotaPlay play) {
        return play.processes.stream().mapToLong(p -> p.rejected).sum();
    }

    private static long requests(QuotaPlay play) {
        return play.processes.stream()
                .flatMap(p -> p.limiter.counters().values().stream())
                .mapToLong(QuotaCounters::requests)
                .sum();
    }
}
