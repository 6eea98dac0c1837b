package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * A process's report that a primary does not answer it. Until it is withdrawn the process sends
 * that primary no writes.
 *
 * @param primary the primary
 * @param acknowledged the newest commit that the process has acknowledged to a client; nothing
 *     while answers to writes may still come
 */
record Vote(InstanceId primary, Optional<LogPosition> acknowledgedPosition) {
    private static final String UNKNOWN = "-";

    Vote {
        requireNonNull(primary, "primary is null");
        requireNonNull(acknowledgedPosition, "acknowledged is null");
    }

    static Optional<Vote> parse(String text) {
        String[] parts = text.split(" ");
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            Optional<LogPosition> position =
                    parts[1].equals(UNKNOWN)
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
                        .orElse(UNKNOWN + " " + UNKNOWN);
        return primary + " " + position;
    }
}
