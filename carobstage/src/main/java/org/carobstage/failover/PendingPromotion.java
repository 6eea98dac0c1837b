package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.carobstage.model.InstanceId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreRevision;

/**
 * A promotion request that the platform may still execute, as recorded in the store before it was
 * sent. Until the request has ended, the old primary must not serve writes, and a later failover
 * must not promote another instance unless the platform compares fencing tokens: the request would
 * replace it again, and commits would be lost.
 *
 * @param target the instance to promote
 * @param fencingToken the token of the request, or 0 if an earlier build has recorded it
 * @param unanswered whether the request had no response, so that its holder does not know the
 *     outcome
 * @param recordedNanos the monotonic time at which this process learned of the request; a step of
 *     the time of day must not end it early
 * @param revision the revision of the record
 */
record PendingPromotion(
        InstanceId target,
        long fencingToken,
        boolean unanswered,
        long recordedNanos,
        StoreRevision revision) {
    /** The platform executes an unanswered request within 12 s or not at all. */
    static final Duration TIMEOUT = Duration.ofMillis(15_000);

    private static final String UNANSWERED = " unanswered";

    private static final Pattern TOKEN = Pattern.compile("\\S+ (\\d{1,18})( .*)?");

    PendingPromotion {
        requireNonNull(target, "target is null");
        requireNonNull(revision, "revision is null");
    }

    /** Reads the store entry of a request; empty if the request has ended or is unreadable. */
    static Optional<PendingPromotion> parse(StoreEntry entry, long nowNanos) {
        return entry.value()
                .map(text -> text.split(" ")[0])
                .filter(target -> !target.isBlank())
                .map(
                        target ->
                                new PendingPromotion(
                                        InstanceId.of(target),
                                        parseToken(entry.value().get()),
                                        entry.value().get().endsWith(UNANSWERED),
                                        nowNanos,
                                        entry.revision()));
    }

    /** Returns the value of the store entry; earlier builds read its first and last word. */
    static String format(InstanceId target, long fencingToken, boolean unanswered) {
        return target + " " + fencingToken + (unanswered ? UNANSWERED : "");
    }

    boolean isPending(long nowNanos) {
        return nowNanos - recordedNanos < TIMEOUT.toNanos();
    }

    private static long parseToken(String text) {
        Matcher matcher = TOKEN.matcher(text);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
