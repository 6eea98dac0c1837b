package org.carobstage.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.ServiceName;

/**
 * One version of the routes and of the limits of services.
 *
 * @param version grows with each change
 * @param routes the routes by database
 * @param connectionLimits how many connections an instance takes from all callers, by service
 * @param idleTransactionTimeout how long a transaction may stay idle
 */
public record RouteTable(
        long version,
        Map<String, Route> routes,
        Map<ServiceName, Integer> connectionLimits,
        Duration idleTransactionTimeout) {
    private static final RouteTable EMPTY =
            new RouteTable(-1, Map.of(), Map.of(), Duration.ofSeconds(3));

    /** Checks the table. */
    public RouteTable {
        routes = Map.copyOf(routes);
        connectionLimits = Map.copyOf(connectionLimits);
        requireNonNull(idleTransactionTimeout, "idleTransactionTimeout is null");
    }

    /**
     * Returns the table before any version is known.
     *
     * @return a table without routes
     */
    public static RouteTable empty() {
        return EMPTY;
    }

    /**
     * Finds the route of a database.
     *
     * @param database the name that clients use
     * @return the route, or empty if there is none
     */
    public Optional<Route> route(String database) {
        return Optional.ofNullable(routes.get(database));
    }

    /**
     * Returns the newer of two tables, so that versions never go back.
     *
     * @param other the other table
     * @return the one with the higher version
     */
    public RouteTable newer(RouteTable other) {
        return other.version > version ? other : this;
    }

    /**
     * Tells whether a version is known.
     *
     * @return false for the empty table
     */
    public boolean isLoaded() {
        return version >= 0;
    }
}
