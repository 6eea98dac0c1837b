package org.carobstage.membership;

import java.time.Duration;

/** The times and sizes of the membership protocol. */
final class MembershipTimes {
    /** How often the decision wants to be called. */
    static final Duration TICK = Duration.ofMillis(100);

    /** How often a member pings another one. */
    static final long PROBE_NANOS = Duration.ofMillis(500).toNanos();

    /** How long a direct ping may take before others are asked to help. */
    static final long DIRECT_NANOS = Duration.ofMillis(200).toNanos();

    /** How often news is sent on while there is any. */
    static final long GOSSIP_NANOS = Duration.ofMillis(200).toNanos();

    /** How often views are compared with one other process. */
    static final long SYNC_NANOS = Duration.ofSeconds(10).toNanos();

    /** How long a dead member is remembered. */
    static final long FORGET_NANOS = Duration.ofHours(3).toNanos();

    /** A gap between ticks that means that this process did not run. */
    static final long PAUSE_NANOS = Duration.ofMillis(1_000).toNanos();

    /** How long before its end a suspicion is checked once more, and how far apart. */
    static final long LAST_CHANCE_NANOS = Duration.ofMillis(200).toNanos();

    /** How often a suspect is pinged before it is declared dead. */
    static final int LAST_CHANCES = 6;

    /** How many members help to ping one that does not answer. */
    static final int HELPERS = 6;

    /** How many members news is sent to at once. */
    static final int FAN_OUT = 3;

    /** How many reports of members one message carries. */
    static final int MAX_UPDATES = 32;

    private static final long MIN_SUSPICION_NANOS = Duration.ofMillis(1_500).toNanos();

    private MembershipTimes() {}

    /**
     * Returns how long a suspicion may be refuted.
     *
     * @param members how many members are live
     * @return the time in ns, which grows with the logarithm of the fleet
     */
    static long suspicionNanos(int members) {
        return Math.max(MIN_SUSPICION_NANOS, (long) (2 * Math.log10(members + 1) * PROBE_NANOS));
    }

    /**
     * Returns how often one piece of news is sent on.
     *
     * @param members how many members are live
     * @return the number of times, which grows with the logarithm of the fleet
     */
    static int transmissions(int members) {
        return 3 * (int) Math.ceil(Math.log10(members + 1) + 1);
    }
}
