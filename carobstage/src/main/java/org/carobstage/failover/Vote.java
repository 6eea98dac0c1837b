package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * A process's report that a primary does not answer it.
 *
 * @param primary the primary
 * @param acknowledged the newest commit that the process has acknowledged to a client
 */
record Vote(InstanceId primary, LogPosition acknowledged) {
    Vote {
        requireNonNull(primary, "primary is null");
        requireNonNull(acknowledged, "acknowledged is null");
    }

    static Optional<Vote> parse(String text) {
        String[] parts = text.split(" ");
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            LogPosition position =
                    LogPosition.of(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            return Optional.of(new Vote(InstanceId.of(parts[0]), position));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    String text() {
        return primary + " " + acknowledged.term() + " " + acknowledged.offset();
    }
}
