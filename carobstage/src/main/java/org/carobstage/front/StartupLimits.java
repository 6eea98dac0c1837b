package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.settings.IniReader.Section;
import org.carobstage.settings.ValueParsers;

/**
 * Limits of client connections that have no session yet, whose peers may be anyone.
 *
 * @param maxMessageBytes the maximum length of a message before READY, in bytes
 * @param timeout the time for STARTUP to arrive
 * @param maxPending the number of connections that may wait for STARTUP at a time
 */
public record StartupLimits(int maxMessageBytes, Duration timeout, int maxPending) {
    /**
     * STARTUP names a database and a key. Peers that send an unfinished one hold at most a fifth of
     * the direct memory of the deploy file, 160 MB, in buffers of up to twice the message.
     */
    public static final StartupLimits DEFAULT =
            new StartupLimits(8 * 1_024, Duration.ofSeconds(10), 2_048);

    private static final int MIN_MESSAGE_BYTES = 64;
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final Duration MIN_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAX_PENDING = 1_000_000;

    /** Rejects a null timeout. */
    public StartupLimits {
        requireNonNull(timeout, "timeout is null");
    }

    /** Reads the limits, with the defaults for those that are missing. */
    static StartupLimits read(Section front) {
        Optional<Integer> bytes =
                front.optional(
                        "startup-bytes",
                        ValueParsers.integer(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES));
        Optional<Duration> timeout =
                front.optional("startup-timeout", ValueParsers.duration(MIN_TIMEOUT, MAX_TIMEOUT));
        Optional<Integer> pending =
                front.optional("startup-connections", ValueParsers.integer(1, MAX_PENDING));
        return new StartupLimits(
                bytes.orElse(DEFAULT.maxMessageBytes),
                timeout.orElse(DEFAULT.timeout),
                pending.orElse(DEFAULT.maxPending));
    }
}
