package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;

/**
 * A team's validated document for its service.
 *
 * @param service the name of the service
 * @param zone the time zone of the hours
 * @param classes the rules by request class
 * @param patience how long callers wait for a result when no entry of {@code hours} applies
 * @param hours the patience by time of day; the first match applies
 */
public record TeamDocument(
        ServiceName service,
        ZoneId zone,
        Map<RequestClass, ClassRule> classes,
        Duration patience,
        List<Hours> hours) {
    /** Rejects null components and copies the collections. */
    public TeamDocument {
        requireNonNull(service, "service is null");
        requireNonNull(zone, "zone is null");
        requireNonNull(patience, "patience is null");
        classes = Map.copyOf(classes);
        hours = List.copyOf(hours);
    }

    /**
     * Returns the policy of a request class at a given time.
     *
     * @param name the request class
     * @param now the time
     * @return the policy, or empty if the class is unknown
     */
    public Optional<RequestPolicy> policy(RequestClass name, Instant now) {
        return Optional.ofNullable(classes.get(name))
                .map(
                        rule ->
                                new RequestPolicy(
                                        rule.access(),
                                        rule.maxStaleness(),
                                        rule.idempotent(),
                                        patienceAt(now)));
    }

    private Duration patienceAt(Instant now) {
        LocalTime time = now.atZone(zone).toLocalTime();
        return hours.stream()
                .filter(h -> h.contains(time))
                .map(Hours::patience)
                .findFirst()
                .orElse(patience);
    }

    /**
     * The part of a request class's policy that does not depend on the time of day.
     *
     * @param access whether the request reads or writes
     * @param maxStaleness how old the data of a read may be; zero if it must be current
     * @param idempotent true if running the request twice has the same effect as running it once
     */
    public record ClassRule(
            RequestPolicy.Access access, Duration maxStaleness, boolean idempotent) {
        /** Rejects null components. */
        public ClassRule {
            requireNonNull(access, "access is null");
            requireNonNull(maxStaleness, "maxStaleness is null");
        }
    }

    /**
     * The patience during a part of the day, which may extend past midnight.
     *
     * @param from the start, inclusive
     * @param to the end, exclusive
     * @param patience how long callers wait for a result
     */
    public record Hours(LocalTime from, LocalTime to, Duration patience) {
        /** Rejects null components. */
        public Hours {
            requireNonNull(from, "from is null");
            requireNonNull(to, "to is null");
            requireNonNull(patience, "patience is null");
        }

        private boolean contains(LocalTime time) {
            boolean isAtOrAfterStart = !time.isBefore(from);
            boolean isBeforeEnd = time.isBefore(to);
            return from.isBefore(to)
                    ? isAtOrAfterStart && isBeforeEnd
                    : isAtOrAfterStart || isBeforeEnd;
        }
    }
}
