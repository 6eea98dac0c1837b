package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Decides how many connections to one instance this process may use and when it may open the next
 * one. The equal share is the lower bound. An elastic quota is exceeded by additive increase and
 * multiplicative decrease: one more connection while all are in use, half of them after a refusal.
 *
 * @param quota the quota of this process
 * @param keepsOpen whether one connection is kept open although there are more processes than
 *     connections
 * @param extra the connections above the equal share
 * @param refusals the refusals since a connection was last opened
 * @param refused whether an opening was ever refused at the connection limit
 * @param refusedNanos the monotonic time in ns of the last refusal
 * @param openNotBeforeNanos the monotonic time in ns before which no connection is opened
 * @param increaseNotBeforeNanos the monotonic time in ns of the next increase
 */
record ConnectionShare(
        ConnectionQuota quota,
        boolean keepsOpen,
        int extra,
        int refusals,
        boolean refused,
        long refusedNanos,
        long openNotBeforeNanos,
        long increaseNotBeforeNanos) {
    /** The delay after the first refusal; about four openings, so that a slot can become free. */
    static final Duration FIRST_BACKOFF = Duration.ofMillis(50);

    static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    /** The delay after another failure, and after any failure if the quota is not elastic. */
    static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /** The idle time after which connections above the equal share are closed. */
    static final Duration EXTRA_IDLE_TIMEOUT = Duration.ofMillis(200);

    /** The idle time after which connections above the minimum are closed. */
    static final Duration IDLE_TIMEOUT = Duration.ofMillis(1_000);

    /** The interval of increases; an unused increase is withdrawn after the same time. */
    private static final Duration INCREASE_INTERVAL = EXTRA_IDLE_TIMEOUT;

    /** Connections kept open without demand, since opening one takes tens of ms and a slot. */
    private static final int MIN_CONNECTIONS = 1;

    ConnectionShare {
        requireNonNull(quota, "quota is null");
    }

    static ConnectionShare of(ConnectionQuota quota, long nowNanos) {
        return new ConnectionShare(quota, false, 0, 0, false, nowNanos, nowNanos, nowNanos);
    }

    ConnectionShare withQuota(ConnectionQuota newer) {
        int allowed = Math.min(extra, newer.ceiling() - newer.connections());
        return new ConnectionShare(
                newer,
                keepsOpen,
                newer.isElastic() ? allowed : 0,
                refusals,
                refused,
                refusedNanos,
                openNotBeforeNanos,
                increaseNotBeforeNanos);
    }

    ConnectionShare withKeepsOpen(boolean keeps) {
        return new ConnectionShare(
                quota,
                keeps,
                extra,
                refusals,
                refused,
                refusedNanos,
                openNotBeforeNanos,
                increaseNotBeforeNanos);
    }

    /** Returns how many connections may be open or opening. */
    int limit() {
        return quota.connections() + extra;
    }

    /**
     * Returns how many connections are kept open without demand.
     *
     * @param needsProbe whether the last opening had no response, so that the next one confirms or
     *     ends the suspicion
     */
    int minConnections(boolean needsProbe) {
        return opensOnDemandOnly() && !needsProbe ? 0 : MIN_CONNECTIONS;
    }

    /** Returns how long a connection may stay idle if the given number is open. */
    Duration idleTimeout(int openCount) {
        return quota.isElastic() && openCount > equalShare() ? EXTRA_IDLE_TIMEOUT : IDLE_TIMEOUT;
    }

    /** Returns whether another process is likely to need a connection that is no longer in use. */
    boolean closesAtRelease(int openCount, long nowNanos) {
        return quota.belowOne()
                && openCount > equalShare()
                && refused
                && nowNanos - refusedNanos < MAX_BACKOFF.toNanos();
    }

    /** Returns how many idle connections may be closed if the given number is open. */
    int idleClosings(int openCount) {
        boolean closesExtraOnly = quota.isElastic() && openCount > equalShare();
        return closesExtraOnly ? openCount - equalShare() : openCount;
    }

    boolean mayOpen(long nowNanos) {
        return nowNanos - openNotBeforeNanos >= 0;
    }

    /** Increases the limit if requests wait while every connection is in use. */
    ConnectionShare onDemand(long nowNanos) {
        boolean increases =
                quota.isElastic()
                        && limit() < quota.ceiling()
                        && mayOpen(nowNanos)
                        && nowNanos - increaseNotBeforeNanos >= 0;
        return increases
                ? with(extra + 1, openNotBeforeNanos, nowNanos + INCREASE_INTERVAL.toNanos())
                : this;
    }

    /** Withdraws an increase that is no longer used. */
    ConnectionShare onIdleClosed() {
        return with(Math.max(0, extra - 1), openNotBeforeNanos, increaseNotBeforeNanos);
    }

    ConnectionShare onOpened() {
        return new ConnectionShare(
                quota,
                keepsOpen,
                extra,
                0,
                refused,
                refusedNanos,
                openNotBeforeNanos,
                increaseNotBeforeNanos);
    }

    /** Delays the next opening after a failure other than a refusal at the limit. */
    ConnectionShare onFailed(long nowNanos) {
        return with(extra, later(nowNanos + RETRY_DELAY.toNanos()), increaseNotBeforeNanos);
    }

    /** Allows openings at once, since the instance was replaced. */
    ConnectionShare onReplaced(long nowNanos) {
        return of(quota, nowNanos).withKeepsOpen(keepsOpen);
    }

    /**
     * Halves the limit and delays the next opening. Refusals of openings in progress at the same
     * time count once.
     *
     * @param startedNanos the monotonic time in ns at which the refused opening started
     * @param nowNanos the current monotonic time in ns
     * @param jitter a random number from 0 (inclusive) to 1 (exclusive)
     */
    ConnectionShare onRefused(long startedNanos, long nowNanos, double jitter) {
        if (!quota.isElastic()) {
            return onFailed(nowNanos);
        }
        if (refusals > 0 && startedNanos - refusedNanos < 0) {
            return this;
        }
        long longest = MAX_BACKOFF.toNanos();
        long delay = Math.min(longest, FIRST_BACKOFF.toNanos() << Math.min(refusals, 16));
        long notBefore = nowNanos + (long) (delay * (1 + jitter) / 2);
        return new ConnectionShare(
                quota,
                keepsOpen,
                Math.max(0, limit() / 2 - quota.connections()),
                refusals + 1,
                true,
                nowNanos,
                later(notBefore),
                notBefore + INCREASE_INTERVAL.toNanos());
    }

    /** Returns how long no connection may be opened; zero if one may be opened now. */
    Duration backoff(long nowNanos) {
        return Duration.ofNanos(Math.max(0, openNotBeforeNanos - nowNanos));
    }

    private int equalShare() {
        return opensOnDemandOnly() ? 0 : quota.connections();
    }

    /** Returns whether a connection is kept only while it is in use. */
    private boolean opensOnDemandOnly() {
        return quota.belowOne() && !keepsOpen;
    }

    private long later(long nanos) {
        return nanos - openNotBeforeNanos > 0 ? nanos : openNotBeforeNanos;
    }

    private ConnectionShare with(int newExtra, long openNotBefore, long increaseNotBefore) {
        return new ConnectionShare(
                quota,
                keepsOpen,
                newExtra,
                refusals,
                refused,
                refusedNanos,
                openNotBefore,
                increaseNotBefore);
    }
}
