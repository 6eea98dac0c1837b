package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.carobstage.model.AccountName;

/**
 * Ranks waiting requests by priority. Within a priority, first attempts precede retries, and
 * requests that can still meet their target latency precede the others. Among the remaining ones,
 * the account with fewer requests in service goes first, then the earlier deadline.
 */
final class RequestOrder {
    private static final Comparator<Ranked> WITHIN_ACCOUNT =
            Comparator.comparing(Ranked::level)
                    .thenComparing(r -> r.waiting().request().isRetry())
                    .thenComparingLong(Ranked::remainingNanos)
                    .thenComparingLong(r -> r.waiting().sequence());

    private static final Comparator<Ranked> BETWEEN_ACCOUNTS =
            Comparator.comparing(Ranked::level)
                    .thenComparingInt(Ranked::accountLoad)
                    .thenComparingLong(Ranked::round)
                    .thenComparing(r -> r.waiting().request().isRetry())
                    .thenComparingLong(Ranked::remainingNanos)
                    .thenComparingLong(r -> r.waiting().sequence());

    private final ToIntFunction<Optional<AccountName>> servedCount;
    private final AccountTurns turns;

    /**
     * Creates an order.
     *
     * @param servedCount returns how many requests of an account are being served
     * @param turns the turns of the accounts
     */
    RequestOrder(ToIntFunction<Optional<AccountName>> servedCount, AccountTurns turns) {
        this.servedCount = requireNonNull(servedCount, "servedCount is null");
        this.turns = requireNonNull(turns, "turns is null");
    }

    /**
     * Ranks requests.
     *
     * @param waiting the requests
     * @param nowNanos the current monotonic time in ns
     * @param serviceTime how long a statement takes once it has a connection
     * @return the requests, the one to be served next first
     */
    List<WaitingRequest> rank(
            Collection<WaitingRequest> waiting, long nowNanos, Duration serviceTime) {
        Map<AccountLevel, Integer> ahead = new HashMap<>();
        return waiting.stream()
                .map(w -> Ranked.of(w, nowNanos, serviceTime))
                .sorted(WITHIN_ACCOUNT)
                .map(r -> r.withAccountLoad(load(r, ahead), turns.nextRound(r.account())))
                .sorted(BETWEEN_ACCOUNTS)
                .map(Ranked::waiting)
                .toList();
    }

    /** Counts the requests of the same account that are served or would be served before. */
    private int load(Ranked ranked, Map<AccountLevel, Integer> ahead) {
        AccountLevel key = new AccountLevel(ranked.account(), ranked.level());
        int count = ahead.merge(key, 1, Integer::sum) - 1;
        return count + servedCount.applyAsInt(ranked.account());
    }

    private record Level(int priority, boolean missesTarget) implements Comparable<Level> {
        private static final Comparator<Level> ORDER =
                Comparator.comparingInt(Level::priority).thenComparing(Level::missesTarget);

        @Override
        public int compareTo(Level other) {
            return ORDER.compare(this, other);
        }
    }

    private record AccountLevel(Optional<AccountName> account, Level level) {}

    private record Ranked(
            WaitingRequest waiting, Level level, long remainingNanos, int accountLoad, long round) {
        private static Ranked of(WaitingRequest waiting, long nowNanos, Duration serviceTime) {
            Level level =
                    new Level(
                            waiting.effectivePriority(nowNanos),
                            waiting.missesTarget(nowNanos, serviceTime));
            return new Ranked(waiting, level, waiting.request().deadlineNanos() - nowNanos, 0, 0);
        }

        private Optional<AccountName> account() {
            return waiting.account();
        }

        private Ranked withAccountLoad(int newLoad, long newRound) {
            return new Ranked(waiting, level, remainingNanos, newLoad, newRound);
        }
    }
}
