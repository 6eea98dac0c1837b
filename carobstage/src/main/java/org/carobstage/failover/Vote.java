package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * A process's vote to replace a primary that does not respond to it. Until the vote is withdrawn,
 * the process sends no writes to that primary.
 *
 * @param primary the primary to replace
 * @param acknowledgedPosition the newest commit that the process has acknowledged to a client, or
 *     empty while the outcome of one is not known
 * @param writesEnded whether the process awaits no response to a write, so that the primary can't
 *     acknowledge one to it any more
 */
record Vote(InstanceId primary, Optional<LogPosition> acknowledgedPosition, boolean writesEnded) {
    private static final String UNKNOWN_POSITION = "-";

    /** Takes the place of an offset; builds that don't know it read an unknown position. */
    private static final String WRITES_ENDED = "ended";

    Vote {
        requireNonNull(primary, "primary is null");
        requireNonNull(acknowledgedPosition, "acknowledgedPosition is null");
    }

    static Optional<Vote> parse(String text) {
        String[] parts = text.split(" ");
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            Optional<LogPosition> position =
                    parts[1].equals(UNKNOWN_POSITION)
                            ? Optional.empty()
                            : Optional.of(
                                    LogPosition.of(
                                            Long.parseLong(parts[1]), Long.parseLong(parts[2])));
            boolean writesEnded = position.isPresent() || parts[2].equals(WRITES_ENDED);
            return Optional.of(new Vote(InstanceId.of(parts[0]), position, writesEnded));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    String format() {
        String position =
                acknowledgedPosition
                        .map(p -> p.term() + " " + p.offset())
                        .orElse(
                                UNKNOWN_POSITION
                                        + " "
                                        + (writesEnded ? WRITES_ENDED : UNKNOWN_POSITION));
        return primary + " " + position;
    }
}
