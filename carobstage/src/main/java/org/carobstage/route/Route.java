package org.carobstage.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.model.ServiceName;

/**
 * How statements on a database are served.
 *
 * @param database the name that clients use
 * @param service the service whose instances hold the database
 * @param consistency what reads must see
 * @param staleness how old a read may be; zero on primary routes
 * @param timeout how long a single statement may take
 * @param targetLatency the latency objective of an operation
 * @param priority the order of importance, 0 first
 */
public record Route(
        String database,
        ServiceName service,
        Consistency consistency,
        Duration maxStaleness,
        Duration timeout,
        Duration targetLatency,
        int priority) {
    /** Checks the route. */
    public Route {
        requireNonNull(database, "database is null");
        requireNonNull(service, "service is null");
        requireNonNull(consistency, "consistency is null");
        requireNonNull(maxStaleness, "staleness is null");
        requireNonNull(timeout, "timeout is null");
        requireNonNull(targetLatency, "targetLatency is null");
    }
}
