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
 *     empty while responses to writes may still arrive
 */
record Vote(InstanceId primary, Optional<LogPosition> acknowledgedPosition) {
    private static final String UNKNOWN_POSITION = "-";

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
            return Optional.of(new Vote(InstanceId.of(parts[0]), position));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    String format() {
        String position =
                acknowledgedPosition
                        .map(p -> p.term() + " " + p.offset())
                        .orElse(UNKNOWN_POSITION + " " + UNKNOWN_POSITION);
        return primary + " " + position;
    }
}
