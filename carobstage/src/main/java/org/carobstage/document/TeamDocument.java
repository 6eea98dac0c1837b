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
 * A team's checked document for its service.
 *
 * @param service the service
 * @param zone the time zone of the hours
 * @param classes the request classes
 * @param patience the patience outside all hours
 * @param hours the patience by time of day; the first match counts
 */
public record TeamDocument(
        ServiceName service,
        ZoneId zone,
        Map<RequestClass, ClassRule> classes,
        Duration patience,
        List<Hours> hours) {
    /** Checks the document. */
    public TeamDocument {
        requireNonNull(service, "service is null");
        requireNonNull(zone, "zone is null");
        requireNonNull(patience, "patience is null");
        classes = Map.copyOf(classes);
        hours = List.copyOf(hours);
    }

    /**
     * Returns what the document says of a request class at a moment.
     *
     * @param name the request class
     * @param now the moment
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
     * What a document says of a request class at all hours.
     *
     * @param access whether the request reads or writes
     * @param staleness how old the data of a read may be
     * @param idempotent true if running a write twice does no harm
     */
    public record ClassRule(
            RequestPolicy.Access access, Duration maxStaleness, boolean idempotent) {
        /** Checks the rule. */
        public ClassRule {
            requireNonNull(access, "access is null");
            requireNonNull(maxStaleness, "staleness is null");
        }
    }

    /**
     * The patience in a part of the day, which may go past midnight.
     *
     * @param from the first moment
     * @param to the moment after the last
     * @param patience how long callers wait
     */
    public record Hours(LocalTime from, LocalTime to, Duration patience) {
        /** Checks the hours. */
        public Hours {
            requireNonNull(from, "from is null");
            requireNonNull(to, "to is null");
            requireNonNull(patience, "patience is null");
        }

        private boolean contains(LocalTime time) {
            boolean started = !time.isBefore(from);
            boolean open = time.isBefore(to);
            return from.isBefore(to) ? started && open : started || open;
        }
    }
}
