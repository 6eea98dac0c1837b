package org.carobstage.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.model.ServiceName;

/**
 * The service and the execution policy for statements on a database.
 *
 * @param database the name that clients use
 * @param service the service whose instances hold the database
 * @param consistency the consistency level of reads
 * @param maxStaleness the staleness bound of reads; zero on primary routes
 * @param timeout the timeout of a single statement
 * @param targetLatency the target latency of an operation
 * @param priority the priority; 0 is the highest
 * @param publicAccess whether clients need no API key where client accounts are in use
 */
public record Route(
        String database,
        ServiceName service,
        Consistency consistency,
        Duration maxStaleness,
        Duration timeout,
        Duration targetLatency,
        int priority,
        boolean publicAccess) {
    /** Rejects null components. */
    public Route {
        requireNonNull(database, "database is null");
        requireNonNull(service, "service is null");
        requireNonNull(consistency, "consistency is null");
        requireNonNull(maxStaleness, "maxStaleness is null");
        requireNonNull(timeout, "timeout is null");
        requireNonNull(targetLatency, "targetLatency is null");
    }

    /**
     * Creates a route that requires an API key where client accounts are in use.
     *
     * @param database the name that clients use
     * @param service the service whose instances hold the database
     * @param consistency the consistency level of reads
     * @param maxStaleness the staleness bound of reads; zero on primary routes
     * @param timeout the timeout of a single statement
     * @param targetLatency the target latency of an operation
     * @param priority the priority; 0 is the highest
     */
    public Route(
            String database,
            ServiceName service,
            Consistency consistency,
            Duration maxStaleness,
            Duration timeout,
            Duration targetLatency,
            int priority) {
        this(database, service, consistency, maxStaleness, timeout, targetLatency, priority, false);
    }
}
